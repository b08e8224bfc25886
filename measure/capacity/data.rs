//! Processor time and memory of entry and sidecar against streams in flight.

use std::{sync::atomic, thread, time};

use super::slope::Slope;
use crate::path::{bench, stream};

/// Streams at once, one point of each line.
const STREAMS: [usize; 4] = [10, 25, 50, 100];
/// Time over which a point is measured.
const SPAN: time::Duration = time::Duration::from_secs(6);
/// Time in which the streams start.
const LEAD: time::Duration = time::Duration::from_secs(2);
/// Tokens of each answer.
const TOKENS: u32 = 228;

/// Tokens a second of the target size, at all entries.
const TARGET_TOKENS: f64 = 890_000.0;
/// Requests a second of the target size, at all entries.
const TARGET_REQUESTS: f64 = 3_900.0;
/// Entries of the target size.
const TARGET_ENTRIES: f64 = 320.0;
/// Backend servers of the target size.
const TARGET_SERVERS: f64 = 600.0;
/// Time between tokens of the target size, in seconds.
const TARGET_TOKEN_TIME: f64 = 0.035;

/// One point: load and what it cost a second.
struct Point {
    streams: f64,
    pieces: f64,
    entry_us: f64,
    entry_kib: f64,
    sidecars_us: f64,
    sidecar_kib: f64,
}

/// Measures all points, fits the lines and works out the target size.
pub fn run() -> anyhow::Result<()> {
    let bench = bench::Bench::start()?;
    bench.warm()?;
    println!("streams pieces/s entry-us/s entry-KiB sidecars-us/s sidecar-KiB");
    let points = STREAMS.iter().map(|streams| point(&bench, *streams));
    let points: Vec<Point> = points.collect::<anyhow::Result<_>>()?;
    for at in &points {
        println!(
            "{:>7} {:>8.0} {:>10.0} {:>9.0} {:>13.0} {:>11.0}",
            at.streams, at.pieces, at.entry_us, at.entry_kib, at.sidecars_us, at.sidecar_kib
        );
    }
    report(&points);
    Ok(())
}

fn report(points: &[Point]) {
    let line = |x: &dyn Fn(&Point) -> f64, y: &dyn Fn(&Point) -> f64| {
        let pairs: Vec<_> = points.iter().map(|at| (x(at), y(at))).collect();
        Slope::fit(&pairs)
    };
    let entry_us = line(&|at| at.pieces, &|at| at.entry_us);
    let sidecar_us = line(&|at| at.pieces, &|at| at.sidecars_us);
    let entry_kib = line(&|at| at.streams, &|at| at.entry_kib);
    let sidecar_kib = line(&|at| at.streams / bench::ENGINES as f64, &|at| at.sidecar_kib);
    show("entry us a piece", entry_us);
    show("sidecars us a piece", sidecar_us);
    show("entry KiB a stream", entry_kib);
    show("sidecar KiB a stream of its own", sidecar_kib);

    let pieces = TARGET_TOKENS / TARGET_ENTRIES;
    let streams = pieces * TARGET_TOKEN_TIME;
    let server_pieces = TARGET_TOKENS / TARGET_SERVERS;
    let server_streams = server_pieces * TARGET_TOKEN_TIME;
    println!(
        "target, one entry: {:.1} requests/s, {pieces:.0} pieces/s, {streams:.0} streams: \
         {:.1}% of a core, {:.1} MiB",
        TARGET_REQUESTS / TARGET_ENTRIES,
        percent(entry_us.slope * pieces),
        entry_kib.at(streams) / 1024.0
    );
    println!(
        "target, one sidecar: {:.1} requests/s, {server_pieces:.0} pieces/s, \
         {server_streams:.0} streams: {:.1}% of a core, {:.1} MiB",
        TARGET_REQUESTS / TARGET_SERVERS,
        percent(sidecar_us.slope * server_pieces),
        sidecar_kib.at(server_streams) / 1024.0
    );
}

fn show(what: &str, line: Slope) {
    println!("{what}: {:.2} (at 0: {:.0}, spread {:.0})", line.slope, line.base, line.spread);
}

/// Share of a core, from microseconds a second.
fn percent(us: f64) -> f64 {
    us / 10_000.0
}

fn point(bench: &bench::Bench, streams: usize) -> anyhow::Result<Point> {
    let (pieces, stop) = (atomic::AtomicU64::new(0), atomic::AtomicBool::new(false));
    thread::scope(|scope| {
        for number in 0..streams {
            let (pieces, stop) = (&pieces, &stop);
            scope.spawn(move || read(bench, number, pieces, stop));
        }
        thread::sleep(LEAD);
        let seen = observe(bench, streams, &pieces);
        stop.store(true, atomic::Ordering::Relaxed);
        seen
    })
}

fn observe(
    bench: &bench::Bench,
    streams: usize,
    pieces: &atomic::AtomicU64,
) -> anyhow::Result<Point> {
    let (entry, sidecars) = (bench.entry_usage()?, bench.sidecar_usages()?);
    let (before, begun) = (pieces.load(atomic::Ordering::Relaxed), time::Instant::now());
    thread::sleep(SPAN);
    let span = begun.elapsed().as_secs_f64();
    let (entry_now, sidecars_now) = (bench.entry_usage()?, bench.sidecar_usages()?);
    let after = pieces.load(atomic::Ordering::Relaxed);
    let busy = |now: &bench::Usage, then: &bench::Usage| now.busy_us.saturating_sub(then.busy_us);
    let sidecars_us: u64 = sidecars_now.iter().zip(&sidecars).map(|(n, t)| busy(n, t)).sum();
    let memory = sidecars_now.iter().map(|usage| usage.memory_kib).sum::<u64>();
    Ok(Point {
        streams: streams as f64,
        pieces: (after - before) as f64 / span,
        entry_us: busy(&entry_now, &entry) as f64 / span,
        entry_kib: entry_now.memory_kib as f64,
        sidecars_us: sidecars_us as f64 / span,
        sidecar_kib: memory as f64 / bench::ENGINES as f64,
    })
}

/// Reads answers through the path until it is stopped, counting pieces as they come.
fn read(
    bench: &bench::Bench,
    number: usize,
    pieces: &atomic::AtomicU64,
    stop: &atomic::AtomicBool,
) {
    let agent = stream::agent();
    let mut round = 0;
    while !stop.load(atomic::Ordering::Relaxed) {
        let body = stream::body(number, round, TOKENS);
        let counted = stream::each(&agent, &bench.path(), &body, |_| {
            pieces.fetch_add(1, atomic::Ordering::Relaxed);
            !stop.load(atomic::Ordering::Relaxed)
        });
        match counted {
            Ok(()) => round += 1,
            Err(_) => thread::sleep(time::Duration::from_millis(50)),
        }
    }
}
