//! Ownership of a group's map, from heartbeats to orders.

use std::time::Duration;

use knapweedford::{
    group::rebalance::SharedMap,
    rank::{
        Action, Choices, Member, Order, OrderOutcome, Placement, Status, change,
        message::{Heartbeat, RankOrder},
        ownership::Ownership,
    },
    site::catalog::ExpertShape,
};

const RANKS: usize = 4;

fn ownership() -> Ownership {
    let copy_time = Duration::from_millis(98);
    let shape = ExpertShape {
        slots: 4,
        layer_sets: 1,
        experts_per_set: 8,
        experts_per_rank: 4,
        max_copies: 2,
        copy_time,
        expert_share: 0.85,
    };
    let mut ownership = Ownership::new(shape, None);
    ownership.set_own_member(&member(1, 0));
    ownership
}

fn member(epoch: u64, rank: usize) -> Member {
    Member { group: "g".into(), epoch, rank, ranks: RANKS, open: true }
}

fn status(rank: usize, now: Duration) -> Status {
    status_in(1, rank, now)
}

fn status_in(epoch: u64, rank: usize, now: Duration) -> Status {
    Status {
        read_id: (rank as u64, now.as_millis() as u64),
        queued: 0,
        running: 4,
        member: Some(member(epoch, rank)),
        pass: now.as_millis() as u64 / 50,
        map_version: 0,
        prepared: None,
        armed: None,
        held: None,
        pace: 1.0,
    }
}

/// Delivers a heartbeat of each of the first `ranks` ranks; most requests chose the first expert.
fn send_heartbeats(ownership: &mut Ownership, now: Duration, ranks: usize) {
    send_heartbeats_of(ownership, now, 0..ranks);
}

fn send_heartbeats_of(ownership: &mut Ownership, now: Duration, ranks: std::ops::Range<usize>) {
    send_heartbeats_in(1, ownership, now, ranks);
}

fn send_heartbeats_in(
    epoch: u64,
    ownership: &mut Ownership,
    now: Duration,
    ranks: std::ops::Range<usize>,
) {
    for rank in ranks {
        let status = status_in(epoch, rank, now);
        let experts = vec![vec![rank as u16, (rank + RANKS) as u16]];
        let placement = Some(Placement { epoch, version: 0, experts, prepared: None });
        let choices = Choices { epoch, sets: vec![(100, vec![255, 9, 9, 9, 9, 9, 9, 9])] };
        ownership.receive_heartbeat(now, Heartbeat { status, choices: Some(choices), placement });
    }
}

/// Delivers heartbeats for two seconds, so that an owner may act; returns the time afterwards.
fn run_two_seconds(ownership: &mut Ownership, from: Duration, ranks: usize) -> Duration {
    let mut now = from;
    for _ in 0..40 {
        now += Duration::from_millis(50);
        send_heartbeats(ownership, now, ranks);
        ownership.step(now, 0);
    }
    now
}

/// Starts a change and returns its first orders.
fn start_change(ownership: &mut Ownership, now: Duration) -> Vec<RankOrder> {
    let search = ownership.edit_search(now).expect("no search for an edit was due");
    let edit = search.run();
    assert!(edit.is_some(), "no edit pays");
    ownership.begin_change(now, &search, edit, 0);
    ownership.step(now, 0)
}

/// Returns the version that the first order prepares.
fn prepared_version(orders: &[RankOrder]) -> u64 {
    match orders.first().map(|order| &order.order.action) {
        Some(Action::Prepare { version, .. }) => *version,
        other => panic!("not an order to copy: {other:?}"),
    }
}

/// A change starts with an order to copy at every rank, and no second change starts meanwhile.
#[test]
fn one_change() {
    let mut ownership = ownership();
    let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    let orders = start_change(&mut ownership, now);
    assert_eq!(orders.len(), RANKS);
    assert!(ownership.edit_search(now).is_none(), "a second search started during a change");
}

/// Statuses do not show a version that a rank is still copying. A change after a stall must not use
/// that version for another map.
#[test]
fn newer_version_after_stall() {
    let mut ownership = ownership();
    let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    let first = prepared_version(&start_change(&mut ownership, now));
    ownership.reset_after_stall();
    let now = run_two_seconds(&mut ownership, now, RANKS);
    let second = prepared_version(&start_change(&mut ownership, now));
    assert!(second > first, "{second} after {first}");
}

/// With the heartbeats of only half of the ranks an agent is not the owner: another one may have
/// the other half, and both would act.
#[test]
fn half_not_owner() {
    let mut ownership = ownership();
    let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    assert!(ownership.requests_by_rank().is_some());
    let now = run_two_seconds(&mut ownership, now, RANKS / 2);
    assert!(
        ownership.requests_by_rank().is_none(),
        "owner with the heartbeats of half of the ranks"
    );
    assert!(ownership.edit_search(now).is_none());
}

/// A new owner does not act at once, as the previous one may still act.
#[test]
fn takeover_delayed() {
    let mut ownership = ownership();
    let now = Duration::from_millis(50);
    send_heartbeats(&mut ownership, now, RANKS);
    ownership.step(now, 0);
    assert!(ownership.edit_search(now).is_none(), "acted without the takeover delay");
}

