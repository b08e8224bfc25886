//! Orders to engines that are late, lost or carried out twice, and owners that end, in every phase of a
//! change of the map. No pass may start with two maps, and the group must go on.

use std::time;

use knapweedford::rank::{Action, MapSwitch, Order, OrderOutcome, change::Change};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    fuzz,
    map_group::{Group, Owner, RANKS, TICK, map_with},
};

/// Time between two steps; a pass takes two of them while there are requests.
const STEP: time::Duration = time::Duration::from_millis(25);
/// Steps of a run.
const STEPS: usize = 200;
/// Last step in which an owner ends or an order is late.
const LAST_FAULT: usize = 60;
/// Steps from the end of an owner until the next one acts.
const TAKEOVER: usize = 5;
/// Steps at the end of a run in which passes are counted, and the least number of them.
const LAST_PASSES: (usize, u64) = (40, 8);

/// When the group has requests: the steps at which it becomes busy and idle in turn.
const LOADS: [&[usize]; 4] = [&[0], &[0, 16, 40, 50, 70], &[0, 6, 20, 26, 45, 51, 70], &[0, 8, 46]];

/// What happens to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// It is carried out so many steps later, without an answer.
    Late(usize),
    /// It is carried out at once and once more so many steps later, without an answer.
    Twice(usize),
    /// It is never carried out.
    Lost,
}

/// The faults of one run.
#[derive(Clone, Debug, Default)]
struct Schedule {
    load: usize,
    /// Numbers of the orders that something happens to.
    fates: Vec<(usize, Option<Fate>)>,
    /// Steps at which the owner ends, each with the rank whose agent takes over: the same one if it
    /// was restarted.
    ends: Vec<(usize, usize)>,
}

/// Runs a schedule. Returns what is wrong, if anything, and otherwise the number of orders that were
/// sent up to the last fault.
fn run(schedule: &Schedule) -> Result<usize, String> {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut group = Group::new();
    let (mut owner, mut acts_from) = (Owner::new(0), 0);
    let mut late: Vec<(usize, usize, Order)> = Vec::new();
    let (mut sent, mut sent_in_time, mut pass_before) = (0, 0, 0);
    for step in 0..STEPS {
        late.retain(|(due, rank, order)| {
            if *due <= step {
                group.apply(*rank, order);
            }
            *due > step
        });
        let is_busy = LOADS[schedule.load].iter().filter(|at| **at <= step).count() % 2 == 1;
        if is_busy && step % 2 == 0 {
            group.try_start_pass()?;
        }
        if let Some((_, next)) = schedule.ends.iter().find(|(end, _)| *end == step) {
            owner = Owner::new(*next);
            acts_from = step + TAKEOVER;
        }
        if step + LAST_PASSES.0 == STEPS {
            pass_before = group.pass;
        }
        if step < acts_from {
            continue;
        }
        owner.act(&mut group, STEP * step as u32, &mut rng, |group, rank, order| {
            let fate = schedule.fates.iter().find(|(number, _)| *number == sent);
            let fate = fate.and_then(|(_, fate)| *fate).filter(|_| step < LAST_FAULT);
            sent += 1;
            if let Some(Fate::Late(delay) | Fate::Twice(delay)) = fate {
                late.push((step + delay, rank, order.clone()));
            }
            match fate {
                Some(Fate::Late(_) | Fate::Lost) => None,
                Some(Fate::Twice(_)) => {
                    group.apply(rank, order);
                    None
                }
                None => Some(group.apply(rank, order)),
            }
        });
        if step < LAST_FAULT {
            sent_in_time = sent;
        }
    }
    let passes = group.pass - pass_before;
    match passes < LAST_PASSES.1 {
        true => Err(format!("only {passes} passes at the end")),
        false => Ok(sent_in_time),
    }
}

fn check(schedule: &Schedule) -> usize {
    run(schedule).unwrap_or_else(|problem| panic!("{problem}: {schedule:?}"))
}

/// Each order of each owner is late by each of some times, with owners that end at each step, restart
/// or hand over and back, in busy groups and in groups that are idle at times.
#[test]
fn each_order_late() {
    for load in 0..LOADS.len() {
        for first_end in 0..50 {
            let second_end = first_end + 10;
            for ends in [vec![(first_end, 0)], vec![(first_end, 1), (second_end, 0)]] {
                let schedule = Schedule { load, ends, fates: Vec::new() };
                for number in 0..check(&schedule) {
                    for delay in [2, 8, 25, 50] {
                        let fates = vec![(number, Some(Fate::Late(delay)))];
                        check(&Schedule { fates, ..schedule.clone() });
                    }
                }
            }
        }
    }
}

