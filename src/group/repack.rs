//! Partial repacking of a layer: ranks with a load near the mean keep their experts, the others
//! are packed again.

use crate::group::{layout, loads, pack};

/// Returns the cells of one layer after a partial repack of `old`.
///
/// A rank keeps its experts if its load differs from the mean load by at most the share
/// `tolerance` of the mean. A copy is placed on a rank that held the expert in `old` unless that
/// rank's load is higher by more than `tolerance` times the mean.
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
    let mut unplaced = pack::count_copies(weights, ranks, slots);
    let copy_loads: Vec<f64> = weights.iter().zip(&unplaced).map(|(w, n)| w / *n as f64).collect();
    let mut bins = pack::Bins::new(layout, slots, old, tolerance * mean);
    for rank in balanced_ranks(&copy_loads, slots, old, (mean, tolerance)) {
        let experts = &old[rank * slots..(rank + 1) * slots];
        if experts.iter().all(|&e| unplaced[usize::from(e)] > 0) {
            experts.iter().for_each(|&e| unplaced[usize::from(e)] -= 1);
            experts.iter().for_each(|&e| bins.add_copy(rank, e, copy_loads[usize::from(e)]));
        }
    }
    bins.place_copies(&copy_loads, &unplaced, spread);
    bins.cells()
}

/// Returns the ranks with a load within `tolerance` of the mean, those closest to the mean first.
fn balanced_ranks(
    copy_loads: &[f64],
    slots: usize,
    old: &[u16],
    (mean, tolerance): (f64, f64),
) -> Vec<usize> {
    let deviation = |rank: usize| {
        let experts = &old[rank * slots..(rank + 1) * slots];
        (experts.iter().map(|&e| copy_loads[usize::from(e)]).sum::<f64>() / mean - 1.0).abs()
    };
    let mut ranks: Vec<usize> =
        (0..old.len() / slots).filter(|&rank| deviation(rank) <= tolerance).collect();
    ranks.sort_by(|&a, &b| deviation(a).total_cmp(&deviation(b)));
    ranks
}

/// Lowers the skew of `cells` by at most `max_edits` single edits.
pub fn lower_skew(
    weights: &[f64],
    slots: usize,
    cells: &[u16],
    spread: &loads::ZoneSpread<'_>,
    max_edits: usize,
) -> Vec<u16> {
    let mut loads = loads::LayerLoads::new(weights, slots, cells);
    for _ in 0..max_edits {
        match loads.best_edit(pack::busiest_rank(loads.rank_loads()), spread) {
            Some((edit, _)) => loads.apply(edit),
            None => break,
        }
    }
    loads.cells().to_vec()
}
