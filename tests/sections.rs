//! Large groups of ranks: who speaks to the owner of the duty, and how orders reach all ranks.

use std::collections::BTreeSet;

use knapweedford::rank::{
    Act, Choices, Member, Order, Status, Step,
    message::{Errand, Pulse},
    relay::{self, Waiting},
};

const RANKS: usize = 63;

fn status(rank: usize, prepared: Option<u64>) -> Status {
    let member = Member { group: "g".into(), epoch: 1, rank, ranks: RANKS, open: true };
    Status {
        read: (rank as u64, 1),
        queued: 0,
        running: 4,
        member: Some(member),
        pass: 7,
        map: 0,
        prepared,
        armed: None,
        held: None,
    }
}

fn pulse(rank: usize, prepared: Option<u64>, chosen: Option<(u64, Vec<u8>)>) -> Pulse {
    let choices = chosen.map(|set| Choices { epoch: 1, sets: vec![set] });
    Pulse { status: status(rank, prepared), choices, placed: None }
}

#[test]
fn small_speaks_alone() {
    assert!((0..12).all(|rank| relay::section(rank, 12) == (rank..rank + 1)));
    assert_eq!(relay::speakers(12), 12);
}

/// The owner of a large group hears few agents, and each of those few ranks.
#[test]
fn large_is_shared() {
    for ranks in [17, 63, 240] {
        let sections: BTreeSet<_> = (0..ranks)
            .map(|rank| relay::section(rank, ranks))
            .inspect(|section| assert!(section.len() <= 16, "{section:?} of {ranks}"))
            .map(|section| (section.start, section.end))
            .collect();
        assert_eq!(sections.iter().map(|(start, end)| end - start).sum::<usize>(), ranks);
        assert_eq!(sections.len(), relay::speakers(ranks));
        assert!(sections.len() <= 16, "{} speakers of {ranks}", sections.len());
    }
}

#[test]
fn news_at_once() {
    let mut waiting = Waiting::default();
    assert!(waiting.add(3, pulse(3, None, None)), "the first word of a rank");
    waiting.take(pulse(0, None, None));
    assert!(!waiting.add(3, pulse(3, None, None)), "nothing new, though passed on meanwhile");
    assert!(waiting.add(3, pulse(3, Some(9), None)), "a copy is ready");
}

#[test]
fn choices_add_up() {
    let mut waiting = Waiting::default();
    waiting.add(1, pulse(1, None, Some((100, vec![255, 0]))));
    waiting.add(1, pulse(1, None, Some((100, vec![255, 0]))));
    waiting.add(2, pulse(2, None, Some((100, vec![0, 255]))));
    let pulses = waiting.take(pulse(0, None, Some((100, vec![0, 255]))));
    assert!(waiting.is_empty());
    let said: Vec<&Choices> = pulses.iter().filter_map(|pulse| pulse.choices.as_ref()).collect();
    assert_eq!(pulses.len(), 3);
    assert_eq!(said.len(), 1, "one word on what all chose");
    assert_eq!(said[0].weights(), vec![vec![200.0, 200.0]]);
}

#[test]
fn one_order_a_section() {
    let arm = Order { epoch: 1, act: Act::Arm(Step { version: 4, pass: 9 }) };
    let errands = (0..RANKS).map(|rank| Errand { rank, order: arm.clone() }).collect();
    let batches = relay::batches(errands, RANKS);
    assert_eq!(batches.len(), relay::speakers(RANKS));
    let ranks: Vec<usize> = batches.iter().flat_map(|batch| batch.ranks.clone()).collect();
    assert_eq!(ranks, (0..RANKS).collect::<Vec<_>>(), "each rank once");
    let go = Order { epoch: 1, act: Act::Go { pass: 9 } };
    let two = vec![Errand { rank: 0, order: arm }, Errand { rank: 1, order: go }];
    assert_eq!(relay::batches(two, RANKS).len(), 2, "different orders stay apart");
}
