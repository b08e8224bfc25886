//! Time for which a group stops at a change of its map, for the two safe protocols of a change,
//! with simulated delays and losses of orders.

use std::f64::consts;

use rand::{RngExt, SeedableRng};

use crate::maps::simulation;

/// Changes simulated for each protocol.
const CHANGES: usize = 20_000;
/// Median round trip of an order and its answer, in seconds.
const ROUND_TRIP_SECS: f64 = 0.001;
/// Standard deviation of the logarithm of the round trip.
const ROUND_TRIP_DEVIATION: f64 = 0.7;
/// Probability that an order or an answer is lost.
const LOSS_PROBABILITY: f64 = 0.01;
/// Delay before an order without an answer is sent again, in seconds.
const RESEND_DELAY_SECS: f64 = 0.5;
/// Probability that the rank is stalled when an order arrives.
const STALL_PROBABILITY: f64 = 0.001;
/// Longest stall of a rank, in seconds.
const MAX_STALL_SECS: f64 = 5.0;
/// Probability that the controller dies between the first and the last order after loading.
const DEATH_PROBABILITY: f64 = 0.002;
/// Longest time until another controller holds the lease and takes over, in seconds.
const MAX_TAKEOVER_SECS: f64 = 12.0;

/// Prints the time for which the group stops under both protocols.
pub fn print(seed: u64) {
    println!(
        "\ntime for which a change stops the group, in ms without loading, {CHANGES} changes each"
    );
    println!("{:<26} {:>8} {:>8} {:>8} {:>9}", "protocol", "median", "p95", "p99.9", "max");
    for ranks in [12, 256] {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let preloaded = vec![0.0; CHANGES];
        print_row(&format!("{ranks} ranks, preload"), &preloaded);
        let held: Vec<f64> = (0..CHANGES).map(|_| hold_time(&mut rng, ranks)).collect();
        print_row(&format!("{ranks} ranks, hold"), &held);
        let switched: Vec<f64> = (0..CHANGES).map(|_| switch_time(&mut rng)).collect();
        print_row("  preload, until switched", &switched);
    }
}

/// Returns the time of a change under the hold protocol, in seconds: hold rank 0 at the boundary
/// of a pass, switch all ranks, release rank 0. The group is stopped throughout.
fn hold_time(rng: &mut rand_pcg::Pcg64Mcg, ranks: usize) -> f64 {
    let switch_all = (0..ranks).map(|_| order_time(rng)).fold(0.0, f64::max);
    let takeover = if rng.random::<f64>() < DEATH_PROBABILITY {
        MAX_TAKEOVER_SECS * rng.random::<f64>()
    } else {
        0.0
    };
    switch_all + order_time(rng) + takeover
}

/// Returns the time until the switch under the preload protocol, in seconds: the ranks have loaded
/// the new map beforehand, and one order to rank 0 switches it while passes continue with the old
/// map.
fn switch_time(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let takeover = if rng.random::<f64>() < DEATH_PROBABILITY {
        MAX_TAKEOVER_SECS * rng.random::<f64>()
    } else {
        0.0
    };
    order_time(rng) + takeover
}

/// Returns the time until an order is answered, in seconds, with resends and stalls.
fn order_time(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let mut resend_time = 0.0;
    while rng.random::<f64>() < 2.0 * LOSS_PROBABILITY {
        resend_time += RESEND_DELAY_SECS;
    }
    let stall = if rng.random::<f64>() < STALL_PROBABILITY {
        MAX_STALL_SECS * rng.random::<f64>()
    } else {
        0.0
    };
    resend_time + ROUND_TRIP_SECS * (ROUND_TRIP_DEVIATION * normal(rng)).exp() + stall
}

/// Returns a sample of the standard normal distribution (Box-Muller).
fn normal(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * consts::PI * b).cos()
}

fn print_row(name: &str, times: &[f64]) {
    let ms = |share| simulation::quantile(times, share) * 1e3;
    println!("{name:<26} {:>8.1} {:>8.1} {:>8.1} {:>9.1}", ms(0.5), ms(0.95), ms(0.999), ms(1.0));
}
