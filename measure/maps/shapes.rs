//! What the two safe shapes of a change cost in stopped time, on one model of the orders' way.

use std::f64::consts;

use rand::{RngExt, SeedableRng};

use crate::maps::play;

const CHANGES: usize = 20_000;
/// Median time of an order and its answer, in seconds.
const ROUND: f64 = 0.001;
/// Spread of the logarithm of that time.
const SPREAD: f64 = 0.7;
/// Part of orders or answers that is lost.
const LOST: f64 = 0.01;
/// Time after which an order is given again, in seconds.
const RESEND: f64 = 0.5;
/// Part of orders that meet a stalled rank.
const STALLED: f64 = 0.001;
/// Longest stall of a rank, in seconds.
const STALL: f64 = 5.0;
/// Part of controllers that die between the first order after loading and the last.
const DIES: f64 = 0.002;
/// Time until another holds the lease and takes over, in seconds.
const TAKE_OVER: f64 = 12.0;

/// Prints the stopped time of both shapes.
pub fn run(seed: u64) {
    println!("\nstopped time of a change in ms, {CHANGES} changes each, loading apart");
    println!("{:<26} {:>8} {:>8} {:>8} {:>9}", "shape", "median", "p95", "p99.9", "worst");
    for ranks in [12, 256] {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let beside = vec![0.0; CHANGES];
        print(&format!("{ranks} ranks, beside"), &beside);
        let held: Vec<f64> = (0..CHANGES).map(|_| hold(&mut rng, ranks)).collect();
        print(&format!("{ranks} ranks, held"), &held);
        let decided: Vec<f64> = (0..CHANGES).map(|_| decide(&mut rng)).collect();
        print("  until the switch, beside", &decided);
    }
}

/// Held at a step boundary: hold rank 0, switch all, release rank 0. The group stands still throughout.
fn hold(rng: &mut rand_pcg::Pcg64Mcg, ranks: usize) -> f64 {
    let all = (0..ranks).map(|_| order(rng)).fold(0.0, f64::max);
    let dies = if rng.random::<f64>() < DIES { TAKE_OVER * rng.random::<f64>() } else { 0.0 };
    all + order(rng) + dies
}

/// Loaded beside: one order to rank 0, while steps go on with the old map.
fn decide(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let dies = if rng.random::<f64>() < DIES { TAKE_OVER * rng.random::<f64>() } else { 0.0 };
    order(rng) + dies
}

fn order(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let mut time = 0.0;
    while rng.random::<f64>() < 2.0 * LOST {
        time += RESEND;
    }
    let stalled = if rng.random::<f64>() < STALLED { STALL * rng.random::<f64>() } else { 0.0 };
    time + ROUND * (SPREAD * normal(rng)).exp() + stalled
}

fn normal(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * consts::PI * b).cos()
}

fn print(name: &str, times: &[f64]) {
    let ms = |part| play::quantile(times, part) * 1e3;
    println!("{name:<26} {:>8.1} {:>8.1} {:>8.1} {:>9.1}", ms(0.5), ms(0.95), ms(0.999), ms(1.0));
}
