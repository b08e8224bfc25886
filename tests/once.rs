//! Calls that may not be repeated run at most once; refused ones do not run.

use std::{thread, time};

use crate::processes::{self, Plan, Site};

const PLAN: Plan = Plan { entries: 2, engines: 0, engine: &[], plains: 2, plain: &[], lag_ms: 200 };

#[test]
fn same_key() {
    let site = Site::start(&PLAN);
    let first = site.book(0, "k", "12 litres");
    let second = site.book(1, "k", "12 litres");
    assert!(first.whole() && second.whole(), "{first:?} {second:?}");
    assert_eq!(first.body, second.body);
    assert_eq!(site.runs("k"), 1);
}

#[test]
fn other_body() {
    let site = Site::start(&PLAN);
    assert!(site.book(0, "k", "12 litres").whole());
    let second = site.book(1, "k", "13 litres");
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(site.runs("k"), 1);
}

#[test]
fn both_entries() {
    let site = Site::start(&Plan { plain: &["--delay-ms", "300"], ..PLAN });
    let posting = |key: &str| {
        thread::scope(|scope| {
            let calls = [0, 1, 0, 1].map(|entry| {
                let site = &site;
                scope.spawn(move || site.book(entry, key, "x"))
            });
            calls.map(|call| call.join().unwrap())
        })
    };
    for key in ["a", "b", "c"] {
        let answers = posting(key);
        assert_eq!(site.runs(key), 1, "{key}: {answers:?}");
        assert!(answers.iter().any(processes::Answer::whole), "{key}: {answers:?}");
    }
}

#[test]
fn entry_killed() {
    let mut site = Site::start(&Plan { plain: &["--delay-ms", "1500"], ..PLAN });
    let at = site.entries[0].process.at;
    let headers = [("Workspace", "w"), ("Idempotency-Key", "k")];
    let caller = thread::spawn(move || processes::post(at, "/ledger/postings", &headers, "x"));
    processes::until("it runs", || (site.runs("k") == 1).then_some(()));
    site.entries[0].process.kill();
    assert!(!caller.join().unwrap().whole());
    for _ in 0..3 {
        let answer = site.book(1, "k", "x");
        assert_ne!(answer.ran, "no", "{answer:?}");
        thread::sleep(time::Duration::from_millis(700));
    }
    assert_eq!(site.runs("k"), 1);
}

#[test]
fn server_dies() {
    let mut site = Site::start(&PLAN);
    site.plains.iter().for_each(|plain| plain.faults(r#"{"die_after":1}"#));
    let answer = site.book(0, "k", "x");
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    let again = site.book(1, "k", "x");
    assert_ne!(again.ran, "no", "{again:?}");
    let alive = site.plains.iter_mut().filter_map(|plain| plain.runs().then_some(())).count();
    assert_eq!(alive, 1, "the posting ran at both servers");
}

#[test]
fn sidecar_killed() {
    let mut site = Site::start(&Plan { plain: &["--delay-ms", "1000"], ..PLAN });
    let at = site.entries[0].process.at;
    let headers = [("Workspace", "w"), ("Idempotency-Key", "k")];
    let caller = thread::spawn(move || processes::post(at, "/ledger/postings", &headers, "x"));
    processes::until("it runs", || (site.runs("k") == 1).then_some(()));
    let busy = site.plains.iter().position(|plain| plain.counts()["runs"]["k"] == 1).unwrap();
    site.sidecars[busy].process.kill();
    let answer = caller.join().unwrap();
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    assert_ne!(site.book(1, "k", "x").ran, "no");
    assert_eq!(site.runs("k"), 1);
}

#[test]
fn no_key() {
    let mut site = Site::start(&PLAN);
    site.plains.iter().for_each(|plain| plain.faults(r#"{"die_after":1}"#));
    let at = site.entries[0].process.at;
    let answer = processes::post(at, "/ledger/postings", &[("Workspace", "w")], "x");
    assert_eq!(answer.ran, "unknown", "{answer:?}");
    let alive = site.plains.iter_mut().filter_map(|plain| plain.runs().then_some(())).count();
    assert_eq!(alive, 1, "a call without a key was sent twice");
}

#[test]
fn refused_not_run() {
    let site = Site::start(&Plan { plain: &["--delay-ms", "500"], ..PLAN });
    let answers: Vec<_> = thread::scope(|scope| {
        let calls: Vec<_> = (0..120)
            .map(|at| {
                let site = &site;
                scope.spawn(move || {
                    let key = format!("k-{at}");
                    let at = site.entries[at % 2].process.at;
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
        let runs = site.runs(&key);
        match answer.ran.as_str() {
            "no" => assert_eq!(runs, 0, "{key} was refused and ran"),
            "yes" => assert_eq!(runs, 1, "{key}"),
            _ => assert!(runs <= 1, "{key} ran {runs} times"),
        }
    }
}
