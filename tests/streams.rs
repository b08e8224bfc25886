//! Streamed and plain answers on the whole path, through separate processes.
//!
//! Guards against answers that arrive incomplete, changed or with a wrong `Ran` header, and against
//! refused calls that reach a backend server.

use crate::processes::{self, Site};

#[test]
fn stream_complete() {
    let site = Site::start(&processes::SiteOptions::default());
    let answer = site.stream_completion(0, "how much fat", 40);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.ran, "yes");
    assert_eq!(answer.body, site.expected_answer("how much fat", 40));
}

#[test]
fn plain_complete() {
    let site =
        Site::start(&processes::SiteOptions { engines: 0, plain_servers: 1, ..Default::default() });
    let answer = site.post_to_ledger(0, "k-1", "42 litres");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!((answer.ran.as_str(), answer.json()["echo"].as_str()), ("yes", Some("42 litres")));
    assert_eq!(site.posting_runs("k-1"), 1);
}

#[test]
fn unknown_service_refused() {
    let site = Site::start(&processes::SiteOptions { engines: 1, ..Default::default() });
    let address = site.entries[0].process.address;
    let answer = processes::post(address, "/nobody/x", &[("Workspace", "w")], "");
    assert_eq!((answer.status, answer.ran.as_str()), (404, "no"));
    assert_eq!(site.sum_engine_counts("peak"), 0);
}

/// The stream that the caller resumes is cut off and must be resumed once more at the right event.
#[test]
fn resumed_stream_cut() {
    let site = Site::start(&processes::SiteOptions { engines: 1, ..Default::default() });
    site.engines[0].set_faults(r#"{"cut": 8}"#);
    let body = r#"{"prompt": "how much fat", "stream": true, "max_tokens": 20}"#;
    let headers = [("Workspace", "w"), ("Last-Event-ID", "3")];
    let address = site.entries[0].process.address;
    let answer = processes::post(address, "/writer/v1/completions", &headers, body);
    assert!(answer.is_complete(), "{answer:?}");
    let expected =
        processes::post(site.start_reference_engine().address, "/v1/completions", &headers, body);
    assert_eq!(answer.text(), expected.text());
}

#[test]
fn malformed_resume_refused() {
    let site = Site::start(&processes::SiteOptions { engines: 1, ..Default::default() });
    let address = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Last-Event-ID", "third")];
    let answer = processes::post(address, "/writer/v1/completions", &headers, "{}");
    assert_eq!((answer.status, answer.ran.as_str()), (400, "no"), "{answer:?}");
    assert_eq!(site.sum_engine_counts("peak"), 0);
}
