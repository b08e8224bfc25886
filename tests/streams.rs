//! The whole path: streamed and plain answers through separate processes.

use crate::processes::{self, Site};

#[test]
fn stream_whole() {
    let site = Site::start(&processes::SiteOptions::default());
    let answer = site.stream_completion(0, "how much fat", 40);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.ran, "yes");
    assert_eq!(answer.body, site.expected_answer("how much fat", 40));
}

#[test]
fn plain_whole() {
    let site =
        Site::start(&processes::SiteOptions { engines: 0, plain_servers: 1, ..Default::default() });
    let answer = site.post_to_ledger(0, "k-1", "42 litres");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!((answer.ran.as_str(), answer.json()["echo"].as_str()), ("yes", Some("42 litres")));
    assert_eq!(site.posting_runs("k-1"), 1);
}

#[test]
fn unknown_refused() {
    let site = Site::start(&processes::SiteOptions { engines: 1, ..Default::default() });
    let at = site.entries[0].process.address;
    let answer = processes::post(at, "/nobody/x", &[("Workspace", "w")], "");
    assert_eq!((answer.status, answer.ran.as_str()), (404, "no"));
    assert_eq!(site.sum_engine_counts("peak"), 0);
}

#[test]
fn resumed_stream_cut() {
    let site = Site::start(&processes::SiteOptions { engines: 1, ..Default::default() });
    site.engines[0].set_faults(r#"{"cut": 8}"#);
    let body = r#"{"prompt": "how much fat", "stream": true, "max_tokens": 20}"#;
    let headers = [("Workspace", "w"), ("Last-Event-ID", "3")];
    let at = site.entries[0].process.address;
    let answer = processes::post(at, "/writer/v1/completions", &headers, body);
    assert!(answer.is_complete(), "{answer:?}");
    let right =
        processes::post(site.start_reference_engine().address, "/v1/completions", &headers, body);
    assert_eq!(answer.text(), right.text());
}

#[test]
fn resume_refused() {
    let site = Site::start(&processes::SiteOptions { engines: 1, ..Default::default() });
    let at = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Last-Event-ID", "third")];
    let answer = processes::post(at, "/writer/v1/completions", &headers, "{}");
    assert_eq!((answer.status, answer.ran.as_str()), (400, "no"), "{answer:?}");
    assert_eq!(site.sum_engine_counts("peak"), 0);
}
