//! Time and memory to parse the operators' text against what it lists.

use std::{fmt::Write, fs, time};

use anyhow::Context;
use knapweedford::config;

use super::slope::Slope;
use crate::path::bench;

/// Backend servers of the target size.
const SERVERS: usize = 600;
/// Availability zones of the target size.
const ZONES: usize = 7;
/// Workspaces listed, one point of the line each.
const WORKSPACES: [usize; 4] = [0, 10_000, 20_000, 35_000];
/// Parses of each text, of which the fastest counts.
const ROUNDS: usize = 5;
/// Changes of the text that real processes take.
const CHANGES: u32 = 4;

/// Measures all points and fits the lines.
pub fn run() -> anyhow::Result<()> {
    println!("workspaces text-KiB parse-ms peak-KiB held-KiB");
    let mut times = Vec::new();
    let mut peaks = Vec::new();
    for count in WORKSPACES {
        let text = text(count);
        let (parse_ms, peak_kib, held_kib) = point(&text)?;
        let kib = text.len() / 1024;
        println!("{count:>10} {kib:>8} {parse_ms:>8.1} {peak_kib:>8} {held_kib:>8}");
        times.push((count as f64, parse_ms));
        peaks.push((count as f64, peak_kib as f64));
    }
    report(Slope::fit(&times), Slope::fit(&peaks));
    held()
}

/// Memory of real processes that hold the text and have taken a change of it.
fn held() -> anyhow::Result<()> {
    println!("workspaces entry-KiB entry-peak-KiB sidecar-KiB sidecar-peak-KiB apply-ms");
    for count in WORKSPACES {
        let more = |weight| match count {
            0 => String::new(),
            _ => format!("workspaces:\n{}", list(count, weight)),
        };
        let bench = bench::Bench::start_with(&more(2))?;
        let begun = time::Instant::now();
        for weight in 3..3 + CHANGES {
            bench.apply(&more(weight))?;
        }
        let apply_ms = begun.elapsed().as_millis() / u128::from(CHANGES);
        let (entry, sidecar) = (bench.entry_usage()?, bench.sidecar_usages()?[0]);
        println!(
            "{count:>10} {:>9} {:>14} {:>11} {:>16} {apply_ms:>8}",
            entry.memory_kib, entry.peak_kib, sidecar.memory_kib, sidecar.peak_kib
        );
    }
    Ok(())
}

fn report(time: Slope, peak: Slope) {
    println!("parse: {:.1} ms and {:.2} us a workspace", time.base, time.slope * 1e3);
    println!("peak: {:.0} KiB and {:.3} KiB a workspace", peak.base, peak.slope);
}

fn point(text: &str) -> anyhow::Result<(f64, u64, u64)> {
    let mut best = f64::MAX;
    let before = memory("VmRSS:")?;
    fs::write("/proc/self/clear_refs", "5").context("could not reset the peak")?;
    let mut held = None;
    for _ in 0..ROUNDS {
        let begun = time::Instant::now();
        held = Some(config::parse(text).map_err(|findings| anyhow::anyhow!("{findings}"))?);
        best = best.min(begun.elapsed().as_secs_f64() * 1e3);
    }
    let peak = memory("VmHWM:")?.saturating_sub(before);
    let kept = memory("VmRSS:")?.saturating_sub(before);
    drop(held);
    Ok((best, peak, kept))
}

fn memory(field: &str) -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    Ok(line.context("no such field")?.trim().trim_end_matches(" kB").parse()?)
}

/// A text of the target size that lists `workspaces`.
pub fn text(workspaces: usize) -> String {
    let mut buf = String::from("zones:\n");
    for zone in 0..ZONES {
        let _ = writeln!(buf, "  zone-{zone}: {{region: region-{}}}", zone % 2);
    }
    buf.push_str("services:\n  writer:\n    kind: model-group\n    calls:\n");
    buf.push_str("      - {method: POST, path: /, repeatable: true, deadline-ms: 60000}\n");
    buf.push_str("    group: {ranks: 256, experts: 256, layers: 24, slots-per-rank: 2, ");
    buf.push_str("expert-bytes: 44040192}\nservers:\n");
    for server in 0..SERVERS {
        let zone = server % ZONES;
        let _ = writeln!(buf, "  writer-{server}: {{service: writer, zone: zone-{zone}}}");
    }
    if workspaces > 0 {
        buf.push_str("workspaces:\n");
    }
    buf + &list(workspaces, 2)
}

/// Lines that list `workspaces` with `weight`.
fn list(workspaces: usize, weight: u32) -> String {
    let line = |workspace| format!("  workspace-{workspace}: {{weight: {weight}}}\n");
    (0..workspaces).map(line).collect()
}
