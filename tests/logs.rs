//! Log lines of real processes name the request that they are about.

use crate::processes::{Site, SiteOptions, wait_until};

/// Whether a line with `msg` and the request `id` stands in `logs`.
fn says(logs: &str, msg: &str, id: &str) -> bool {
    let (msg, id) = (format!(" msg={msg} "), format!(" req={id}"));
    let about = |line: &str| {
        line.split_once(&msg)
            .is_some_and(|(_, rest)| format!(" {rest} ").contains(&format!("{id} ")))
    };
    logs.lines().any(about)
}

/// Identities of the requests that reached a stand-in.
fn ids(counts: &serde_json::Value) -> Vec<String> {
    counts["requests"].as_object().unwrap().keys().cloned().collect()
}

#[test]
fn request_named() {
    let site = Site::start(&SiteOptions { engines: 1, plain_servers: 1, ..SiteOptions::default() });
    assert!(site.stream_completion(0, "a", 5).is_complete());
    assert!(site.post_to_ledger(0, "k", "b").is_complete());
    assert_eq!(site.post_to_ledger(0, "k", "other").status, 409);
    let mut seen = ids(&site.engines[0].counts());
    seen.extend(ids(&site.plain_servers[0].counts()));
    assert_eq!(seen.len(), 2);
    for id in seen {
        // Lines are written by a thread that gathers them.
        wait_until(&format!("the sidecar names {id}"), || {
            says(&site.logs(), "admitted", &id).then_some(())
        });
        wait_until(&format!("the entry names {id}"), || {
            says(&site.logs(), "answered", &id).then_some(())
        });
    }
}

#[test]
fn failure_named() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    site.engines[0].set_faults(r#"{"cut": 2}"#);
    assert!(!site.stream_completion(0, "a", 30).is_complete());
    let logs = wait_until("the failure is named", || {
        Some(site.logs()).filter(|logs| logs.contains("failed during the call"))
    });
    let path = |line: &&str| line.contains(" module=entry::") || line.contains(" module=sidecar::");
    let about: Vec<_> = logs.lines().filter(path).collect();
    assert!(about.iter().any(|line| line.contains("failed during the call")), "{logs}");
    for line in about {
        assert!(line.contains(" req="), "names no request: {line}");
        assert!(!line.contains(" msg=\"backend server failed during the call req="), "{line}");
    }
}
