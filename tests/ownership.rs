//! The duty for a group's map, from pulses to orders.

use std::time::Duration;

use knapweedford::{
    rank::{
        Action, Choices, Member, Placement, Status,
        message::{Heartbeat, RankOrder},
        ownership::Ownership,
    },
    site::catalog::ExpertShape,
};

const RANKS: usize = 4;

fn duty() -> Ownership {
    let copy = Duration::from_millis(98);
    let shape = ExpertShape {
        slots: 4,
        layer_sets: 1,
        experts_per_set: 8,
        experts_per_rank: 4,
        max_copies: 2,
        copy_time: copy,
        expert_share: 0.85,
    };
    let mut duty = Ownership::new(shape, None);
    duty.set_own_rank(0);
    duty
}

fn status(rank: usize, now: Duration) -> Status {
    status_in(1, rank, now)
}

fn status_in(epoch: u64, rank: usize, now: Duration) -> Status {
    let member = Member { group: "g".into(), epoch, rank, ranks: RANKS, open: true };
    Status {
        read_id: (rank as u64, now.as_millis() as u64),
        queued: 0,
        running: 4,
        member: Some(member),
        pass: now.as_millis() as u64 / 50,
        map_version: 0,
        prepared: None,
        armed: None,
        held: None,
    }
}

/// Pulses of the first `ranks` ranks; every request chose the first expert.
fn pulses(duty: &mut Ownership, now: Duration, ranks: usize) {
    pulses_of(duty, now, 0..ranks);
}

fn pulses_of(duty: &mut Ownership, now: Duration, ranks: std::ops::Range<usize>) {
    pulses_in(1, duty, now, ranks);
}

fn pulses_in(epoch: u64, duty: &mut Ownership, now: Duration, ranks: std::ops::Range<usize>) {
    for rank in ranks {
        let status = status_in(epoch, rank, now);
        let experts = vec![vec![rank as u16, (rank + RANKS) as u16]];
        let placed = Some(Placement { epoch, version: 0, experts, prepared: None });
        let choices = Choices { epoch, sets: vec![(100, vec![255, 9, 9, 9, 9, 9, 9, 9])] };
        duty.receive_heartbeat(
            now,
            Heartbeat { status, choices: Some(choices), placement: placed },
        );
    }
}

/// Pulses for two seconds, so that the duty may act.
fn settled(duty: &mut Ownership, from: Duration, ranks: usize) -> Duration {
    let mut now = from;
    for _ in 0..40 {
        now += Duration::from_millis(50);
        pulses(duty, now, ranks);
        duty.step(now, 0);
    }
    now
}

fn begin(duty: &mut Ownership, now: Duration) -> Vec<RankOrder> {
    let question = duty.edit_search(now).expect("an edit may pay");
    let edit = question.answer();
    assert!(edit.is_some(), "an edit pays");
    duty.begin_change(now, &question, edit, 0);
    duty.step(now, 0)
}

fn version(orders: &[RankOrder]) -> u64 {
    match orders.first().map(|errand| &errand.order.action) {
        Some(Action::Prepare { version, .. }) => *version,
        other => panic!("not an order to copy: {other:?}"),
    }
}

#[test]
fn copies_everywhere() {
    let mut duty = duty();
    let now = settled(&mut duty, Duration::ZERO, RANKS);
    let orders = begin(&mut duty, now);
    assert_eq!(orders.len(), RANKS);
    assert!(duty.edit_search(now).is_none(), "one change at a time");
}

/// Ranks do not show a version while they copy it; it must not be given to another map.
#[test]
fn versions_grow() {
    let mut duty = duty();
    let now = settled(&mut duty, Duration::ZERO, RANKS);
    let first = version(&begin(&mut duty, now));
    duty.reset_after_stall();
    let now = settled(&mut duty, now, RANKS);
    let second = version(&begin(&mut duty, now));
    assert!(second > first, "{second} after {first}");
}

#[test]
fn half_is_too_few() {
    let mut duty = duty();
    let now = settled(&mut duty, Duration::ZERO, RANKS);
    assert!(duty.requests_by_rank().is_some());
    let now = settled(&mut duty, now, RANKS / 2);
    assert!(duty.requests_by_rank().is_none(), "another process may act for the other half");
    assert!(duty.edit_search(now).is_none());
}

#[test]
fn waits_to_act() {
    let mut duty = duty();
    let now = Duration::from_millis(50);
    pulses(&mut duty, now, RANKS);
    duty.step(now, 0);
    assert!(duty.edit_search(now).is_none(), "the owner before may still act");
}

/// Looking for an edit costs the owner's core, so one that does not pay is not looked for again
/// until popularity has changed.
#[test]
fn unpaid_is_remembered() {
    let mut duty = duty();
    let now = settled(&mut duty, Duration::ZERO, RANKS);
    let question = duty.edit_search(now).expect("an edit may pay");
    duty.begin_change(now, &question, None, 0);
    assert!(duty.edit_search(now).is_none(), "asked again at once");
    let now = settled(&mut duty, now, RANKS);
    assert!(duty.edit_search(now).is_some(), "asked again after a while");
}

/// The host of an owner froze while a pass was held at its engine, so that the group stands still.
/// Whoever takes over has never heard of that rank; it settles as soon as the engine answers.
#[test]
fn owner_frozen() {
    let mut duty = duty();
    duty.set_own_rank(1);
    let first = |rank: usize| vec![rank as u16, (rank + RANKS) as u16];
    duty.remember_map(1, 0, vec![(0..RANKS).map(first).collect()]);
    let mut now = Duration::ZERO;
    for _ in 0..40 {
        now += Duration::from_millis(50);
        pulses_of(&mut duty, now, 1..RANKS);
        assert!(duty.step(now, 0).is_empty(), "the state of a rank is not known");
    }
    assert_eq!(duty.silent_ranks(now), [0]);
    let ahead = now.as_millis() as u64 / 50 + 2;
    duty.receive_polled_status(Status { held: Some(ahead), ..status(0, now) });
    let orders = duty.step(now, 0);
    assert!(!orders.is_empty(), "what was left behind is settled at once");
    assert_eq!(duty.silent_ranks(now), [0], "a look does not speak for the agent");
}

/// A group that lost a rank forms anew within a second, with a map that does not fit. Its owner
/// goes on with it: another one would still be waiting to act.
#[test]
fn formed_anew() {
    let mut duty = duty();
    let mut now = settled(&mut duty, Duration::ZERO, RANKS);
    for _ in 0..4 {
        now += Duration::from_millis(100);
        pulses_in(2, &mut duty, now, 0..RANKS / 2);
        duty.step(now, 0);
    }
    now += Duration::from_millis(50);
    pulses_in(2, &mut duty, now, 0..RANKS);
    duty.step(now, 0);
    assert!(duty.edit_search(now).is_some(), "the owner waits as if it were new");
}

/// A process that woke gets what was sent to it before, loses the duty again and regains it. It has
/// not acted since, so another one may be acting.
#[test]
fn regained_unused() {
    let mut duty = duty();
    let mut now = Duration::from_millis(50);
    pulses(&mut duty, now, RANKS);
    duty.step(now, 0);
    now += Duration::from_millis(800);
    duty.step(now, 0);
    for _ in 0..8 {
        now += Duration::from_millis(100);
        pulses(&mut duty, now, RANKS);
        duty.step(now, 0);
        assert!(duty.edit_search(now).is_none(), "{now:?}");
    }
}
