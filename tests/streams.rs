//! The whole path: streamed and plain answers through separate processes.

use crate::processes::{self, Site};

#[test]
fn stream_whole() {
    let site = Site::start(&processes::Plan::default());
    let answer = site.stream(0, "how much fat", 40);
    assert!(answer.whole(), "{answer:?}");
    assert_eq!(answer.ran, "yes");
    assert_eq!(answer.body, site.right("how much fat", 40));
}

#[test]
fn plain_whole() {
    let site = Site::start(&processes::Plan { engines: 0, plains: 1, ..Default::default() });
    let answer = site.book(0, "k-1", "42 litres");
    assert!(answer.whole(), "{answer:?}");
    assert_eq!((answer.ran.as_str(), answer.json()["echo"].as_str()), ("yes", Some("42 litres")));
    assert_eq!(site.runs("k-1"), 1);
}

#[test]
fn unknown_refused() {
    let site = Site::start(&processes::Plan { engines: 1, ..Default::default() });
    let at = site.entries[0].process.at;
    let answer = processes::post(at, "/nobody/x", &[("Workspace", "w")], "");
    assert_eq!((answer.status, answer.ran.as_str()), (404, "no"));
    assert_eq!(site.sum("peak"), 0);
}

#[test]
fn resumed_stream_cut() {
    let site = Site::start(&processes::Plan { engines: 1, ..Default::default() });
    site.engines[0].faults(r#"{"cut": 8}"#);
    let body = r#"{"prompt": "how much fat", "stream": true, "max_tokens": 20}"#;
    let headers = [("Workspace", "w"), ("Last-Event-ID", "3")];
    let at = site.entries[0].process.at;
    let answer = processes::post(at, "/writer/v1/completions", &headers, body);
    assert!(answer.whole(), "{answer:?}");
    let right = processes::post(site.engine().at, "/v1/completions", &headers, body);
    assert_eq!(answer.text(), right.text());
}

#[test]
fn resume_refused() {
    let site = Site::start(&processes::Plan { engines: 1, ..Default::default() });
    let at = site.entries[0].process.at;
    let headers = [("Workspace", "w"), ("Last-Event-ID", "third")];
    let answer = processes::post(at, "/writer/v1/completions", &headers, "{}");
    assert_eq!((answer.status, answer.ran.as_str()), (400, "no"), "{answer:?}");
    assert_eq!(site.sum("peak"), 0);
}
