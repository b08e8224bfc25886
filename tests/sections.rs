//! Large groups of ranks: who speaks to the owner of the duty, and how orders reach all ranks.

use std::collections::BTreeSet;

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
    }
}

fn pulse(rank: usize, prepared: Option<u64>, chosen: Option<(u64, Vec<u8>)>) -> Heartbeat {
    let choices = chosen.map(|set| Choices { epoch: 1, sets: vec![set] });
    Heartbeat { status: status(rank, prepared), choices, placement: None }
}

#[test]
fn small_speaks_alone() {
    assert!((0..12).all(|rank| relay::section_of(rank, 12) == (rank..rank + 1)));
    assert_eq!(relay::section_count(12), 12);
}

/// The owner of a large group hears few agents, and each of those few ranks.
#[test]
fn large_is_shared() {
    for ranks in [17, 63, 240] {
        let sections: BTreeSet<_> = (0..ranks)
            .map(|rank| relay::section_of(rank, ranks))
            .inspect(|section| assert!(section.len() <= 16, "{section:?} of {ranks}"))
            .map(|section| (section.start, section.end))
            .collect();
        assert_eq!(sections.iter().map(|(start, end)| end - start).sum::<usize>(), ranks);
        assert_eq!(sections.len(), relay::section_count(ranks));
        assert!(sections.len() <= 16, "{} speakers of {ranks}", sections.len());
    }
}

#[test]
fn news_at_once() {
    let mut waiting = PendingHeartbeats::default();
    assert!(waiting.add(3, pulse(3, None, None)), "the first word of a rank");
    waiting.take_with(pulse(0, None, None));
    assert!(!waiting.add(3, pulse(3, None, None)), "nothing new, though passed on meanwhile");
    assert!(waiting.add(3, pulse(3, Some(9), None)), "a copy is ready");
}

#[test]
fn choices_add_up() {
    let mut waiting = PendingHeartbeats::default();
    waiting.add(1, pulse(1, None, Some((100, vec![255, 0]))));
    waiting.add(1, pulse(1, None, Some((100, vec![255, 0]))));
    waiting.add(2, pulse(2, None, Some((100, vec![0, 255]))));
    let pulses = waiting.take_with(pulse(0, None, Some((100, vec![0, 255]))));
    assert!(waiting.is_empty());
    let said: Vec<&Choices> = pulses.iter().filter_map(|pulse| pulse.choices.as_ref()).collect();
    assert_eq!(pulses.len(), 3);
    assert_eq!(said.len(), 1, "one word on what all chose");
    assert_eq!(said[0].weights(), vec![vec![200.0, 200.0]]);
}

#[test]
fn one_order_a_section() {
    let arm = Order { epoch: 1, action: Action::Arm(MapSwitch { version: 4, pass: 9 }) };
    let errands = (0..RANKS).map(|rank| RankOrder { rank, order: arm.clone() }).collect();
    let batches = relay::batch_by_section(errands, RANKS);
    assert_eq!(batches.len(), relay::section_count(RANKS));
    let ranks: Vec<usize> = batches.iter().flat_map(|batch| batch.ranks.clone()).collect();
    assert_eq!(ranks, (0..RANKS).collect::<Vec<_>>(), "each rank once");
    let go = Order { epoch: 1, action: Action::Release { pass: 9 } };
    let two = vec![RankOrder { rank: 0, order: arm }, RankOrder { rank: 1, order: go }];
    assert_eq!(relay::batch_by_section(two, RANKS).len(), 2, "different orders stay apart");
}