/// A search costs time of the owner's core, so after one that found no edit the next one waits for
/// a while or for a rise of the skew.
#[test]
fn search_not_repeated() {
    let mut ownership = ownership();
    let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    let search = ownership.edit_search(now).expect("no search for an edit was due");
    ownership.begin_change(now, &search, None, 0);
    assert!(ownership.edit_search(now).is_none(), "searched again at once");
    let now = run_two_seconds(&mut ownership, now, RANKS);
    assert!(ownership.edit_search(now).is_some(), "not searched again after a while");
}

/// The host of an owner freezes while its engine holds a pass, so that the whole group stops. The
/// next owner has never received a heartbeat of that rank; it must undo the change as soon as the
/// polled engine answers.
#[test]
fn owner_frozen() {
    let mut ownership = ownership();
    ownership.set_own_member(&member(1, 1));
    let experts = |rank: usize| vec![rank as u16, (rank + RANKS) as u16];
    ownership.remember_map(1, 0, SharedMap::new(vec![(0..RANKS).map(experts).collect()]));
    let mut now = Duration::ZERO;
    for _ in 0..40 {
        now += Duration::from_millis(50);
        send_heartbeats_of(&mut ownership, now, 1..RANKS);
        assert!(ownership.step(now, 0).is_empty(), "acted without the status of a rank");
    }
    assert_eq!(ownership.silent_ranks(now), [0]);
    let held_pass = now.as_millis() as u64 / 50 + 2;
    ownership.receive_polled_status(now, Status { held: Some(held_pass), ..status(0, now) });
    let orders = ownership.step(now, 0);
    assert!(!orders.is_empty(), "the leftover change was not undone at once");
    assert_eq!(ownership.silent_ranks(now), [0], "a polled status counted as a heartbeat");
}

/// Engines answer other hosts with values that are some hundred milliseconds old. The agent of a rank
/// is back while the owner still polls its engine, or sends it orders directly: what the owner reads
/// there must not replace what the agent reported. An owner that took a rank for disarmed that was
/// armed let a pass start with two maps.
#[test]
fn remote_status_ignored() {
    let mut ownership = ownership();
    let mut now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    let read_by_owner = |now| Status { read_id: (0, u64::MAX), running: 9, ..status(2, now) };
    let requests = |ownership: &Ownership| ownership.requests_by_rank().map(|by_rank| by_rank[&2]);
    ownership.receive_polled_status(now, read_by_owner(now));
    assert_eq!(requests(&ownership), Some(4), "a polled status replaced that of the agent");
    let order = Order { epoch: 1, action: Action::Hold { pass: 1_000_000 } };
    let order = RankOrder { rank: 2, order };
    ownership.receive_reply(now, &order, None, Some(read_by_owner(now)));
    assert_eq!(requests(&ownership), Some(4), "the status after an order replaced it");
    // Once the agent has been silent for as long as statuses count, the engine is all there is.
    for _ in 0..16 {
        now += Duration::from_millis(50);
        send_heartbeats_of(&mut ownership, now, 0..2);
        send_heartbeats_of(&mut ownership, now, 3..RANKS);
        ownership.step(now, 0);
    }
    ownership.receive_polled_status(now, read_by_owner(now));
    assert_eq!(requests(&ownership), Some(9));
}

/// A group that lost a rank re-forms within a second, with a map that does not fit the popularity.
/// The owner loses most heartbeats meanwhile but goes on without a takeover delay, as another owner
/// would still be in its own.
#[test]
fn reformed_group() {
    let mut ownership = ownership();
    let mut now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    for _ in 0..4 {
        now += Duration::from_millis(100);
        send_heartbeats_in(2, &mut ownership, now, 0..RANKS / 2);
        ownership.step(now, 0);
    }
    now += Duration::from_millis(50);
    send_heartbeats_in(2, &mut ownership, now, 0..RANKS);
    ownership.step(now, 0);
    assert!(ownership.edit_search(now).is_some(), "the owner waits for the takeover delay again");
}

/// A process that resumes receives heartbeats that were sent earlier, loses ownership and regains
/// it. It has not acted in between, so another owner may be acting, and the takeover delay applies.
#[test]
fn regained_ownership() {
    let mut ownership = ownership();
    let mut now = Duration::from_millis(50);
    send_heartbeats(&mut ownership, now, RANKS);
    ownership.step(now, 0);
    now += Duration::from_millis(800);
    ownership.step(now, 0);
    for _ in 0..8 {
        now += Duration::from_millis(100);
        send_heartbeats(&mut ownership, now, RANKS);
        ownership.step(now, 0);
        assert!(ownership.edit_search(now).is_none(), "{now:?}");
    }
}

