//! Log lines of real processes contain the identity of the request that they concern.
//!
//! The tests guard against a log in which operators cannot find the lines of one request.

use crate::processes::{Site, SiteOptions, wait_until};

/// Returns whether `logs` contain a line with the message `msg` and the request `id`.
fn has_line(logs: &str, msg: &str, id: &str) -> bool {
    let (msg, id) = (format!(" msg={msg} "), format!(" req={id}"));
    let matches = |line: &str| {
        line.split_once(&msg)
            .is_some_and(|(_, rest)| format!(" {rest} ").contains(&format!("{id} ")))
    };
    logs.lines().any(matches)
}

/// Returns the identities of the requests that reached a stand-in.
fn request_ids(counts: &serde_json::Value) -> Vec<String> {
    counts["requests"].as_object().unwrap().keys().cloned().collect()
}

#[test]
fn request_id_logged() {
    let site = Site::start(&SiteOptions { engines: 1, plain_servers: 1, ..SiteOptions::default() });
    assert!(site.stream_completion(0, "a", 5).is_complete());
    assert!(site.post_to_ledger(0, "k", "b").is_complete());
    assert_eq!(site.post_to_ledger(0, "k", "other").status, 409);
    let mut seen = request_ids(&site.engines[0].counts());
    seen.extend(request_ids(&site.plain_servers[0].counts()));
    assert_eq!(seen.len(), 2);
    for id in seen {
        // A background thread writes the lines, so they may appear later.
        wait_until(&format!("the sidecar logs request {id}"), || {
            has_line(&site.logs(), "admitted", &id).then_some(())
        });
        wait_until(&format!("the entry logs request {id}"), || {
            has_line(&site.logs(), "answered", &id).then_some(())
        });
    }
}

#[test]
fn failure_logged() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    site.engines[0].set_faults(r#"{"cut": 2}"#);
    assert!(!site.stream_completion(0, "a", 30).is_complete());
    let logs = wait_until("the failure is logged", || {
        Some(site.logs()).filter(|logs| logs.contains("failed during the call"))
    });
    let concerns_requests =
        |line: &&str| line.contains(" module=entry::") || line.contains(" module=sidecar::");
    let lines: Vec<_> = logs.lines().filter(concerns_requests).collect();
    assert!(lines.iter().any(|line| line.contains("failed during the call")), "{logs}");
    for line in lines {
        assert!(line.contains(" req="), "the line has no request identity: {line}");
        assert!(!line.contains(" msg=\"backend server failed during the call req="), "{line}");
    }
}
