//! Processor time and memory of entry and sidecar by the number of streams in flight.

use std::{sync::atomic, thread, time};

use super::line::Line;
use crate::path::{processes, stream};

/// Numbers of concurrent streams, one per point of the lines.
const STREAMS: [usize; 4] = [10, 25, 50, 100];
/// Time over which a point is measured.
const MEASURED_TIME: time::Duration = time::Duration::from_secs(6);
/// Time for the streams to start before the measurement.
const START_TIME: time::Duration = time::Duration::from_secs(2);
/// Tokens of each answer.
const TOKENS: u32 = 228;

/// Tokens per second of the target size, at all entries.
const TARGET_TOKENS_PER_SEC: f64 = 890_000.0;
/// Requests per second of the target size, at all entries.
const TARGET_REQUESTS_PER_SEC: f64 = 3_900.0;
/// Entries of the target size.
const TARGET_ENTRIES: f64 = 320.0;
/// Backend servers of the target size.
const TARGET_SERVERS: f64 = 600.0;
/// Time between two tokens of a stream at the target size, in seconds.
const TARGET_TOKEN_GAP_SECS: f64 = 0.035;

/// Load of one point and its cost; pieces and processor time are per second.
struct Point {
    streams: f64,
    /// Events that the callers received, of one token each.
    pieces: f64,
    entry_us: f64,
    entry_kib: f64,
    /// Processor time of all sidecars together.
    sidecars_us: f64,
    /// Mean memory of a sidecar.
    sidecar_kib: f64,
}

/// Measures all points, fits the lines and computes the cost at the target size.
pub fn run() -> anyhow::Result<()> {
    let processes = processes::Processes::start()?;
    processes.warm_up()?;
    println!("streams pieces/s entry-us/s entry-KiB sidecars-us/s sidecar-KiB");
    let points = STREAMS.iter().map(|streams| measure_point(&processes, *streams));
    let points: Vec<Point> = points.collect::<anyhow::Result<_>>()?;
    for point in &points {
        println!(
            "{:>7} {:>8.0} {:>10.0} {:>9.0} {:>13.0} {:>11.0}",
            point.streams,
            point.pieces,
            point.entry_us,
            point.entry_kib,
            point.sidecars_us,
            point.sidecar_kib
        );
    }
    report(&points);
    Ok(())
}

/// Prints the lines and the cost of one entry and one sidecar at the target size.
fn report(points: &[Point]) {
    let fit = |x: &dyn Fn(&Point) -> f64, y: &dyn Fn(&Point) -> f64| {
        let pairs: Vec<_> = points.iter().map(|point| (x(point), y(point))).collect();
        Line::fit(&pairs)
    };
    let entry_us = fit(&|point| point.pieces, &|point| point.entry_us);
    let sidecar_us = fit(&|point| point.pieces, &|point| point.sidecars_us);
    let entry_kib = fit(&|point| point.streams, &|point| point.entry_kib);
    let sidecar_kib =
        fit(&|point| point.streams / processes::ENGINES as f64, &|point| point.sidecar_kib);
    print_line("entry us per piece", entry_us);
    print_line("sidecar us per piece", sidecar_us);
    print_line("entry KiB per stream", entry_kib);
    print_line("sidecar KiB per stream of its engine", sidecar_kib);

    let pieces = TARGET_TOKENS_PER_SEC / TARGET_ENTRIES;
    let streams = pieces * TARGET_TOKEN_GAP_SECS;
    let server_pieces = TARGET_TOKENS_PER_SEC / TARGET_SERVERS;
    let server_streams = server_pieces * TARGET_TOKEN_GAP_SECS;
    println!(
        "target, one entry: {:.1} requests/s, {pieces:.0} pieces/s, {streams:.0} streams: \
         {:.1}% of a core, {:.1} MiB",
        TARGET_REQUESTS_PER_SEC / TARGET_ENTRIES,
        percent_of_core(entry_us.slope * pieces),
        entry_kib.at(streams) / 1024.0
    );
    println!(
        "target, one sidecar: {:.1} requests/s, {server_pieces:.0} pieces/s, \
         {server_streams:.0} streams: {:.1}% of a core, {:.1} MiB",
        TARGET_REQUESTS_PER_SEC / TARGET_SERVERS,
        percent_of_core(sidecar_us.slope * server_pieces),
        sidecar_kib.at(server_streams) / 1024.0
    );
}

fn print_line(what: &str, line: Line) {
    println!(
        "{what}: {:.2} (at 0: {:.0}, largest deviation {:.0})",
        line.slope, line.base, line.max_deviation
    );
}

/// Converts microseconds per second to percent of a core.
fn percent_of_core(us: f64) -> f64 {
    us / 10_000.0
}

/// Runs `streams` and measures their cost.
fn measure_point(processes: &processes::Processes, streams: usize) -> anyhow::Result<Point> {
    let (pieces, stop) = (atomic::AtomicU64::new(0), atomic::AtomicBool::new(false));
    thread::scope(|scope| {
        for number in 0..streams {
            let (pieces, stop) = (&pieces, &stop);
            scope.spawn(move || read_answers(processes, number, pieces, stop));
        }
        thread::sleep(START_TIME);
        let point = measure_cost(processes, streams, &pieces);
        stop.store(true, atomic::Ordering::Relaxed);
        point
    })
}

/// Measures the cost of the running streams.
fn measure_cost(
    processes: &processes::Processes,
    streams: usize,
    pieces: &atomic::AtomicU64,
) -> anyhow::Result<Point> {
    let (entry_before, sidecars_before) = (processes.entry_usage()?, processes.sidecar_usages()?);
    let (pieces_before, started_at) =
        (pieces.load(atomic::Ordering::Relaxed), time::Instant::now());
    thread::sleep(MEASURED_TIME);
    let span_secs = started_at.elapsed().as_secs_f64();
    let (entry_after, sidecars_after) = (processes.entry_usage()?, processes.sidecar_usages()?);
    let pieces_after = pieces.load(atomic::Ordering::Relaxed);
    let busy_us = |after: &processes::Usage, before: &processes::Usage| {
        after.busy_us.saturating_sub(before.busy_us)
    };
    let sidecars_us: u64 = sidecars_after
        .iter()
        .zip(&sidecars_before)
        .map(|(after, before)| busy_us(after, before))
        .sum();
    let sidecars_kib = sidecars_after.iter().map(|usage| usage.memory_kib).sum::<u64>();
    Ok(Point {
        streams: streams as f64,
        pieces: (pieces_after - pieces_before) as f64 / span_secs,
        entry_us: busy_us(&entry_after, &entry_before) as f64 / span_secs,
        entry_kib: entry_after.memory_kib as f64,
        sidecars_us: sidecars_us as f64 / span_secs,
        sidecar_kib: sidecars_kib as f64 / processes::ENGINES as f64,
    })
}

/// Reads answers through the path until `stop` is set and counts their pieces.
fn read_answers(
    processes: &processes::Processes,
    number: usize,
    pieces: &atomic::AtomicU64,
    stop: &atomic::AtomicBool,
) {
    let agent = stream::new_agent();
    let mut round = 0;
    while !stop.load(atomic::Ordering::Relaxed) {
        let body = stream::request_body(number, round, TOKENS);
        let res = stream::for_each_event(&agent, &processes.path_url(), &body, |_| {
            pieces.fetch_add(1, atomic::Ordering::Relaxed);
            !stop.load(atomic::Ordering::Relaxed)
        });
        match res {
            Ok(()) => round += 1,
            Err(_) => thread::sleep(time::Duration::from_millis(50)),
        }
    }
}
