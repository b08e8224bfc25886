//! Engines that are slower than the others of their group: how they are found, and relieved of
//! requests and experts. No network; each test names its load.

use std::time::Duration;

use knapweedford::{
    group::rebalance::{self, LayerMap, Parameters, SharedMap},
    rank::{Choices, Member, Status, message::Heartbeat, ownership::Ownership, valid_pace},
    site::catalog::ExpertShape,
};

/// Sizes of a group: ranks, layer sets, experts of a set and slots of a rank.
type Size = (usize, usize, usize, usize);
const SMALL: Size = (24, 16, 96, 5);
const LARGE: Size = (63, 8, 252, 5);

fn params(slots: usize, slowness: Vec<f64>) -> Parameters {
    Parameters {
        slots,
        max_copies_per_layer: 2,
        copy_time: Duration::from_millis(14),
        expert_part: 0.6,
        interference: 0.15,
        horizon: Duration::from_millis(2_500),
        copy_cost: Duration::from_micros(110),
        utilization: 1.0,
        slowness,
    }
}

fn first_map((ranks, layers, experts, _): Size) -> Vec<LayerMap> {
    let experts_of = |rank: usize| (rank..experts).step_by(ranks).map(|e| e as u16).collect();
    vec![(0..ranks).map(experts_of).collect(); layers]
}

/// Returns weights of which few are large, other ones in each layer.
fn weights((_, layers, experts, _): Size) -> Vec<Vec<f64>> {
    let weight = |n: usize| 1.0 / ((n + 1) as f64).powf(0.67);
    let expert_weight = |layer: usize, e: usize| weight((e * 31 + layer * 57) % experts);
    (0..layers).map(|l| (0..experts).map(|e| expert_weight(l, e)).collect()).collect()
}

/// Applies edits until none pays; returns the map.
fn settle(mut map: Vec<LayerMap>, weights: &[Vec<f64>], params: &Parameters) -> Vec<LayerMap> {
    for _ in 0..20 {
        let Some(edit) = rebalance::best_edit(&map, weights, params) else { break };
        check_map(&edit.map, weights[0].len(), params.slots);
        map = edit.map;
    }
    map
}

fn check_map(map: &[LayerMap], experts: usize, slots: usize) {
    for layer in map {
        assert!(layer.iter().all(|held| held.len() <= slots), "a rank holds too many experts");
        let held_by_some = |e: u16| layer.iter().any(|held| held.contains(&e));
        assert!((0..experts as u16).all(held_by_some), "an expert has no copy");
    }
}

fn slowness(ranks: usize, slow: &[(usize, f64)]) -> Vec<f64> {
    let factor = |rank| slow.iter().find(|(slow, _)| *slow == rank).map_or(1.0, |(_, f)| *f);
    (0..ranks).map(factor).collect()
}

/// Checks that slow ranks no longer determine the duration of passes.
fn check_relieved(size: Size, slow: &[(usize, f64)]) {
    let (ranks, .., slots) = size;
    let weights = weights(size);
    let balanced = settle(first_map(size), &weights, &params(slots, Vec::new()));
    let slowness = slowness(ranks, slow);
    let before = rebalance::mean_skew(&balanced, &weights, &slowness);
    // Without the decision the map stays as it is.
    let unaware = settle(balanced.clone(), &weights, &params(slots, Vec::new()));
    assert!(rebalance::mean_skew(&unaware, &weights, &slowness) > 2.0, "nothing to relieve");
    let params = params(slots, slowness.clone());
    let first = rebalance::best_edit(&balanced, &weights, &params).expect("an edit pays");
    assert!(first.copies_per_rank <= 8, "{} copies per rank", first.copies_per_rank);
    let relieved = settle(balanced, &weights, &params);
    let after = rebalance::mean_skew(&relieved, &weights, &slowness);
    assert!(after < 1.5, "skew {before} to {after} with {slow:?} of {ranks}");
}

/// One engine of a group under load works three or twelve times as long.
#[test]
fn one_slow() {
    for factor in [3.0, 12.0] {
        check_relieved(SMALL, &[(7, factor)]);
        check_relieved(LARGE, &[(54, factor)]);
    }
}

/// Two engines of a group are slow at once, by different factors.
#[test]
fn two_slow() {
    check_relieved(SMALL, &[(0, 3.0), (23, 5.0)]);
    check_relieved(LARGE, &[(1, 12.0), (2, 3.0)]);
}

/// Popularity jumps to the experts of a slow engine, on the map with which the group formed.
#[test]
fn slow_and_hot() {
    let (ranks, .., experts, slots) = LARGE;
    let mut weights = weights(LARGE);
    let rank = 9;
    for layer in &mut weights {
        layer.iter_mut().skip(rank).step_by(ranks).for_each(|weight| *weight *= 8.0);
    }
    let slowness = slowness(ranks, &[(rank, 3.0)]);
    let map = settle(first_map(LARGE), &weights, &params(slots, slowness.clone()));
    check_map(&map, experts, slots);
    let skew = rebalance::mean_skew(&map, &weights, &slowness);
    assert!(skew < 2.0, "skew {skew}");
}

/// The engine recovers: at the next jump of popularity it is used again.
#[test]
fn recovered() {
    let (ranks, .., slots) = SMALL;
    let size = SMALL;
    let slow = params(slots, slowness(ranks, &[(7, 12.0)]));
    let relieved = settle(first_map(size), &weights(size), &slow);
    let held = |map: &[LayerMap]| map.iter().map(|layer| layer[7].len()).sum::<usize>();
    let mut jumped = weights(size);
    jumped.iter_mut().for_each(|layer| layer.rotate_left(11));
    let after = settle(relieved.clone(), &jumped, &params(slots, Vec::new()));
    assert!(held(&after) > held(&relieved), "{} experts, {} before", held(&after), held(&relieved));
    let skew = rebalance::mean_skew(&after, &jumped, &[]);
    assert!(skew < 1.3, "skew {skew}");
}

