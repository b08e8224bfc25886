//! Lower bound of the skew that any map can reach.

const ROUNDS: usize = 50;

/// Least max/mean over ranks for `weights` in `ranks` × `slots`, copies sharing evenly.
///
/// A rank time of T needs at least ⌈w/T⌉ copies of each expert; the bound is
/// the least T for which all these copies have a slot. No map does better;
/// the best map may do worse.
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
    for _ in 0..ROUNDS {
        let mid = (low + high) / 2.0;
        match fits(mid) {
            true => high = mid,
            false => low = mid,
        }
    }
    low / mean
}