/// Several orders are late, lost or carried out twice, and up to three owners end or are restarted.
#[test]
fn several_orders_late() {
    let mut rng = Pcg64::seed_from_u64(fuzz::env_or("KNAPWEEDFORD_SEED", fuzz::SEED));
    for _ in 0..fuzz::env_or("KNAPWEEDFORD_CASES", 40_000) {
        let load = rng.random_range(0..LOADS.len());
        let ends = (0..rng.random_range(0..4))
            .map(|_| (rng.random_range(0..LAST_FAULT), rng.random_range(0..RANKS)))
            .collect();
        let share = rng.random_range(5..70);
        let fate = |number, rng: &mut Pcg64| {
            let delay = rng.random_range(1..60);
            let fate = match rng.random_range(0..100) {
                roll if roll >= share => None,
                roll if roll % 10 == 0 => Some(Fate::Lost),
                roll if roll % 10 < 3 => Some(Fate::Twice(delay)),
                _ => Some(Fate::Late(delay)),
            };
            (number, fate)
        };
        let fates = (0..150).map(|number| fate(number, &mut rng)).collect();
        check(&Schedule { load, ends, fates });
    }
}

/// Steps an owner and carries out its orders, except those for which `carries_out` is false: they get
/// no answer. Returns the orders.
fn step_owner(
    owner: &mut Owner,
    group: &mut Group,
    now: time::Duration,
    carries_out: impl Fn(usize, &Order) -> bool,
) -> Vec<(usize, Order)> {
    let mut rng = Pcg64::seed_from_u64(now.as_millis() as u64);
    owner.act(group, now, &mut rng, |group, rank, order| {
        carries_out(rank, order).then(|| group.apply(rank, order))
    })
}

/// Returns the pass that the first of `orders` with this label is about.
fn pass_ordered(orders: &[(usize, Order)], label: &str) -> Option<u64> {
    orders.iter().find(|(_, order)| order.action.label() == label)?.1.action.pass()
}

fn order(action: Action) -> Order {
    Order { epoch: 1, action }
}

/// Returns a group in which each rank is armed for a version at `pass`, as after a release.
fn armed_group(version: u64, pass: u64) -> Group {
    let mut group = Group::new();
    for rank in 0..RANKS {
        group.apply(rank, &order(Action::Prepare { version, map: map_with(1) }));
        group.apply(rank, &order(Action::Arm(MapSwitch { version, pass })));
    }
    group
}

/// An owner ends after it has undone a change, in an idle group; its release of the pass is late.
/// Guards against a next owner that holds the same pass: the release would free it while ranks are
/// being armed.
#[test]
fn late_release() {
    let mut group = Group::new();
    let mut first = Owner::new(0);
    let mut now = TICK;
    let mut held = None;
    for step in 0..100 {
        now += TICK;
        if step < 2 {
            group.start_pass(&[]);
        }
        let orders = step_owner(&mut first, &mut group, now, |_, _| true);
        held = pass_ordered(&orders, "hold");
        if held.is_some() {
            break;
        }
    }
    let held = held.expect("the first owner held no pass");
    group.apply(0, &order(Action::Release { pass: held }));
    let mut next = Owner::new(1);
    let mut was_armed = false;
    for step in 0..600 {
        now += TICK;
        // The last rank does not get the orders to arm it.
        let orders = step_owner(&mut next, &mut group, now, |_, order| {
            !matches!(order.action, Action::Arm(_))
        });
        let arms = orders.iter().filter(|(_, order)| matches!(order.action, Action::Arm(_)));
        for (rank, arm) in arms.filter(|(rank, _)| rank + 1 < RANKS) {
            group.apply(*rank, arm);
            group.apply(1, &order(Action::Release { pass: held }));
            (0..3).for_each(|_| group.start_pass(&[]));
            was_armed = true;
        }
        if step % 40 == 39 {
            group.start_pass(&[]);
        }
    }
    assert!(was_armed, "the next owner armed no rank");
}

/// The order to hold a pass for a change that was undone is carried out while the next change waits for
/// a later pass. Guards against an owner that waits for ever, and against a change that is undone
/// although its own order to hold was carried out twice.
#[test]
fn late_hold() {
    for (rank, is_earlier) in [(0, true), (1, true), (2, true), (0, false)] {
        let mut group = Group::new();
        let mut owner = Owner::new(0);
        let mut now = TICK;
        group.start_pass(&[]);
        let mut released = None;
        for _ in 0..100 {
            now += TICK;
            let orders = step_owner(&mut owner, &mut group, now, |_, _| true);
            released = pass_ordered(&orders, "go");
            if released.is_some() {
                break;
            }
            if owner.change.is_none() {
                group.start_pass(&[]);
            }
        }
        let pass = released.expect("no change released its pass");
        owner.begins_changes = false;
        let late = if is_earlier { group.pass + 1 } else { pass };
        assert_eq!(group.apply(rank, &order(Action::Hold { pass: late })), OrderOutcome::Applied);
        let (before, version) = (group.pass, owner.change.as_ref().map(Change::version));
        for _ in 0..50 {
            for _ in 0..4 {
                now += TICK;
                step_owner(&mut owner, &mut group, now, |_, _| true);
            }
            group.start_pass(&[]);
        }
        let passes = group.pass - before;
        assert!(passes > 20, "{passes} passes in 2 s, pass {late} was held at rank {rank}");
        let is_changed = Some(group.engines[0].map.0) == version;
        assert!(is_changed || is_earlier, "the change was undone");
    }
}

