//! Tests of the decisions on expert maps: packing, planning, stragglers, fences and rank choice.

use std::{f64::consts, time};

use knapweedford::group::{
    bound, choice, decider, guard, history, layout, loads, map, order, pack, plan, popularity,
    rank, repack, straggler,
};
use rand::{RngExt, SeedableRng};

const SHAPE: map::Shape = map::Shape { layers: 2, ranks: 12, slots: 4, experts: 32 };

/// A group whose popularity reports are set by the test.
struct Group {
    map: map::Map,
    layout: layout::Layout,
    popularity: Vec<popularity::Popularity>,
    period: u64,
    rng: rand_pcg::Pcg64Mcg,
}

impl Group {
    fn new() -> Self {
        Self {
            map: map::Map::initial(SHAPE),
            layout: layout::Layout::regular(SHAPE.ranks, 2, 3),
            popularity: vec![popularity::Popularity::default(); SHAPE.layers],
            period: 0,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(5),
        }
    }

    /// Reports `weights` for a number of periods, with relative noise.
    fn report(mut self, weights: &[f64], noise: f64, periods: u64) -> Self {
        for _ in 0..periods {
            self.period += 1;
            for layer in &mut self.popularity {
                let rng = &mut self.rng;
                let tokens: Vec<f64> = weights
                    .iter()
                    .map(|w| w * (1.0 + noise * rng.random_range(-1.7..1.7)))
                    .collect();
                layer.add_report(popularity::TokenCounts { period: self.period, tokens: &tokens });
            }
        }
        self
    }

    fn view(&self) -> plan::GroupView<'_> {
        plan::GroupView { map: &self.map, popularity: &self.popularity, layout: &self.layout }
    }

    fn decide(&self, params: &plan::Parameters) -> plan::Decision {
        plan::decide(self.view(), params)
    }
}

fn params() -> plan::Parameters {
    plan::Parameters::new(&SHAPE, 10_000_000, 1e9, 1, plan::Weights::PIENSAIME)
}

fn zipf() -> Vec<f64> {
    (0..SHAPE.experts).map(|e| 1.0 / (1.0 + (e * 7 % SHAPE.experts) as f64).sqrt()).collect()
}

fn expect_change(decision: plan::Decision) -> plan::Change {
    match decision {
        plan::Decision::Change(change) => *change,
        plan::Decision::Keep { why, skew } => panic!("map kept at skew {skew}: {why:?}"),
    }
}

fn expect_keep(decision: plan::Decision) -> plan::KeepReason {
    match decision {
        plan::Decision::Keep { why, .. } => why,
        plan::Decision::Change(change) => panic!("map changed: {change:?}"),
    }
}

/// The map that a group starts with has every expert on some rank, and none twice on a rank.
#[test]
fn initial_map_valid() {
    assert_eq!(map::Map::initial(SHAPE).validate(), Ok(()));
}

/// A map with an expert twice on a rank, or of the wrong size, is rejected with a message that
/// names the defect.
#[test]
fn defects_found() {
    let duplicate = map::Map::new(SHAPE, vec![0; 96]).unwrap_err();
    assert!(duplicate.to_string().contains("twice"), "{duplicate}");
    let short = map::Map::new(SHAPE, vec![0; 95]).unwrap_err();
    assert!(short.to_string().contains("95 cells"), "{short}");
}

/// Packing from scratch gives a valid map with nearly equal rank loads.
#[test]
fn pack_balances() {
    let layout = layout::Layout::regular(SHAPE.ranks, 2, 3);
    let cells = pack::pack(&zipf(), SHAPE.slots, &layout, false);
    let skew = loads::LayerLoads::new(&zipf(), SHAPE.slots, &cells).skew();
    assert!(skew < 1.1, "{skew}");
    let shape = map::Shape { layers: 1, ..SHAPE };
    assert!(map::Map::new(shape, cells).is_ok());
}

