//! Processes that die, freeze and come back while answers are under way.

use std::{thread, time};

use crate::processes::{self, Site, SiteOptions};

const TOKENS: u64 = 120;
const PLAN: SiteOptions = SiteOptions {
    entries: 1,
    engines: 2,
    engine_args: &["--token-ms", "10"],
    plain_servers: 0,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

/// The engine that has a request in flight.
fn busy(site: &Site) -> usize {
    processes::wait_until("an engine works", || {
        site.engines.iter().position(|engine| engine.counts()["in_flight"].as_u64() > Some(0))
    })
}

/// Streams one answer while `harm` is done to the site in its midst.
fn harmed(site: &mut Site, harm: impl FnOnce(&mut Site, usize)) -> processes::Answer {
    let at = site.entries[0].process.address;
    let caller = thread::spawn(move || processes::stream_completion(at, "/writer", "sofa", TOKENS));
    let engine = busy(site);
    thread::sleep(time::Duration::from_millis(300));
    harm(site, engine);
    caller.join().unwrap()
}

#[test]
fn engine_killed() {
    let mut site = Site::start(&PLAN);
    let answer = harmed(&mut site, |site, engine| site.engines[engine].kill());
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn no_other() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..PLAN });
    let answer = harmed(&mut site, |site, engine| site.engines[engine].kill());
    assert!(answer.truncated, "a short answer looks whole: {answer:?}");
    assert!(!answer.body.is_empty());
    assert!(site.expected_answer("sofa", TOKENS).starts_with(&answer.body));
}

#[test]
fn engine_cut() {
    let mut site = Site::start(&PLAN);
    site.engines[0].set_faults(r#"{"cut":0}"#);
    let answer = site.stream_completion(0, "sofa", TOKENS);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
    site.engines[0].kill();
}

#[test]
fn sidecar_killed() {
    let mut site = Site::start(&PLAN);
    let answer = harmed(&mut site, |site, engine| site.sidecars[engine].process.kill());
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn sidecar_frozen() {
    let mut site = Site::start(&PLAN);
    let answer = harmed(&mut site, |site, engine| {
        site.sidecars[engine].process.signal("STOP");
        thread::sleep(time::Duration::from_secs(4));
        site.sidecars[engine].process.signal("CONT");
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn engine_frozen() {
    let mut site = Site::start(&PLAN);
    let answer = harmed(&mut site, |site, engine| {
        site.engines[engine].signal("STOP");
        thread::sleep(time::Duration::from_secs(4));
        site.engines[engine].signal("CONT");
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn engine_stopped() {
    let mut site = Site::start(&PLAN);
    let answer = harmed(&mut site, |site, engine| site.engines[engine].signal("STOP"));
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn sidecar_stopped() {
    let site = Site::start(&PLAN);
    let warm: Vec<_> =
        (0..8).map(|at| site.stream_completion(0, &format!("warm {at}"), 1)).collect();
    assert!(warm.iter().all(processes::Answer::is_complete), "{warm:?}");
    site.sidecars[0].process.signal("STOP");
    for at in 0..4 {
        let answer = site.stream_completion(0, &format!("sofa {at}"), 4);
        assert!(answer.is_complete(), "{answer:?}");
    }
}

#[test]
fn entry_killed() {
    let mut site = Site::start(&PLAN);
    let answer = harmed(&mut site, |site, _| site.entries[0].process.kill());
    assert!(answer.truncated, "a short answer looks whole: {answer:?}");
    assert!(site.expected_answer("sofa", TOKENS).starts_with(&answer.body));
}

#[test]
fn entry_frozen() {
    let mut site = Site::start(&PLAN);
    let answer = harmed(&mut site, |site, _| {
        site.entries[0].process.signal("STOP");
        thread::sleep(time::Duration::from_secs(2));
        site.entries[0].process.signal("CONT");
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn sidecar_restarted() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..PLAN });
    site.sidecars[0].process.kill();
    let refused = site.stream_completion(0, "bed", 10);
    assert!(!refused.is_complete());
    assert_eq!(site.sum_engine_counts("peak"), 0, "a refused request ran");
    site.sidecars[0] = site.start_sidecar(0);
    let answer = processes::wait_until("the service is back", || {
        Some(site.stream_completion(0, "bed", 10)).filter(processes::Answer::is_complete)
    });
    assert_eq!(answer.body, site.expected_answer("bed", 10));
}

#[test]
fn caller_gone() {
    let site = Site::start(&SiteOptions { engines: 1, ..PLAN });
    let at = site.entries[0].process.address;
    let body = r#"{"prompt":"gone","stream":true,"max_tokens":100000}"#;
    let head = format!(
        "POST /writer/v1/completions HTTP/1.1\r\nHost: x\r\nWorkspace: w\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = std::net::TcpStream::connect(at).unwrap();
    std::io::Write::write_all(&mut caller, head.as_bytes()).unwrap();
    std::io::Read::read(&mut caller, &mut [0; 512]).unwrap();
    drop(caller);
    processes::wait_until("the engine is told", || {
        (site.sum_engine_counts("cancelled") == 1).then_some(())
    });
    assert_eq!(site.sum_engine_counts("in_flight"), 0);
}

#[test]
fn may_have_run() {
    let mut site = Site::start(&SiteOptions {
        engines: 0,
        plain_servers: 1,
        plain_server_args: &["--delay-ms", "30000"],
        ..PLAN
    });
    let at = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Deadline-Ms", "6000")];
    let caller = thread::spawn(move || processes::get(at, "/ledger/", &headers));
    processes::wait_until("it runs", || {
        (site.plain_servers[0].counts()["total"] == 1).then_some(())
    });
    site.plain_servers[0].kill();
    let answer = caller.join().unwrap();
    assert_eq!(answer.ran, "unknown", "{answer:?}");
}
