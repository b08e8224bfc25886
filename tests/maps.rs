//! Decisions on expert maps, without I/O.

use std::{f64::consts, time};

use knapweedford::group::{
    bound, choice, decider, guard, history, layout, loads, map, order, pack, plan, popularity,
    rank, repack, straggler,
};
use rand::{RngExt, SeedableRng};

const SHAPE: map::Shape = map::Shape { layers: 2, ranks: 12, slots: 4, experts: 32 };

/// A group whose counts a test can shape.
struct Group {
    map: map::Map,
    layout: layout::Layout,
    counts: Vec<popularity::Popularity>,
    period: u64,
    rng: rand_pcg::Pcg64Mcg,
}

impl Group {
    fn new() -> Self {
        Self {
            map: map::Map::initial(SHAPE),
            layout: layout::Layout::regular(SHAPE.ranks, 2, 3),
            counts: vec![popularity::Popularity::default(); SHAPE.layers],
            period: 0,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(5),
        }
    }

    /// Reports `weights` for some periods, with relative noise.
    fn report(mut self, weights: &[f64], noise: f64, periods: u64) -> Self {
        for _ in 0..periods {
            self.period += 1;
            for count in &mut self.counts {
                let rng = &mut self.rng;
                let tokens: Vec<f64> = weights
                    .iter()
                    .map(|w| w * (1.0 + noise * rng.random_range(-1.7..1.7)))
                    .collect();
                count.add_report(popularity::TokenCounts { period: self.period, tokens: &tokens });
            }
        }
        self
    }

    fn view(&self) -> plan::GroupView<'_> {
        plan::GroupView { map: &self.map, popularity: &self.counts, layout: &self.layout }
    }

    fn decide(&self, terms: &plan::Parameters) -> plan::Decision {
        plan::decide(self.view(), terms)
    }
}

fn terms() -> plan::Parameters {
    plan::Parameters::new(&SHAPE, 10_000_000, 1e9, 1, plan::Weights::PIENSAIME)
}

fn zipf() -> Vec<f64> {
    (0..SHAPE.experts).map(|e| 1.0 / (1.0 + (e * 7 % SHAPE.experts) as f64).sqrt()).collect()
}

fn change(decision: plan::Decision) -> plan::Change {
    match decision {
        plan::Decision::Change(change) => *change,
        plan::Decision::Keep { why, skew } => panic!("kept at skew {skew}: {why:?}"),
    }
}

fn why(decision: plan::Decision) -> plan::KeepReason {
    match decision {
        plan::Decision::Keep { why, .. } => why,
        plan::Decision::Change(change) => panic!("changed: {change:?}"),
    }
}

#[test]
fn initial_whole() {
    assert_eq!(map::Map::initial(SHAPE).validate(), Ok(()));
}

#[test]
fn flaws_found() {
    let missing = map::Map::new(SHAPE, vec![0; 96]).unwrap_err();
    assert!(missing.to_string().contains("twice"), "{missing}");
    let short = map::Map::new(SHAPE, vec![0; 95]).unwrap_err();
    assert!(short.to_string().contains("95 cells"), "{short}");
}

#[test]
fn pack_even() {
    let layout = layout::Layout::regular(SHAPE.ranks, 2, 3);
    let cells = pack::pack(&zipf(), SHAPE.slots, &layout, false);
    let skew = loads::LayerLoads::new(&zipf(), SHAPE.slots, &cells).skew();
    assert!(skew < 1.1, "{skew}");
    let shape = map::Shape { layers: 1, ..SHAPE };
    assert!(map::Map::new(shape, cells).is_ok());
}

#[test]
fn pack_spreads() {
    let layout = layout::Layout::regular(SHAPE.ranks, 2, 3);
    let cells = pack::pack(&zipf(), SHAPE.slots, &layout, true);
    let loads = loads::LayerLoads::new(&zipf(), SHAPE.slots, &cells);
    let copied = (0..32u16).filter(|e| loads.holders(*e).len() > 1);
    let alone = copied.filter(|e| layout.zones_of(loads.holders(*e).iter().copied()) < 2).count();
    assert_eq!(alone, 0);
}

#[test]
fn pack_any_shape() {
    for (ranks, slots, experts) in [(2, 2, 2), (3, 2, 4), (5, 3, 7), (4, 4, 5), (8, 1, 8)] {
        let layout = layout::Layout::regular(ranks, 1, 2);
        let weights: Vec<f64> = (0..experts).map(|e| (e * e) as f64).collect();
        for tolerance in [0.0, 0.2] {
            let shape = map::Shape { layers: 1, ranks, slots, experts };
            let old = map::Map::initial(shape);
            let cells = repack::repack(&weights, slots, old.layer(0), tolerance, &layout, true);
            assert!(map::Map::new(shape, cells.clone()).is_ok(), "{shape:?} {cells:?}");
        }
    }
}

#[test]
fn bound_holds() {
    let hot: Vec<f64> = (0..8).map(|e| if e == 0 { 9.0 } else { 1.0 }).collect();
    assert!((bound::min_skew(&hot, 8, 1) - 4.5).abs() < 0.01);
    assert_eq!(bound::min_skew(&[1.0; 8], 8, 1), 1.0);
}

