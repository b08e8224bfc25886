//! Content of the metrics pages and format of the log lines.

use std::time;

use knapweedford::{logging, metrics, wire};

fn assert_has_line(page: &str, expected: &str) {
    assert!(page.lines().any(|line| line == expected), "no line {expected} in\n{page}");
}

#[test]
fn request_counted() {
    let entry = metrics::Entry::new();
    let mut request = entry.begin_request("writer", time::Instant::now());
    assert_has_line(&entry.page.render(), "knapweedford_requests_in_flight 1");
    request.record_piece();
    request.record_piece();
    request.end(metrics::Ending::Complete);
    let page = entry.page.render();
    assert_has_line(&page, "knapweedford_requests_in_flight 0");
    assert_has_line(&page, "knapweedford_requests_total{ending=\"whole\",service=\"writer\"} 1");
    assert_has_line(&page, "knapweedford_first_piece_seconds_count{service=\"writer\"} 1");
    assert_has_line(&page, "knapweedford_request_seconds_count{service=\"writer\"} 1");
}

#[test]
fn caller_disconnected() {
    let entry = metrics::Entry::new();
    drop(entry.begin_request("writer", time::Instant::now()));
    let page = entry.page.render();
    assert_has_line(&page, "knapweedford_requests_total{ending=\"gone\",service=\"writer\"} 1");
    assert_has_line(&page, "knapweedford_requests_in_flight 0");
}

#[test]
fn gate_metrics() {
    let sidecar = metrics::Sidecar::new();
    let load = wire::Load { in_flight: 3, limit: 8, warm: true, ..Default::default() };
    sidecar.set_load(&load, true);
    sidecar.count_refusal(wire::Refusal::Full);
    sidecar.count_call("whole", time::Duration::from_millis(20));
    sidecar.page.set_version(12);
    let page = sidecar.page.render();
    assert_has_line(&page, "knapweedford_gate_in_flight 3");
    assert_has_line(&page, "knapweedford_gate_limit 8");
    assert_has_line(&page, "knapweedford_refusals_total{reason=\"full\"} 1");
    assert_has_line(&page, "knapweedford_calls_total{ending=\"whole\"} 1");
    assert_has_line(&page, "knapweedford_config_version 12");
}

/// Formats a warning with the message `args` and the key-value `pairs` as a log line.
fn log_line(args: std::fmt::Arguments<'_>, pairs: &[(&str, log::kv::Value<'_>)]) -> String {
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
    let line = log_line(format_args!("cut"), &[("req", "ab".into()), ("status", 200.into())]);
    assert_eq!(line, "time=61.007 level=warn module=entry msg=cut req=ab status=200");
}

#[test]
fn text_quoted() {
    let line =
        log_line(format_args!("a \"b\"\nc"), &[("why", "x=y z".into()), ("none", "".into())]);
    assert_eq!(
        line,
        "time=61.007 level=warn module=entry msg=\"a \\\"b\\\"\\nc\" why=\"x=y z\" none=\"\""
    );
}
