//! Latency that entry and sidecar add to a direct call of the same stand-in of an engine.

use std::{process, sync, thread, time};

use anyhow::Context;

pub mod processes;
pub mod stream;

/// Numbers of concurrent streams, one per row of the table.
const STREAMS: [usize; 3] = [1, 10, 100];
/// Pairs of a direct call and a call through the path that each stream makes; the first pair, which
/// opens the connections, is not counted.
const PAIRS: usize = 6;
/// Tokens, each sent as one event, of each answer.
const TOKENS: u32 = 32;

/// Times of the calls that are direct, or of those through the path, in microseconds.
struct Times {
    first_event: hdrhistogram::Histogram<u64>,
    event_gap: hdrhistogram::Histogram<u64>,
}

impl Times {
    fn new() -> anyhow::Result<Self> {
        let empty = || hdrhistogram::Histogram::new(3);
        Ok(Self { first_event: empty()?, event_gap: empty()? })
    }

    fn add(&mut self, timings: &stream::Timings) -> anyhow::Result<()> {
        self.first_event.record(timings.first_event.as_micros() as u64)?;
        for gap in &timings.gaps {
            self.event_gap.record(gap.as_micros() as u64)?;
        }
        Ok(())
    }
}

/// Runs the measurement and prints its table.
pub fn run(_args: &[String]) -> process::ExitCode {
    match measure_streams() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure path: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

fn measure_streams() -> anyhow::Result<()> {
    let processes = processes::Processes::start()?;
    println!("resident memory of an idle entry: {} KiB", processes.entry_usage()?.memory_kib);
    println!(
        "resident memory of an idle sidecar: {} KiB",
        processes.sidecar_usages()?[0].memory_kib
    );
    processes.warm_up()?;
    println!("times in microseconds; added = path minus direct, at the same percentile");
    println!("streams time  direct-p50 path-p50 added-p50 direct-p99 path-p99 added-p99");
    for streams in STREAMS {
        let (direct, path) = measure_pairs(&processes, streams)?;
        print_row(streams, "first", &direct.first_event, &path.first_event);
        print_row(streams, "gap", &direct.event_gap, &path.event_gap);
    }
    println!(
        "resident memory of the entry after the load: {} KiB",
        processes.entry_usage()?.memory_kib
    );
    println!(
        "resident memory of a sidecar after the load: {} KiB",
        processes.sidecar_usages()?[0].memory_kib
    );
    Ok(())
}

fn print_row(
    streams: usize,
    time_name: &str,
    direct: &hdrhistogram::Histogram<u64>,
    path: &hdrhistogram::Histogram<u64>,
) {
    let quantile =
        |histogram: &hdrhistogram::Histogram<u64>, q| histogram.value_at_quantile(q) as i64;
    let (direct_p50, path_p50) = (quantile(direct, 0.5), quantile(path, 0.5));
    let (direct_p99, path_p99) = (quantile(direct, 0.99), quantile(path, 0.99));
    println!(
        "{streams:>7} {time_name:<5} {direct_p50:>10} {path_p50:>8} {:>9} {direct_p99:>10} \
         {path_p99:>8} {:>9}",
        path_p50 - direct_p50,
        path_p99 - direct_p99
    );
}

/// Runs `streams` at once, each of which calls the engine directly and through the path in turn.
/// Returns the times of the direct calls and of those through the path.
fn measure_pairs(
    processes: &processes::Processes,
    streams: usize,
) -> anyhow::Result<(Times, Times)> {
    let totals = sync::Mutex::new((Times::new()?, Times::new()?));
    thread::scope(|scope| {
        let workers: Vec<_> = (0..streams)
            .map(|stream| {
                scope.spawn({
                    let totals = &totals;
                    move || run_pairs(processes, stream, totals)
                })
            })
            .collect();
        workers.into_iter().try_for_each(|worker| {
            worker.join().unwrap_or_else(|_| anyhow::bail!("a stream's thread panicked"))
        })
    })?;
    totals.into_inner().ok().context("a stream's thread panicked")
}

/// Makes the calls of one stream and adds their times to `totals`.
fn run_pairs(
    processes: &processes::Processes,
    stream: usize,
    totals: &sync::Mutex<(Times, Times)>,
) -> anyhow::Result<()> {
    let agent = stream::new_agent();
    for pair in 0..PAIRS {
        let body = stream::request_body(stream, pair, TOKENS);
        let direct = stream::time_events(&agent, &processes.engine_url(stream), &body)?;
        let path = stream::time_events_with_retries(&agent, &processes.path_url(), &body)?;
        anyhow::ensure!(
            direct.data == path.data,
            "the answers of the direct call and of the path differ"
        );
        let mut totals = totals.lock().ok().context("a stream's thread panicked")?;
        if pair > 0 {
            totals.0.add(&direct)?;
            totals.1.add(&path)?;
        }
    }
    Ok(())
}

/// Waits until `poll` returns a value, for at most ten seconds.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> anyhow::Result<T> {
    for _ in 0..200 {
        match poll() {
            Some(value) => return Ok(value),
            None => thread::sleep(time::Duration::from_millis(50)),
        }
    }
    anyhow::bail!("timed out after 10 s waiting for {what}")
}
