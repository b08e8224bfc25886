//! What the whole path adds to a direct call of the same stand-in.

use std::{process, sync, thread, time};

use anyhow::Context;

pub mod bench;
pub mod stream;

/// Streams at once, one row of the table each.
const STREAMS: [usize; 3] = [1, 10, 100];
/// Pairs of requests that each stream makes.
const PAIRS: usize = 6;
/// Events of each answer.
const TOKENS: u32 = 32;

/// Times of one way to the engine, in microseconds.
struct Times {
    first: hdrhistogram::Histogram<u64>,
    gap: hdrhistogram::Histogram<u64>,
}

impl Times {
    fn new() -> anyhow::Result<Self> {
        let empty = || hdrhistogram::Histogram::new(3);
        Ok(Self { first: empty()?, gap: empty()? })
    }

    fn add(&mut self, seen: &stream::Seen) -> anyhow::Result<()> {
        self.first.record(seen.first.as_micros() as u64)?;
        for gap in &seen.gaps {
            self.gap.record(gap.as_micros() as u64)?;
        }
        Ok(())
    }
}

/// Runs the measurement and prints its table.
pub fn run(_args: &[String]) -> process::ExitCode {
    match measure() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure path: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

fn measure() -> anyhow::Result<()> {
    let bench = bench::Bench::start()?;
    println!("resident memory of an idle entry: {} KiB", bench.entry_usage()?.memory_kib);
    println!("resident memory of an idle sidecar: {} KiB", bench.sidecar_usages()?[0].memory_kib);
    bench.warm()?;
    println!("microseconds; added = through the path less direct, at the same percentile");
    println!("streams what  direct-p50 path-p50 added-p50 direct-p99 path-p99 added-p99");
    for streams in STREAMS {
        let (direct, path) = paired(&bench, streams)?;
        row(streams, "first", &direct.first, &path.first);
        row(streams, "gap", &direct.gap, &path.gap);
    }
    println!("resident memory of the entry after: {} KiB", bench.entry_usage()?.memory_kib);
    println!("resident memory of a sidecar after: {} KiB", bench.sidecar_usages()?[0].memory_kib);
    Ok(())
}

fn row(
    streams: usize,
    what: &str,
    direct: &hdrhistogram::Histogram<u64>,
    path: &hdrhistogram::Histogram<u64>,
) {
    let at = |histogram: &hdrhistogram::Histogram<u64>, q| histogram.value_at_quantile(q) as i64;
    let (d50, p50) = (at(direct, 0.5), at(path, 0.5));
    let (d99, p99) = (at(direct, 0.99), at(path, 0.99));
    println!(
        "{streams:>7} {what:<5} {d50:>10} {p50:>8} {:>9} {d99:>10} {p99:>8} {:>9}",
        p50 - d50,
        p99 - d99
    );
}

/// Each stream calls the engine directly and through the path, one after the other.
fn paired(bench: &bench::Bench, streams: usize) -> anyhow::Result<(Times, Times)> {
    let totals = sync::Mutex::new((Times::new()?, Times::new()?));
    thread::scope(|scope| {
        let workers: Vec<_> = (0..streams)
            .map(|stream| {
                scope.spawn({
                    let totals = &totals;
                    move || pairs(bench, stream, totals)
                })
            })
            .collect();
        workers.into_iter().try_for_each(|worker| {
            worker.join().unwrap_or_else(|_| anyhow::bail!("a stream's thread panicked"))
        })
    })?;
    totals.into_inner().ok().context("a stream's thread panicked")
}

fn pairs(
    bench: &bench::Bench,
    stream: usize,
    totals: &sync::Mutex<(Times, Times)>,
) -> anyhow::Result<()> {
    let agent = stream::agent();
    for pair in 0..PAIRS {
        let body = stream::body(stream, pair, TOKENS);
        let direct = stream::read(&agent, &bench.engine(stream), &body)?;
        let path = stream::read_admitted(&agent, &bench.path(), &body)?;
        anyhow::ensure!(direct.data == path.data, "the two answers differ");
        let mut totals = totals.lock().ok().context("a stream's thread panicked")?;
        if pair > 0 {
            totals.0.add(&direct)?;
            totals.1.add(&path)?;
        }
    }
    Ok(())
}

/// Waits until `ready` gives a value, for at most ten seconds.
pub fn until<T>(what: &str, mut ready: impl FnMut() -> Option<T>) -> anyhow::Result<T> {
    for _ in 0..200 {
        match ready() {
            Some(value) => return Ok(value),
            None => thread::sleep(time::Duration::from_millis(50)),
        }
    }
    anyhow::bail!("gave up waiting for {what}")
}