/// With `spread`, experts with several copies have them in at least two zones.
#[test]
fn pack_spreads_zones() {
    let layout = layout::Layout::regular(SHAPE.ranks, 2, 3);
    let cells = pack::pack(&zipf(), SHAPE.slots, &layout, true);
    let loads = loads::LayerLoads::new(&zipf(), SHAPE.slots, &cells);
    let replicated = (0..32u16).filter(|e| loads.holders(*e).len() > 1);
    let in_one_zone =
        replicated.filter(|e| layout.zones_of(loads.holders(*e).iter().copied()) < 2).count();
    assert_eq!(in_one_zone, 0);
}

/// A repack gives a valid map even if the free slots that remain are on ranks that hold the last
/// experts already.
#[test]
fn repack_any_shape() {
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

/// With as many slots as experts each expert has one copy, and the bound is the largest expert load
/// over the mean rank load.
#[test]
fn lower_bound() {
    let hot: Vec<f64> = (0..8).map(|e| if e == 0 { 9.0 } else { 1.0 }).collect();
    assert!((bound::min_skew(&hot, 8, 1) - 4.5).abs() < 0.01);
    assert_eq!(bound::min_skew(&[1.0; 8], 8, 1), 1.0);
}

/// The gain that an edit is chosen for is the decrease of the potential when it is applied, and the
/// updated loads equal those computed from the new cells.
#[test]
fn edit_gains_exact() {
    let group = Group::new();
    let mut loads = loads::LayerLoads::new(&zipf(), SHAPE.slots, group.map.layer(0));
    let spread = loads::ZoneSpread { layout: &group.layout, worth: 0.0 };
    for _ in 0..20 {
        let potential = |loads: &loads::LayerLoads| -> f64 {
            loads.rank_loads().iter().map(|load| load.powi(16)).sum()
        };
        let before = potential(&loads);
        let Some((edit, gain)) = loads.best_edit(pack::busiest_rank(loads.rank_loads()), &spread)
        else {
            break;
        };
        loads.apply(edit);
        let decrease = before - potential(&loads);
        let expected = gain * edit.moves() as f64;
        assert!(
            (decrease - expected).abs() < 1e-6 * before,
            "{edit:?} lowers the potential by {decrease}, not {expected}"
        );
        let recomputed = loads::LayerLoads::new(&zipf(), SHAPE.slots, loads.cells());
        assert!((recomputed.skew() - loads.skew()).abs() < 1e-9);
    }
}

/// A plan from the initial map gives a valid map of clearly lower skew.
#[test]
fn skew_lowered() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let change = expect_change(group.decide(&params()));
    assert_eq!(change.map.validate(), Ok(()));
    assert!(change.skew.1 < change.skew.0 - 0.1, "{:?}", change.skew);
    assert_eq!(change.bytes, change.moves as u64 * 10_000_000);
}

#[test]
fn bytes_limited() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let limited = plan::Parameters { max_bytes: 50_000_000, ..params() };
    assert!(expect_change(group.decide(&limited)).moves <= 5);
}

/// With a very slow weight store a change costs more than it saves, and the map is kept.
#[test]
fn cost_weighed() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let slow_store = plan::Parameters { rate: 10.0, ..params() };
    assert_eq!(expect_keep(group.decide(&slow_store)), plan::KeepReason::Cost);
}

/// Groups divide the rate of the weight store equally, so that together they stay within it.
#[test]
fn rate_shared() {
    let params = |groups| plan::Parameters::new(&SHAPE, 1, 8e9, groups, plan::Weights::PIENSAIME);
    assert_eq!(params(4).rate * 4.0, params(1).rate);
    assert!(params(4).change_cost_s(100) > params(1).change_cost_s(100));
}

/// Under constant popularity with noisy reports the map changes only in the first periods.
#[test]
fn noise_ignored() {
    let mut group = Group::new();
    let mut change_periods = Vec::new();
    for period in 0..120 {
        group = group.report(&zipf(), 0.05, 1);
        if let plan::Decision::Change(change) = group.decide(&params()) {
            group.map = change.map;
            change_periods.push(period);
        }
    }
    assert!(change_periods.iter().all(|period| *period < 20), "{change_periods:?}");
}

