//! Calls that may not be repeated run at most once; refused ones do not run.

use std::{thread, time};

use crate::processes::{self, Site, SiteOptions};

const PLAN: SiteOptions = SiteOptions {
    entries: 2,
    engines: 0,
    engine_args: &[],
    plain_servers: 2,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

#[test]
fn same_key() {
    let site = Site::start(&PLAN);
    let first = site.post_to_ledger(0, "k", "12 litres");
    let second = site.post_to_ledger(1, "k", "12 litres");
    assert!(first.is_complete() && second.is_complete(), "{first:?} {second:?}");
    assert_eq!(first.body, second.body);
    assert_eq!(site.posting_runs("k"), 1);
}

#[test]
fn other_body() {
    let site = Site::start(&PLAN);
    assert!(site.post_to_ledger(0, "k", "12 litres").is_complete());
    let second = site.post_to_ledger(1, "k", "13 litres");
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(site.posting_runs("k"), 1);
}

#[test]
fn both_entries() {
    let site = Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "300"], ..PLAN });
    let posting = |key: &str| {
        thread::scope(|scope| {
            let calls = [0, 1, 0, 1].map(|entry| {
                let site = &site;
                scope.spawn(move || site.post_to_ledger(entry, key, "x"))
            });
            calls.map(|call| call.join().unwrap())
        })
    };
    for key in ["a", "b", "c"] {
        let answers = posting(key);
        assert_eq!(site.posting_runs(key), 1, "{key}: {answers:?}");
        assert!(answers.iter().any(processes::Answer::is_complete), "{key}: {answers:?}");
    }
}

#[test]
fn entry_killed() {
    let mut site = Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "1500"], ..PLAN });
    let at = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Idempotency-Key", "k")];
    let caller = thread::spawn(move || processes::post(at, "/ledger/postings", &headers, "x"));
    processes::wait_until("it runs", || (site.posting_runs("k") == 1).then_some(()));
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
fn server_dies() {
    let mut site = Site::start(&PLAN);
    site.plain_servers.iter().for_each(|plain| plain.set_faults(r#"{"die_after":1}"#));
    let answer = site.post_to_ledger(0, "k", "x");
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    let again = site.post_to_ledger(1, "k", "x");
    assert_ne!(again.ran, "no", "{again:?}");
    let alive =
        site.plain_servers.iter_mut().filter_map(|plain| plain.is_running().then_some(())).count();
    assert_eq!(alive, 1, "the posting ran at both servers");
}

#[test]
fn sidecar_killed() {
    let mut site = Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "1000"], ..PLAN });
    let at = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Idempotency-Key", "k")];
    let caller = thread::spawn(move || processes::post(at, "/ledger/postings", &headers, "x"));
    processes::wait_until("it runs", || (site.posting_runs("k") == 1).then_some(()));
    let busy =
        site.plain_servers.iter().position(|plain| plain.counts()["runs"]["k"] == 1).unwrap();
    site.sidecars[busy].process.kill();
    let answer = caller.join().unwrap();
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    assert_ne!(site.post_to_ledger(1, "k", "x").ran, "no");
    assert_eq!(site.posting_runs("k"), 1);
}

#[test]
fn no_key() {
    let mut site = Site::start(&PLAN);
    site.plain_servers.iter().for_each(|plain| plain.set_faults(r#"{"die_after":1}"#));
    let at = site.entries[0].process.address;
    let answer = processes::post(at, "/ledger/postings", &[("Workspace", "w")], "x");
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    let alive =
        site.plain_servers.iter_mut().filter_map(|plain| plain.is_running().then_some(())).count();
    assert_eq!(alive, 1, "a call without a key was sent twice");
}

#[test]
fn refused_not_run() {
    let site = Site::start(&SiteOptions { plain_server_args: &["--delay-ms", "500"], ..PLAN });
    let answers: Vec<_> = thread::scope(|scope| {
        let calls: Vec<_> = (0..120)
            .map(|at| {
                let site = &site;
                scope.spawn(move || {
                    let key = format!("k-{at}");
                    let at = site.entries[at % 2].process.address;
                    let headers =
                        [("Workspace", "w"), ("Idempotency-Key", &*key), ("Deadline-Ms", "2000")];
                    let answer = processes::post(at, "/ledger/postings", &headers, "x");
                    (key, answer)
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert!(answers.iter().any(|(_, answer)| answer.ran == "no"), "nothing was refused");
    for (key, answer) in answers {
        let runs = site.posting_runs(&key);
        match answer.ran.as_str() {
            "no" => assert_eq!(runs, 0, "{key} was refused and ran"),
            "yes" => assert_eq!(runs, 1, "{key}"),
            _ => assert!(runs <= 1, "{key} ran {runs} times"),
        }
    }
}
