//! Time and memory to parse and apply the configuration, by the number of workspaces it lists.

use std::{fmt::Write, fs, time};

use anyhow::Context;
use knapweedford::config;

use super::line::Line;
use crate::path::processes;

/// Backend servers of the target size.
const SERVERS: usize = 600;
/// Availability zones of the target size.
const ZONES: usize = 7;
/// Numbers of workspaces listed, one per point of the lines.
const WORKSPACE_COUNTS: [usize; 4] = [0, 10_000, 20_000, 35_000];
/// Parses of each configuration, of which the fastest counts.
const PARSES: usize = 5;
/// Changes of the configuration that are applied to real processes.
const CONFIG_CHANGES: u32 = 4;

/// Measures all points, fits the lines and measures real processes.
pub fn run() -> anyhow::Result<()> {
    println!("workspaces config-KiB parse-ms peak-KiB held-KiB");
    let mut times = Vec::new();
    let mut peaks = Vec::new();
    for count in WORKSPACE_COUNTS {
        let text = config_text(count);
        let (parse_ms, peak_kib, held_kib) = measure_parsing(&text)?;
        let config_kib = text.len() / 1024;
        println!("{count:>10} {config_kib:>8} {parse_ms:>8.1} {peak_kib:>8} {held_kib:>8}");
        times.push((count as f64, parse_ms));
        peaks.push((count as f64, peak_kib as f64));
    }
    report(Line::fit(&times), Line::fit(&peaks));
    measure_processes()
}

/// Prints the memory of real processes that have applied changes of the configuration, and the time
/// of a change.
fn measure_processes() -> anyhow::Result<()> {
    println!("workspaces entry-KiB entry-peak-KiB sidecar-KiB sidecar-peak-KiB apply-ms");
    for count in WORKSPACE_COUNTS {
        let extra = |weight| match count {
            0 => String::new(),
            _ => format!("workspaces:\n{}", workspace_lines(count, weight)),
        };
        let processes = processes::Processes::start_with(&extra(2))?;
        let started_at = time::Instant::now();
        for weight in 3..3 + CONFIG_CHANGES {
            processes.apply(&extra(weight))?;
        }
        let apply_ms = started_at.elapsed().as_millis() / u128::from(CONFIG_CHANGES);
        let (entry, sidecar) = (processes.entry_usage()?, processes.sidecar_usages()?[0]);
        println!(
            "{count:>10} {:>9} {:>14} {:>11} {:>16} {apply_ms:>8}",
            entry.memory_kib, entry.peak_kib, sidecar.memory_kib, sidecar.peak_kib
        );
    }
    Ok(())
}

/// Prints how the time and the peak memory of a parse grow with the number of workspaces.
fn report(time: Line, peak: Line) {
    println!("parse: {:.1} ms and {:.2} us per workspace", time.base, time.slope * 1e3);
    println!("peak: {:.0} KiB and {:.3} KiB per workspace", peak.base, peak.slope);
}

/// Returns the time of the fastest parse in milliseconds, then the peak memory during the parses
/// and the memory that the result holds, both in KiB.
fn measure_parsing(text: &str) -> anyhow::Result<(f64, u64, u64)> {
    let mut fastest_ms = f64::MAX;
    let before = memory_kib("VmRSS:")?;
    fs::write("/proc/self/clear_refs", "5")
        .context("could not reset the peak of resident memory")?;
    let mut config = None;
    for _ in 0..PARSES {
        let started_at = time::Instant::now();
        config = Some(config::parse(text).map_err(|findings| anyhow::anyhow!("{findings}"))?);
        fastest_ms = fastest_ms.min(started_at.elapsed().as_secs_f64() * 1e3);
    }
    let peak = memory_kib("VmHWM:")?.saturating_sub(before);
    let held = memory_kib("VmRSS:")?.saturating_sub(before);
    drop(config);
    Ok((fastest_ms, peak, held))
}

/// Reads a field of this process's `status`, in KiB.
fn memory_kib(field: &str) -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    Ok(line
        .context("/proc/self/status lacks a memory field")?
        .trim()
        .trim_end_matches(" kB")
        .parse()?)
}

/// Returns a configuration of the target size that lists `workspaces`.
pub fn config_text(workspaces: usize) -> String {
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
    buf + &workspace_lines(workspaces, 2)
}

/// Returns lines that list `workspaces`, each with `weight`.
fn workspace_lines(workspaces: usize, weight: u32) -> String {
    let line = |workspace| format!("  workspace-{workspace}: {{weight: {weight}}}\n");
    (0..workspaces).map(line).collect()
}
