//! Calls that may not be repeated run at most once, between separate processes.
//!
//! Guards against a call that runs twice: two entries receive the same key, or a repeat arrives
//! after an entry, a sidecar or a backend server died during the call. Also guards against a
//! refused call that ran although its answer states the contrary.

use std::{thread, time};

use crate::processes::{self, Site, SiteOptions};

const OPTIONS: SiteOptions = SiteOptions {
    entries: 2,
    engines: 0,
    engine_args: &[],
    plain_servers: 2,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

/// Time in which a further run of a call would have begun.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);

#[test]
fn same_key_replayed() {
    let site = Site::start(&OPTIONS);
    let first = site.post_to_ledger(0, "k", "12 litres");
    let second = site.post_to_ledger(1, "k", "12 litres");
    assert!(first.is_complete() && second.is_complete(), "{first:?} {second:?}");
    assert_eq!(first.body, second.body);
    assert_eq!(site.posting_runs("k"), 1);
}

#[test]
fn other_body_refused() {
    let site = Site::start(&OPTIONS);
    assert!(site.post_to_ledger(0, "k", "12 litres").is_complete());
    let second = site.post_to_ledger(1, "k", "13 litres");
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(site.posting_runs("k"), 1);
}

#[test]
fn concurrent_runs_once() {
    let site = Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "300"], ..OPTIONS });
    let post_concurrently = |key: &str| {
        thread::scope(|scope| {
            let calls = [0, 1, 0, 1].map(|entry| {
                let site = &site;
                scope.spawn(move || site.post_to_ledger(entry, key, "x"))
            });
            calls.map(|call| call.join().unwrap())
        })
    };
    for key in ["a", "b", "c"] {
        let answers = post_concurrently(key);
        assert_eq!(site.posting_runs(key), 1, "{key}: {answers:?}");
        assert!(answers.iter().any(processes::Answer::is_complete), "{key}: {answers:?}");
    }
}

#[test]
fn entry_killed_unknown() {
    let mut site =
        Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "1500"], ..OPTIONS });
    let address = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Idempotency-Key", "k")];
    let caller = thread::spawn(move || processes::post(address, "/ledger/postings", &headers, "x"));
    processes::wait_until("the call runs", || (site.posting_runs("k") == 1).then_some(()));
    site.entries[0].process.kill();
    assert!(!caller.join().unwrap().is_complete());
    for _ in 0..3 {
        let answer = site.post_to_ledger(1, "k", "x");
        assert_ne!(answer.ran, "no", "{answer:?}");
        thread::sleep(time::Duration::from_millis(700));
    }
    assert_eq!(site.posting_runs("k"), 1);
}

#[test]
fn server_death_unknown() {
    let mut site = Site::start(&OPTIONS);
    site.plain_servers.iter().for_each(|plain| plain.set_faults(r#"{"die_after":1}"#));
    let answer = site.post_to_ledger(0, "k", "x");
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    let repeat = site.post_to_ledger(1, "k", "x");
    assert_ne!(repeat.ran, "no", "{repeat:?}");
    let running =
        site.plain_servers.iter_mut().filter_map(|plain| plain.is_running().then_some(())).count();
    assert_eq!(running, 1, "exactly one server must run the call and exit");
}

#[test]
fn sidecar_killed_unknown() {
    let mut site =
        Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "1000"], ..OPTIONS });
    let address = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Idempotency-Key", "k")];
    let caller = thread::spawn(move || processes::post(address, "/ledger/postings", &headers, "x"));
    processes::wait_until("the call runs", || (site.posting_runs("k") == 1).then_some(()));
    let running_server =
        site.plain_servers.iter().position(|plain| plain.counts()["runs"]["k"] == 1).unwrap();
    site.sidecars[running_server].process.kill();
    let answer = caller.join().unwrap();
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    assert_ne!(site.post_to_ledger(1, "k", "x").ran, "no");
    assert_eq!(site.posting_runs("k"), 1);
}

#[test]
fn unkeyed_not_resent() {
    let mut site = Site::start(&OPTIONS);
    site.plain_servers.iter().for_each(|plain| plain.set_faults(r#"{"die_after":1}"#));
    let address = site.entries[0].process.address;
    let answer = processes::post(address, "/ledger/postings", &[("Workspace", "w")], "x");
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    // A process closes its connections before its exit can be seen, so the caller may have its
    // answer before the server that ran the call counts as ended.
    processes::wait_until("a server that runs the call and exits", || {
        site.plain_servers.iter_mut().any(|plain| !plain.is_running()).then_some(())
    });
    thread::sleep(SETTLE_TIME);
    let running =
        site.plain_servers.iter_mut().filter_map(|plain| plain.is_running().then_some(())).count();
    assert_eq!(running, 1, "exactly one server must run the call without a key and exit");
}

#[test]
fn refused_not_run() {
    let site = Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "500"], ..OPTIONS });
    let answers: Vec<_> = thread::scope(|scope| {
        let calls: Vec<_> = (0..120)
            .map(|index| {
                let site = &site;
                scope.spawn(move || {
                    let key = format!("k-{index}");
                    let address = site.entries[index % 2].process.address;
                    let headers =
                        [("Workspace", "w"), ("Idempotency-Key", &*key), ("Deadline-Ms", "2000")];
                    let answer = processes::post(address, "/ledger/postings", &headers, "x");
                    (key, answer)
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert!(answers.iter().any(|(_, answer)| answer.ran == "no"), "no call was refused");
    for (key, answer) in answers {
        let runs = site.posting_runs(&key);
        match answer.ran.as_str() {
            "no" => assert_eq!(runs, 0, "{key} ran although it was refused"),
            "yes" => assert_eq!(runs, 1, "{key}"),
            _ => assert!(runs <= 1, "{key} ran {runs} times"),
        }
    }
}