#[test]
fn edits_add_up() {
    let group = Group::new();
    let mut loads = loads::LayerLoads::new(&zipf(), SHAPE.slots, group.map.layer(0));
    let place = loads::ZoneSpread { layout: &group.layout, worth: 0.0 };
    for _ in 0..20 {
        let potential = |loads: &loads::LayerLoads| -> f64 {
            loads.rank_loads().iter().map(|load| load.powi(16)).sum()
        };
        let before = potential(&loads);
        let Some((edit, gain)) = loads.best_edit(pack::busiest_rank(loads.rank_loads()), &place)
        else {
            break;
        };
        loads.apply(edit);
        let fell = before - potential(&loads);
        let expected = gain * edit.moves() as f64;
        assert!((fell - expected).abs() < 1e-6 * before, "{edit:?}: {fell} not {expected}");
        let fresh = loads::LayerLoads::new(&zipf(), SHAPE.slots, loads.cells());
        assert!((fresh.skew() - loads.skew()).abs() < 1e-9);
    }
}

#[test]
fn skew_lowered() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let change = change(group.decide(&terms()));
    assert_eq!(change.map.validate(), Ok(()));
    assert!(change.skew.1 < change.skew.0 - 0.1, "{:?}", change.skew);
    assert_eq!(change.bytes, change.moves as u64 * 10_000_000);
}

#[test]
fn bytes_bounded() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let bounded = plan::Parameters { max_bytes: 50_000_000, ..terms() };
    assert!(change(group.decide(&bounded)).moves <= 5);
}

#[test]
fn cost_weighed() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let dear = plan::Parameters { rate: 10.0, ..terms() };
    assert_eq!(why(group.decide(&dear)), plan::KeepReason::Cost);
}

#[test]
fn rate_shared() {
    let terms = |groups| plan::Parameters::new(&SHAPE, 1, 8e9, groups, plan::Weights::PIENSAIME);
    assert_eq!(terms(4).rate * 4.0, terms(1).rate);
    assert!(terms(4).change_cost_s(100) > terms(1).change_cost_s(100));
}

#[test]
fn noise_ignored() {
    let mut group = Group::new();
    let mut changes = Vec::new();
    for period in 0..120 {
        group = group.report(&zipf(), 0.05, 1);
        if let plan::Decision::Change(change) = group.decide(&terms()) {
            group.map = change.map;
            changes.push(period);
        }
    }
    assert!(changes.iter().all(|period| *period < 20), "{changes:?}");
}

/// A standard normal variable.
fn normal(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * consts::PI * b).cos()
}

#[test]
fn chance_is_no_drift() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    let mut count = popularity::Popularity::default();
    for period in 0..288 {
        let tokens: Vec<f64> = (0..1024).map(|_| (0.03 * normal(&mut rng)).exp()).collect();
        count.add_report(popularity::TokenCounts { period, tokens: &tokens });
        let mean = count.weights().iter().sum::<f64>() / 1024.0;
        let off = |w: &f64| (w / mean - 1.0).abs();
        let worst = count.weights().iter().map(off).fold(0.0, f64::max);
        assert!(period < 60 || worst < 0.03, "{worst} off in period {period}");
    }
}

#[test]
fn no_counts() {
    assert_eq!(why(Group::new().decide(&terms())), plan::KeepReason::NoCounts);
}

#[test]
fn late_counts() {
    let mut counts = popularity::Popularity::default();
    assert!(counts.add_report(popularity::TokenCounts { period: 4, tokens: &[1.0, 3.0] }));
    assert!(!counts.add_report(popularity::TokenCounts { period: 4, tokens: &[9.0, 1.0] }));
    assert!(!counts.add_report(popularity::TokenCounts { period: 3, tokens: &[9.0, 1.0] }));
    assert!(!counts.add_report(popularity::TokenCounts { period: 5, tokens: &[0.0, 0.0] }));
    assert_eq!(counts.weights(), [0.5, 1.5]);
}

#[test]
fn sudden_run() {
    let mut run = zipf();
    run[3] *= 6.0;
    let group = Group::new().report(&zipf(), 0.02, 30).report(&run, 0.02, 1);
    let weights = group.counts[0].weights();
    assert!(weights[3] / weights[4] > 5.0 * zipf()[3] / zipf()[4]);
}

#[test]
fn straggler_told() {
    let mut watch = straggler::Detector::default();
    let even = straggler::Sample { tokens: 100.0, busy_s: 1.0 };
    let busy = straggler::Sample { tokens: 300.0, busy_s: 3.0 };
    let slow = straggler::Sample { tokens: 100.0, busy_s: 1.5 };
    let mut found = Vec::new();
    for _ in 0..4 {
        found = watch.add_period(&[even, busy, slow, even]);
    }
    assert_eq!(found.iter().map(|s| s.rank).collect::<Vec<_>>(), [2]);
    for _ in 0..20 {
        found = watch.add_period(&[even, busy, even, even]);
    }
    assert_eq!(found, []);
}