/// An owner undoes a change for which all ranks are armed, and at first a single rank is disarmed.
/// Guards against a guard that late releases end: they may be under way for a pass that was held
/// before, to any rank, and for the pass of the change to the rank of the owner that released it.
#[test]
fn late_releases_of_guard() {
    struct Case {
        /// Pass of the change.
        pass: u64,
        /// Passes that the ranks hold.
        held: [Option<u64>; RANKS],
        /// Ranks and passes of the late releases.
        late: &'static [(usize, u64)],
    }
    const EVERY_RANK: &[(usize, u64)] = &[(0, 2), (1, 2), (2, 2)];
    let cases = [
        Case { pass: 4, held: [None, Some(2), None], late: EVERY_RANK },
        Case { pass: 4, held: [Some(2); RANKS], late: EVERY_RANK },
        Case { pass: 2, held: [Some(2), Some(4), Some(4)], late: &[(0, 2)] },
        Case { pass: 2, held: [Some(2), Some(4), Some(5)], late: &[(0, 2)] },
    ];
    for Case { pass, held, late } in cases {
        let mut group = armed_group(7, pass);
        for (rank, held) in held.into_iter().enumerate() {
            group.engines[rank].held = held;
        }
        let mut owner = Owner::new(1);
        owner.begins_changes = false;
        let mut first_disarm = None;
        for step in 0..400 {
            let is_first = |rank| rank == 0 || first_disarm.is_some_and(|first| step > first + 10);
            let orders = step_owner(&mut owner, &mut group, TICK * step, |rank, order| {
                is_first(rank) || !matches!(order.action, Action::Disarm { .. })
            });
            let disarms = orders.iter().any(|(_, o)| matches!(o.action, Action::Disarm { .. }));
            if disarms && first_disarm.is_none() {
                first_disarm = Some(step);
                for (rank, pass) in late {
                    group.apply(*rank, &order(Action::Release { pass: *pass }));
                }
                // The pass of the change is reached before the owner can act.
                (0..pass).for_each(|_| group.start_pass(&[]));
            }
            if first_disarm.is_some() {
                group.start_pass(&[]);
            }
        }
        assert!(first_disarm.is_some(), "no rank was disarmed");
        assert!(group.pass > 10, "the group stopped before pass {}", group.pass + 1);
    }
}

/// Guards against phases without a time limit: orders of one kind are never carried out, without an
/// answer or refused, in a busy or an idle group.
#[test]
fn orders_ignored() {
    for ignored in ["prepare", "hold", "arm", "go", "disarm", "none"] {
        for is_refused in [false, true] {
            for (is_busy, is_armed) in [(true, false), (false, false), (true, true), (false, true)]
            {
                check_phase_limits(ignored, is_refused, is_busy, is_armed);
            }
        }
    }
}

/// Checks that no change takes long while the orders of one kind are ignored. At first the group is
/// `is_armed` for a change that was left behind, or not.
fn check_phase_limits(ignored: &str, is_refused: bool, is_busy: bool, is_armed: bool) {
    const LIMIT: time::Duration = time::Duration::from_secs(12);
    let mut group = if is_armed { armed_group(7, 5) } else { Group::new() };
    group.start_pass(&[]);
    let mut owner = Owner::new(0);
    let (mut version, mut since) = (None, time::Duration::ZERO);
    for step in 0..4_000 {
        let now = TICK * step;
        let mut rng = Pcg64::seed_from_u64(u64::from(step));
        owner.act(&mut group, now, &mut rng, |group, rank, order| {
            match order.action.label() == ignored {
                true => is_refused.then(|| OrderOutcome::Refused("ignored".into())),
                false => Some(group.apply(rank, order)),
            }
        });
        let present = owner.change.as_ref().map(Change::version);
        if present != version || present.is_none() {
            (version, since) = (present, now);
        }
        let phases = owner.change.as_ref().map(|change| change.phases(now));
        let context = format!("{ignored} refused {is_refused}, busy {is_busy}, armed {is_armed}");
        assert!(now < since + LIMIT, "{context}: {phases:?}");
        if is_busy && step % 4 == 0 {
            group.start_pass(&[]);
        }
    }
}

/// Guards against answers to orders of an earlier change that end the one under way.
#[test]
fn earlier_answers() {
    let mut group = Group::new();
    let mut owner = Owner::new(0);
    step_owner(&mut owner, &mut group, TICK, |_, _| false);
    group.start_pass(&[]);
    for _ in 0..10 {
        step_owner(&mut owner, &mut group, TICK, |_, _| false);
        let Some(change) = &mut owner.change else { panic!("no change, or it ended") };
        let earlier = order(Action::Prepare { version: 1, map: map_with(1) });
        change.receive_reply(TICK, 1, &earlier, Some(&OrderOutcome::Refused("old".into())));
    }
    let change = owner.change.expect("answers to earlier orders ended the change");
    assert!(change.is_preparing());
}
