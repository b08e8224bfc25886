//! Partial repack: ranks near the mean keep what they hold, the others are dealt out anew.

use crate::group::{layout, loads, pack};

/// Cells of one layer in which ranks whose load is within `tolerance` of the mean are kept.
///
/// `tolerance` is a share of the mean load. Copies go back to a rank that held
/// them before when that costs no more than `tolerance`.
pub fn repack(
    weights: &[f64],
    slots: usize,
    old: &[u16],
    tolerance: f64,
    layout: &layout::Layout,
    spread: bool,
) -> Vec<u16> {
    let ranks = old.len() / slots;
    let mean = weights.iter().sum::<f64>() / ranks as f64;
    let mut left = pack::count_copies(weights, ranks, slots);
    let shares: Vec<f64> = weights.iter().zip(&left).map(|(w, n)| w / *n as f64).collect();
    let mut bins = pack::Bins::new(layout, slots, old, tolerance * mean);
    for rank in even(&shares, slots, old, (mean, tolerance)) {
        let own = &old[rank * slots..(rank + 1) * slots];
        if own.iter().all(|&e| left[usize::from(e)] > 0) {
            own.iter().for_each(|&e| left[usize::from(e)] -= 1);
            own.iter().for_each(|&e| bins.add_copy(rank, e, shares[usize::from(e)]));
        }
    }
    bins.place_copies(&shares, &left, spread);
    bins.cells()
}

/// Ranks within tolerance, those nearest to the mean first.
fn even(shares: &[f64], slots: usize, old: &[u16], (mean, tolerance): (f64, f64)) -> Vec<usize> {
    let off = |rank: usize| {
        let own = &old[rank * slots..(rank + 1) * slots];
        (own.iter().map(|&e| shares[usize::from(e)]).sum::<f64>() / mean - 1.0).abs()
    };
    let mut ranks: Vec<usize> =
        (0..old.len() / slots).filter(|&rank| off(rank) <= tolerance).collect();
    ranks.sort_by(|&a, &b| off(a).total_cmp(&off(b)));
    ranks
}

/// Lowers the skew of `cells` by single edits, at most `most` of them.
pub fn polish(
    weights: &[f64],
    slots: usize,
    cells: &[u16],
    place: &loads::ZoneSpread<'_>,
    most: usize,
) -> Vec<u16> {
    let mut loads = loads::LayerLoads::new(weights, slots, cells);
    for _ in 0..most {
        match loads.best_edit(pack::busiest_rank(loads.rank_loads()), place) {
            Some((edit, _)) => loads.apply(edit),
            None => break,
        }
    }
    loads.cells().to_vec()
}