#[test]
fn straggler_unmoved() {
    let mut group = Group::new().report(&zipf(), 0.01, 30);
    while let plan::Decision::Change(change) = group.decide(&terms()) {
        group.map = change.map;
    }
    let mut duty = decider::Decider::default();
    let mut samples = vec![straggler::Sample { tokens: 100.0, busy_s: 1.0 }; SHAPE.ranks];
    samples[4].busy_s = 2.0;
    let progress = decider::ChangeStatus { idle: true, previous: None };
    for second in 0..4 {
        duty.record_samples(time::Duration::from_secs(second), &samples);
    }
    let next = duty.decide(time::Duration::from_secs(5), group.view(), &terms(), progress);
    assert_eq!(next, decider::Action::Keep);
    assert_eq!(duty.stragglers()[0].rank, 4);
    let last = duty.history().entries().last().unwrap();
    assert_eq!(last.event, history::Event::Kept { why: plan::KeepReason::Straggler });
}

#[test]
fn operators_first() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let previous = Some(map::Id { version: 3, digest: 33 });
    let progress = decider::ChangeStatus { idle: true, previous };
    let mut duty = decider::Decider::default();
    let mut decide = |ask: Option<decider::OperatorRequest>, progress: decider::ChangeStatus| {
        ask.into_iter().for_each(|ask| duty.set_request(ask));
        duty.decide(time::Duration::ZERO, group.view(), &terms(), progress)
    };
    assert!(matches!(decide(None, progress), decider::Action::Propose(_)));
    assert_eq!(decide(Some(decider::OperatorRequest::Freeze), progress), decider::Action::Keep);
    assert_eq!(decide(None, progress), decider::Action::Keep);
    let forced = decider::OperatorRequest::Force(group.map.clone());
    assert_eq!(decide(Some(forced), progress), decider::Action::Propose(group.map.clone()));
    assert_eq!(
        decide(Some(decider::OperatorRequest::Undo), progress),
        decider::Action::Restore(33)
    );
    assert!(matches!(
        decide(Some(decider::OperatorRequest::Thaw), progress),
        decider::Action::Propose(_)
    ));
    let busy = decider::ChangeStatus { idle: false, ..progress };
    assert_eq!(decide(Some(decider::OperatorRequest::Undo), busy), decider::Action::Keep);
    assert_eq!(decide(None, progress), decider::Action::Restore(33));
    assert_eq!(decide(Some(decider::OperatorRequest::Freeze), busy), decider::Action::Abort);
}

#[test]
fn history_counts() {
    let mut history = history::History::default();
    let kept = history::Event::Kept { why: plan::KeepReason::Even };
    let at = time::Duration::from_secs;
    history.record_event(at(1), kept.clone());
    history.record_event(at(2), kept);
    history.record_skew(at(1), 1.4);
    history.record_skew(at(3601), 1.2);
    history.record_skew(at(3700), 1.0);
    let summary = history.summary(map::Id::default());
    assert_eq!((summary.skew, summary.skew_hour), (1.0, 1.1));
    assert_eq!(summary.last.unwrap().times, 2);
}

#[test]
fn fence_kept() {
    let mut guard = guard::FenceGuard::default();
    assert!(!guard.admit(order::Fence(9)), "an order before the row was read");
    guard.raise_to(order::Fence(4));
    assert!(!guard.admit(order::Fence(3)));
    assert!(guard.admit(order::Fence(5)));
    assert!(!guard.admit(order::Fence(4)));
}

#[test]
fn rank_fenced() {
    let mut rank = rank::Rank::new(1, 1, map::Id::default(), Some(0));
    rank.handle_order(order::Fence(5), &order::Order::Report(1));
    let load = order::Order::Load(map::Id { version: 1, digest: 1 });
    assert_eq!(rank.handle_order(order::Fence(4), &load).verdict, order::Verdict::Fenced);
    assert_eq!(rank.handle_order(order::Fence(5), &load).verdict, order::Verdict::Done);
}

fn candidate(tokens: u64, kv_used: u64, hit: u64) -> choice::Candidate {
    choice::Candidate { tokens, kv_used, kv_total: 100_000, cached_prompt: hit, draining: false }
}

#[test]
fn prefix_pays() {
    let need = choice::RequestSize { prompt: 2000, output: 200 };
    let ranks = [candidate(1000, 5000, 0), candidate(2000, 5000, 1900)];
    assert_eq!(choice::choose_rank(&ranks, need), Some(1));
    let ranks = [candidate(1000, 5000, 0), candidate(9000, 5000, 1900)];
    assert_eq!(choice::choose_rank(&ranks, need), Some(0));
}

#[test]
fn memory_respected() {
    let need = choice::RequestSize { prompt: 2000, output: 200 };
    let ranks = [candidate(0, 94_000, 0), candidate(5000, 5000, 0)];
    assert_eq!(choice::choose_rank(&ranks, need), Some(1));
    assert_eq!(choice::choose_rank(&[candidate(0, 94_000, 0)], need), None);
    let draining = choice::Candidate { draining: true, ..candidate(0, 0, 0) };
    assert_eq!(choice::choose_rank(&[draining], need), None);
}
