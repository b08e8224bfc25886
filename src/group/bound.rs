//! Lower bound of the skew that any expert map can reach.

/// Bisection steps; 50 narrow the interval to the precision of the result.
const BISECTION_STEPS: usize = 50;

/// Returns the least possible ratio of the largest to the mean rank load of one layer.
///
/// `weights` gives the load of each expert; copies of an expert share its load evenly, and the
/// layer has `ranks` × `slots` slots.
///
/// Keeping every rank at a load of at most T needs at least ⌈w/T⌉ copies of an expert of weight
/// w. The bound is the smallest T for which all these copies fit into the slots, divided by the
/// mean load.
/// No map has a lower skew; the best map may have a higher one.
pub fn min_skew(weights: &[f64], ranks: usize, slots: usize) -> f64 {
    let total: f64 = weights.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let mean = total / ranks as f64;
    let fits = |limit: f64| {
        let copies = weights.iter().map(|w| (w / limit - 1e-9).ceil().max(1.0));
        copies.sum::<f64>() <= (ranks * slots) as f64
    };
    if fits(mean) {
        return 1.0;
    }
    let (mut low, mut high) = (mean, total);
    for _ in 0..BISECTION_STEPS {
        let mid = (low + high) / 2.0;
        match fits(mid) {
            true => high = mid,
            false => low = mid,
        }
    }
    low / mean
}