/// Returns a standard normal variable, by the Box-Muller transform.
fn normal(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * consts::PI * b).cos()
}

/// Pure noise is not taken for a drift: with 1024 experts and a day of periods, chance alone brings
/// large deviations of some expert.
#[test]
fn noise_is_no_drift() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    let mut popularity = popularity::Popularity::default();
    for period in 0..288 {
        let tokens: Vec<f64> = (0..1024).map(|_| (0.03 * normal(&mut rng)).exp()).collect();
        popularity.add_report(popularity::TokenCounts { period, tokens: &tokens });
        let mean = popularity.weights().iter().sum::<f64>() / 1024.0;
        let deviation = |w: &f64| (w / mean - 1.0).abs();
        let worst = popularity.weights().iter().map(deviation).fold(0.0, f64::max);
        assert!(period < 60 || worst < 0.03, "deviation of {worst} in period {period}");
    }
}

#[test]
fn no_counts() {
    assert_eq!(expect_keep(Group::new().decide(&params())), plan::KeepReason::NoCounts);
}

/// Late, repeated and empty reports do not change the estimate.
#[test]
fn late_reports_ignored() {
    let mut popularity = popularity::Popularity::default();
    assert!(popularity.add_report(popularity::TokenCounts { period: 4, tokens: &[1.0, 3.0] }));
    assert!(!popularity.add_report(popularity::TokenCounts { period: 4, tokens: &[9.0, 1.0] }));
    assert!(!popularity.add_report(popularity::TokenCounts { period: 3, tokens: &[9.0, 1.0] }));
    assert!(!popularity.add_report(popularity::TokenCounts { period: 5, tokens: &[0.0, 0.0] }));
    assert_eq!(popularity.weights(), [0.5, 1.5]);
}

/// A sudden surge on one expert shows in the estimate after a single report.
#[test]
fn surge_followed() {
    let mut surge = zipf();
    surge[3] *= 6.0;
    let group = Group::new().report(&zipf(), 0.02, 30).report(&surge, 0.02, 1);
    let weights = group.popularity[0].weights();
    assert!(weights[3] / weights[4] > 5.0 * zipf()[3] / zipf()[4]);
}

/// A rank with more tokens is not a straggler; one with more time per token is, until it recovers.
#[test]
fn straggler_detected() {
    let mut detector = straggler::Detector::default();
    let even = straggler::Sample { tokens: 100.0, busy_s: 1.0 };
    let busy = straggler::Sample { tokens: 300.0, busy_s: 3.0 };
    let slow = straggler::Sample { tokens: 100.0, busy_s: 1.5 };
    let mut found = Vec::new();
    for _ in 0..4 {
        found = detector.add_period(&[even, busy, slow, even]);
    }
    assert_eq!(found.iter().map(|s| s.rank).collect::<Vec<_>>(), [2]);
    for _ in 0..20 {
        found = detector.add_period(&[even, busy, even, even]);
    }
    assert_eq!(found, []);
}

/// A straggler is reported and the map is kept, since moving experts cannot fix a slow rank.
#[test]
fn straggler_keeps_map() {
    let mut group = Group::new().report(&zipf(), 0.01, 30);
    while let plan::Decision::Change(change) = group.decide(&params()) {
        group.map = change.map;
    }
    let mut decider = decider::Decider::default();
    let mut samples = vec![straggler::Sample { tokens: 100.0, busy_s: 1.0 }; SHAPE.ranks];
    samples[4].busy_s = 2.0;
    let status = decider::ChangeStatus { idle: true, previous: None };
    for second in 0..4 {
        decider.record_samples(time::Duration::from_secs(second), &samples);
    }
    let next = decider.decide(time::Duration::from_secs(5), group.view(), &params(), status);
    assert_eq!(next, decider::Action::Keep);
    assert_eq!(decider.stragglers()[0].rank, 4);
    let last = decider.history().entries().last().unwrap();
    assert_eq!(last.event, history::Event::Kept { why: plan::KeepReason::Straggler });
}