const RANKS: usize = 12;

/// The owner's state and the paces that the ranks report.
struct Group {
    ownership: Ownership,
    paces: [f64; RANKS],
    epoch: u64,
    now: Duration,
}

impl Group {
    fn new() -> Self {
        let shape = ExpertShape {
            slots: 4,
            layer_sets: 1,
            experts_per_set: 24,
            experts_per_rank: 4,
            max_copies: 2,
            copy_time: Duration::from_millis(14),
            expert_share: 0.85,
        };
        let mut ownership = Ownership::new(shape, None);
        let member = Member { group: "g".into(), epoch: 1, rank: 0, ranks: RANKS, open: true };
        ownership.set_own_member(&member);
        let mut group = Self { ownership, paces: [1.0; RANKS], epoch: 1, now: Duration::ZERO };
        let experts = |rank: usize| vec![rank as u16, (rank + RANKS) as u16];
        let map = SharedMap::new(vec![(0..RANKS).map(experts).collect()]);
        group.ownership.remember_map(1, 0, map);
        group.run(2_000, RANKS);
        group
    }

    /// Delivers heartbeats of the first `ranks` ranks for `time_ms`.
    fn run(&mut self, time_ms: u64, ranks: usize) {
        for _ in 0..time_ms / 50 {
            self.now += Duration::from_millis(50);
            for rank in 0..ranks {
                let group = "g".to_owned();
                let member = Member { group, epoch: self.epoch, rank, ranks: RANKS, open: true };
                let status = Status {
                    read_id: (rank as u64, self.now.as_millis() as u64),
                    queued: 0,
                    running: 4,
                    member: Some(member),
                    pass: self.now.as_millis() as u64 / 50,
                    map_version: 0,
                    prepared: None,
                    armed: None,
                    held: None,
                    pace: self.paces[rank],
                };
                let sets = vec![(100, vec![200; 2 * RANKS])];
                let choices = Some(Choices { epoch: self.epoch, sets });
                let heartbeat = Heartbeat { status, choices, placement: None };
                self.ownership.receive_heartbeat(self.now, heartbeat);
            }
            self.ownership.step(self.now, 0);
        }
    }

    fn slow_ranks(&self) -> Vec<usize> {
        self.ownership.slow_ranks().map(|(rank, _)| rank).collect()
    }
}

/// One rank is slow for some periods, whatever its load, and then recovers.
#[test]
fn found_and_recovered() {
    let mut group = Group::new();
    assert!(group.slow_ranks().is_empty());
    group.paces[5] = 3.0;
    group.run(500, RANKS);
    assert_eq!(group.slow_ranks(), [5]);
    assert!(group.ownership.edit_search(group.now).is_some(), "no relief is searched for");
    group.paces[5] = 1.0;
    group.run(3_000, RANKS);
    assert!(group.slow_ranks().is_empty());
}

/// All ranks run at the same pace: none is slow, and requests have nowhere better to go.
#[test]
fn all_slow() {
    let mut group = Group::new();
    group.paces = [3.0; RANKS];
    group.run(3_000, RANKS);
    assert!(group.slow_ranks().is_empty());
}

/// Paces that make no sense count as healthy; one that is too high is bounded.
#[test]
fn false_paces() {
    for pace in [f64::NAN, f64::NEG_INFINITY, 0.0, -3.0] {
        assert_eq!(valid_pace(pace), 1.0, "{pace}");
    }
    assert!(valid_pace(1e9) < 100.0);
    assert_eq!(valid_pace(2.5), 2.5);
}

/// The owner loses the heartbeats of most ranks in the middle of relieving one. The change is
/// dropped, and begins again once they are back.
#[test]
fn interrupted_relief() {
    let mut group = Group::new();
    group.paces[5] = 12.0;
    group.run(500, RANKS);
    let search = group.ownership.edit_search(group.now).expect("no relief is searched for");
    let edit = search.run();
    assert!(edit.is_some(), "no edit pays");
    group.ownership.begin_change(group.now, &search, edit, 0);
    assert!(group.ownership.is_changing());
    group.run(1_500, 2);
    assert!(!group.ownership.is_changing(), "the change goes on without the other ranks");
    group.run(2_500, RANKS);
    assert_eq!(group.slow_ranks(), [5]);
    assert!(group.ownership.edit_search(group.now).is_some(), "relief is not searched for again");
}

/// A rank recovers while the experts are still copied that relieve it: nothing is armed yet, and the
/// planned map is as good as the present one for a healthy rank, so that either may be used.
#[test]
fn recovered_in_change() {
    let mut group = Group::new();
    group.paces[5] = 3.0;
    group.run(500, RANKS);
    let search = group.ownership.edit_search(group.now).expect("no relief is searched for");
    let edit = search.run();
    group.ownership.begin_change(group.now, &search, edit, 0);
    group.paces[5] = 1.0;
    group.run(3_000, RANKS);
    assert!(group.slow_ranks().is_empty());
}

/// The group forms anew: the paces of the previous epoch do not count.
#[test]
fn new_epoch() {
    let mut group = Group::new();
    group.paces[5] = 3.0;
    group.run(500, RANKS);
    assert_eq!(group.slow_ranks(), [5]);
    (group.epoch, group.paces[5]) = (2, 1.0);
    group.run(100, RANKS);
    assert!(group.slow_ranks().is_empty());
}
