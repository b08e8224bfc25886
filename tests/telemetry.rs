//! Metrics pages and log lines.

use std::time;

use knapweedford::{logging, metrics, wire};

fn has(page: &str, line: &str) {
    assert!(page.lines().any(|own| own == line), "no {line} in\n{page}");
}

#[test]
fn request_counted() {
    let entry = metrics::Entry::new();
    let mut flight = entry.begin_request("writer", time::Instant::now());
    has(&entry.page.render(), "knapweedford_requests_in_flight 1");
    flight.record_piece();
    flight.record_piece();
    flight.end(metrics::Ending::Complete);
    let page = entry.page.render();
    has(&page, "knapweedford_requests_in_flight 0");
    has(&page, "knapweedford_requests_total{ending=\"whole\",service=\"writer\"} 1");
    has(&page, "knapweedford_first_piece_seconds_count{service=\"writer\"} 1");
    has(&page, "knapweedford_request_seconds_count{service=\"writer\"} 1");
}

#[test]
fn caller_gone() {
    let entry = metrics::Entry::new();
    drop(entry.begin_request("writer", time::Instant::now()));
    let page = entry.page.render();
    has(&page, "knapweedford_requests_total{ending=\"gone\",service=\"writer\"} 1");
    has(&page, "knapweedford_requests_in_flight 0");
}

#[test]
fn gate_shown() {
    let sidecar = metrics::Sidecar::new();
    let load = wire::Load { in_flight: 3, limit: 8, warm: true, ..Default::default() };
    sidecar.set_load(&load, true);
    sidecar.count_refusal(wire::Refusal::Full);
    sidecar.count_call("whole", time::Duration::from_millis(20));
    sidecar.page.set_version(12);
    let page = sidecar.page.render();
    has(&page, "knapweedford_gate_in_flight 3");
    has(&page, "knapweedford_gate_limit 8");
    has(&page, "knapweedford_refusals_total{reason=\"full\"} 1");
    has(&page, "knapweedford_calls_total{ending=\"whole\"} 1");
    has(&page, "knapweedford_config_version 12");
}

fn line(args: std::fmt::Arguments<'_>, pairs: &[(&str, log::kv::Value<'_>)]) -> String {
    let record = log::Record::builder()
        .level(log::Level::Warn)
        .target("knapweedford::entry")
        .key_values(&pairs)
        .args(args)
        .build();
    logging::format_line(time::Duration::from_millis(61_007), &record)
}

#[test]
fn pairs_logged() {
    let said = line(format_args!("cut"), &[("req", "ab".into()), ("status", 200.into())]);
    assert_eq!(said, "time=61.007 level=warn module=entry msg=cut req=ab status=200");
}

#[test]
fn text_quoted() {
    let said = line(format_args!("a \"b\"\nc"), &[("why", "x=y z".into()), ("none", "".into())]);
    assert_eq!(
        said,
        "time=61.007 level=warn module=entry msg=\"a \\\"b\\\"\\nc\" why=\"x=y z\" none=\"\""
    );
}