/// Operator requests come before the plan; a force or undo waits for the end of a change, and
/// a freeze aborts it.
#[test]
fn operator_requests_first() {
    let group = Group::new().report(&zipf(), 0.02, 5);
    let previous = Some(map::Id { version: 3, digest: 33 });
    let status = decider::ChangeStatus { idle: true, previous };
    let mut decider = decider::Decider::default();
    let mut decide = |request: Option<decider::OperatorRequest>, status: decider::ChangeStatus| {
        request.into_iter().for_each(|request| decider.set_request(request));
        decider.decide(time::Duration::ZERO, group.view(), &params(), status)
    };
    assert!(matches!(decide(None, status), decider::Action::Propose(_)));
    assert_eq!(decide(Some(decider::OperatorRequest::Freeze), status), decider::Action::Keep);
    assert_eq!(decide(None, status), decider::Action::Keep);
    let forced = decider::OperatorRequest::Force(group.map.clone());
    assert_eq!(decide(Some(forced), status), decider::Action::Propose(group.map.clone()));
    assert_eq!(decide(Some(decider::OperatorRequest::Undo), status), decider::Action::Restore(33));
    assert!(matches!(
        decide(Some(decider::OperatorRequest::Thaw), status),
        decider::Action::Propose(_)
    ));
    let busy = decider::ChangeStatus { idle: false, ..status };
    assert_eq!(decide(Some(decider::OperatorRequest::Undo), busy), decider::Action::Keep);
    assert_eq!(decide(None, status), decider::Action::Restore(33));
    assert_eq!(decide(Some(decider::OperatorRequest::Freeze), busy), decider::Action::Abort);
}

/// The mean skew covers the last hour only, and consecutive equal events share an entry.
#[test]
fn history_summary() {
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

/// The guard rejects orders before it knows a fence, and orders of an earlier lease holder.
#[test]
fn lower_fence_rejected() {
    let mut guard = guard::FenceGuard::default();
    assert!(!guard.admit(order::Fence(9)), "an order is admitted before the row was read");
    guard.raise_to(order::Fence(4));
    assert!(!guard.admit(order::Fence(3)));
    assert!(guard.admit(order::Fence(5)));
    assert!(!guard.admit(order::Fence(4)));
}

/// A rank rejects an order of an earlier lease holder after one of a later holder.
#[test]
fn fenced_order_rejected() {
    let mut rank = rank::Rank::new(1, 1, map::Id::default(), Some(0));
    rank.handle_order(order::Fence(5), &order::Order::Report(1));
    let load = order::Order::Load(map::Id { version: 1, digest: 1 });
    assert_eq!(rank.handle_order(order::Fence(4), &load).verdict, order::Verdict::Fenced);
    assert_eq!(rank.handle_order(order::Fence(5), &load).verdict, order::Verdict::Done);
}

fn candidate(tokens: u64, kv_used: u64, hit: u64) -> choice::Candidate {
    choice::Candidate { tokens, kv_used, kv_total: 100_000, cached_prompt: hit, draining: false }
}

/// A cached prefix decides the rank, unless that rank has far more tokens in flight.
#[test]
fn prefix_weighed() {
    let size = choice::RequestSize { prompt: 2000, output: 200 };
    let ranks = [candidate(1000, 5000, 0), candidate(2000, 5000, 1900)];
    assert_eq!(choice::choose_rank(&ranks, size), Some(1));
    let ranks = [candidate(1000, 5000, 0), candidate(9000, 5000, 1900)];
    assert_eq!(choice::choose_rank(&ranks, size), Some(0));
}

/// No request goes to a rank that would exceed its KV memory less the reserve, or that is draining.
#[test]
fn memory_reserved() {
    let size = choice::RequestSize { prompt: 2000, output: 200 };
    let ranks = [candidate(0, 94_000, 0), candidate(5000, 5000, 0)];
    assert_eq!(choice::choose_rank(&ranks, size), Some(1));
    assert_eq!(choice::choose_rank(&[candidate(0, 94_000, 0)], size), None);
    let draining = choice::Candidate { draining: true, ..candidate(0, 0, 0) };
    assert_eq!(choice::choose_rank(&[draining], size), None);
}
