//! Sections of large groups: which agents send heartbeats to the owner, and how orders reach all
//! ranks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use knapweedford::rank::{
    Action, Choices, MapSwitch, Member, Order, Status,
    message::{Heartbeat, RankOrder},
    relay::{self, PendingHeartbeats},
};

const RANKS: usize = 63;

fn status(rank: usize, prepared: Option<u64>) -> Status {
    let member = Member { group: "g".into(), epoch: 1, rank, ranks: RANKS, open: true };
    Status {
        read_id: (rank as u64, 1),
        queued: 0,
        running: 4,
        member: Some(member),
        pass: 7,
        map_version: 0,
        prepared,
        armed: None,
        held: None,
        pace: 1.0,
    }
}

fn heartbeat(rank: usize, prepared: Option<u64>, chosen: Option<(u64, Vec<u8>)>) -> Heartbeat {
    let choices = chosen.map(|set| Choices { epoch: 1, sets: vec![set] });
    Heartbeat { status: status(rank, prepared), choices, placement: None }
}

fn take_with(pending: &mut PendingHeartbeats, now: Duration, own: Heartbeat) -> Vec<Heartbeat> {
    pending.take_with(own, now, relay::choices_interval(129, 16 * 258))
}

/// In a small group every agent sends its heartbeats straight to the owner.
#[test]
fn small_group() {
    assert!((0..12).all(|rank| relay::section_of(rank, 12) == (rank..rank + 1)));
    assert_eq!(relay::section_count(12), 12);
}

/// The owner of a large group receives heartbeats from at most 16 agents, and each of them from at
/// most 16 ranks; every rank is in one section.
#[test]
fn large_group() {
    for ranks in [17, 63, 240] {
        let sections: BTreeSet<_> = (0..ranks)
            .map(|rank| relay::section_of(rank, ranks))
            .inspect(|section| assert!(section.len() <= 16, "{section:?} of {ranks}"))
            .map(|section| (section.start, section.end))
            .collect();
        assert_eq!(sections.iter().map(|(start, end)| end - start).sum::<usize>(), ranks);
        assert_eq!(sections.len(), relay::section_count(ranks));
        assert!(sections.len() <= 16, "{} sections of {ranks}", sections.len());
    }
}

/// Only a status that a map change may wait for is to be passed on at once.
#[test]
fn changes_passed_on() {
    let mut pending = PendingHeartbeats::default();
    assert!(
        pending.add(3, heartbeat(3, None, None)),
        "the first heartbeat of a rank does not count as a change"
    );
    take_with(&mut pending, Duration::ZERO, heartbeat(0, None, None));
    assert!(
        !pending.add(3, heartbeat(3, None, None)),
        "an equal status counts as a change after the first was passed on"
    );
    assert!(
        pending.add(3, heartbeat(3, Some(9), None)),
        "a finished copy does not count as a change"
    );
}

/// A relay sends one sum of the choices of all ranks, so that the owner handles one per section.
#[test]
fn choices_summed() {
    let mut pending = PendingHeartbeats::default();
    pending.add(1, heartbeat(1, None, Some((100, vec![255, 0]))));
    pending.add(1, heartbeat(1, None, Some((100, vec![255, 0]))));
    pending.add(2, heartbeat(2, None, Some((100, vec![0, 255]))));
    let own = heartbeat(0, None, Some((100, vec![0, 255])));
    let heartbeats = take_with(&mut pending, Duration::ZERO, own);
    assert!(pending.is_empty());
    let choices: Vec<&Choices> =
        heartbeats.iter().filter_map(|heartbeat| heartbeat.choices.as_ref()).collect();
    assert_eq!(heartbeats.len(), 3);
    assert_eq!(choices.len(), 1, "more than one heartbeat has choices");
    assert_eq!(choices[0].weights(), vec![vec![200.0, 200.0]]);
}

/// Choices are most of the bytes that the owner receives: a relay that passes on statuses more often
/// keeps the choices back and loses none of them.
#[test]
fn choices_kept_back() {
    let mut pending = PendingHeartbeats::default();
    let mut passed_on = Vec::new();
    for poll in 0..20 {
        pending.add(1, heartbeat(1, None, Some((10, vec![255, 0]))));
        let own = heartbeat(0, None, Some((10, vec![0, 255])));
        let heartbeats = take_with(&mut pending, Duration::from_millis(poll * 50), own);
        assert_eq!(heartbeats.len(), 2, "a status was kept back");
        passed_on.extend(heartbeats.into_iter().filter_map(|heartbeat| heartbeat.choices));
    }
    assert_eq!(passed_on.len(), 4, "choices were not passed on every 250 ms");
    let total: f64 = passed_on.iter().map(|choices| choices.weights()[0][0]).sum();
    assert_eq!(total, 160.0, "choices up to the last message were lost");
}

/// Small groups report choices each pass; at the largest site they must leave the owner's link free
/// for orders.
#[test]
fn choices_bounded() {
    for (ranks, experts) in [(12, 4 * 72), (24, 16 * 96), (63, 8 * 252), (129, 16 * 258)] {
        let interval = relay::choices_interval(ranks, experts);
        let bytes = relay::section_count(ranks) * experts;
        let megabits_per_s = bytes as f64 * 8.0 / interval.as_secs_f64() / 1e6;
        assert!(megabits_per_s <= 2.0, "{megabits_per_s} Mbit/s in a group of {ranks}");
        assert!(interval <= Duration::from_millis(250), "{interval:?} in a group of {ranks}");
    }
    assert!(relay::choices_interval(63, 8 * 252) < Duration::from_millis(80));
}

/// Gateways ask the agents of different sections for the loads of a large group, so that no agent
/// sends them to many gateways; each gateway can turn to every agent.
#[test]
fn load_sources_spread() {
    let (ranks, gateways) = (129, 53);
    let mut asked_first: BTreeMap<usize, usize> = BTreeMap::new();
    for gateway in 0..gateways {
        let sources = relay::load_sources(ranks, gateway);
        *asked_first.entry(sources[0]).or_default() += 1;
        let all: BTreeSet<usize> = sources.iter().copied().collect();
        assert_eq!((sources.len(), all.len()), (ranks, ranks), "an agent is left out or twice");
    }
    assert_eq!(asked_first.len(), relay::section_count(ranks));
    assert!(asked_first.values().all(|gateways| *gateways <= 5), "{asked_first:?}");
    assert_eq!(relay::load_sources(12, 7), (0..12).collect::<Vec<_>>());
}

/// Each section gets an order once, and every rank is reached; different orders are not mixed.
#[test]
fn orders_batched() {
    let arm = Order { epoch: 1, action: Action::Arm(MapSwitch { version: 4, pass: 9 }) };
    let orders = (0..RANKS).map(|rank| RankOrder { rank, order: arm.clone() }).collect();
    let batches = relay::batch_by_section(orders, RANKS);
    assert_eq!(batches.len(), relay::section_count(RANKS));
    let ranks: Vec<usize> = batches.iter().flat_map(|batch| batch.ranks.clone()).collect();
    assert_eq!(ranks, (0..RANKS).collect::<Vec<_>>(), "not every rank is reached once");
    let release = Order { epoch: 1, action: Action::Release { pass: 9 } };
    let different = vec![RankOrder { rank: 0, order: arm }, RankOrder { rank: 1, order: release }];
    assert_eq!(
        relay::batch_by_section(different, RANKS).len(),
        2,
        "different orders are in one batch"
    );
}