/// The address of a rank may be that of another one, for example while its agent is down. Guards
/// against a pass that is released because the status of one engine counts as that of another.
#[test]
fn other_rank_answers() {
    let others = [member(1, 2), Member { group: "h".into(), ..member(1, 3) }];
    for other in others {
        let mut ownership = ownership();
        let mut now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
        let orders = start_change(&mut ownership, now);
        let version = prepared_version(&orders);
        for RankOrder { rank, order } in &orders {
            let answering = if *rank == 3 { other.clone() } else { member(1, *rank) };
            let read_id = (answering.rank as u64, u64::MAX);
            let status = Status { read_id, prepared: Some(version), ..status(*rank, now) };
            let status = Status { member: Some(answering), ..status };
            let order = RankOrder { rank: *rank, order: order.clone() };
            ownership.receive_reply(now, &order, Some(&OrderOutcome::Applied), Some(status));
        }
        for _ in 0..10 {
            now += Duration::from_millis(20);
            for order in ownership.step(now, 0) {
                let prepares = matches!(order.order.action, Action::Prepare { .. });
                assert!(prepares && order.rank == 3, "{other:?} counts as rank 3: {order:?}");
                ownership.receive_reply(now, &order, Some(&OrderOutcome::Applied), None);
            }
        }
    }
}

/// Guards against an owner that takes ranks of another group for its own, or loses its state since
/// that group has a later epoch.
#[test]
fn other_group_ignored() {
    let mut ownership = ownership();
    let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    for epoch in [1, 2] {
        let status = Status {
            read_id: (99, u64::MAX),
            running: 1_000,
            member: Some(Member { group: "h".into(), ..member(epoch, 1) }),
            ..status(1, now)
        };
        let heartbeat = Heartbeat { status: status.clone(), choices: None, placement: None };
        assert!(!ownership.receive_heartbeat(now, heartbeat));
        ownership.receive_polled_status(now, status);
    }
    let requests = ownership.requests_by_rank().expect("the owner has lost its state");
    assert!(requests.values().all(|requests| *requests < 1_000), "{requests:?}");
}

/// Guards against an agent that ignores its own group, because it first heard from one with a later
/// epoch, or because its engine was in that group before.
#[test]
fn own_group_followed() {
    let mut ownership = ownership();
    for (name, epoch) in [("h", 7), ("g", 1)] {
        ownership.set_own_member(&Member { group: name.into(), ..member(epoch, 0) });
        assert!(ownership.requests_by_rank().is_none_or(|requests| requests.is_empty()));
    }
    let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
    assert_eq!(start_change(&mut ownership, now).len(), RANKS);
}

/// An owner that takes over does not know which passes the previous one has held, and a release may
/// still be under way. Guards against a change that holds one of them, also in an idle group.
#[test]
fn held_passes_skipped() {
    let mut ownership = ownership();
    let mut now = Duration::ZERO;
    let mut beat = |ownership: &mut Ownership, pass, prepared| {
        now += Duration::from_millis(50);
        for rank in 0..RANKS {
            let experts = vec![vec![rank as u16, (rank + RANKS) as u16]];
            let placement = Some(Placement { epoch: 1, version: 0, experts, prepared: None });
            let choices =
                Some(Choices { epoch: 1, sets: vec![(100, vec![255, 9, 9, 9, 9, 9, 9, 9])] });
            let status = Status { pass, prepared, ..status(rank, now) };
            ownership.receive_heartbeat(now, Heartbeat { status, choices, placement });
        }
        (now, ownership.step(now, 0))
    };
    for _ in 0..40 {
        beat(&mut ownership, 10, None);
    }
    let (now, _) = beat(&mut ownership, 10, None);
    assert!(ownership.edit_search(now).is_none(), "a change would hold a pass of before");
    let (now, _) = beat(&mut ownership, 11, None);
    let orders = start_change(&mut ownership, now);
    let version = prepared_version(&orders);
    for order in &orders {
        ownership.receive_reply(now, order, Some(&OrderOutcome::Applied), None);
    }
    let (_, orders) = beat(&mut ownership, 11, Some(version));
    let reachable = 10 + change::MAX_HOLD_AHEAD_PASSES;
    let hold = Order { epoch: 1, action: Action::Hold { pass: reachable + 1 } };
    assert_eq!(orders, [RankOrder { rank: 0, order: hold }]);
}

/// Guards against two owners, one of which does not know of the other's orders yet, that use one version
/// for different maps: a rank that has copied one of them accepts the order to arm for the other.
#[test]
fn versions_differ() {
    let first_version = |own_rank| {
        let mut ownership = ownership();
        ownership.set_own_member(&member(1, own_rank));
        let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
        prepared_version(&start_change(&mut ownership, now))
    };
    assert_ne!(first_version(0), first_version(1));
}

/// An owner loses the heartbeats of most ranks and regains them. Another process may have received them
/// since before the loss was noticed, and act by now. Guards against two owners at the same time.
#[test]
fn regained_late() {
    for (silent_ms, may_act) in [(1_100, true), (1_350, false)] {
        let mut ownership = ownership();
        let now = run_two_seconds(&mut ownership, Duration::ZERO, RANKS);
        let lost = now + Duration::from_millis(750);
        ownership.step(lost, 0);
        let regained = now + Duration::from_millis(silent_ms);
        send_heartbeats(&mut ownership, regained, RANKS);
        ownership.step(regained, 0);
        assert_eq!(ownership.edit_search(regained).is_some(), may_act, "after {silent_ms} ms");
    }
}
