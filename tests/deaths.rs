//! Kills, freezes and restarts processes while answers are being streamed.
//!
//! The tests guard against answers with missing or repeated tokens, against a truncated answer that
//! looks complete to the client, and against a wrong report of whether a request ran.

use std::{thread, time};

use crate::processes::{self, Site, SiteOptions};

const TOKENS: u64 = 120;
const SITE_OPTIONS: SiteOptions = SiteOptions {
    entries: 1,
    engines: 2,
    engine_args: &["--token-ms", "10"],
    plain_servers: 0,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

/// Waits until an engine has a request in flight; returns its index.
fn wait_for_busy_engine(site: &Site) -> usize {
    processes::wait_until("an engine has a request in flight", || {
        site.engines.iter().position(|engine| engine.counts()["in_flight"].as_u64() > Some(0))
    })
}

/// Streams one answer and causes `fault` before it ends; `fault` gets the index of the engine that
/// runs the request.
fn stream_through_fault(
    site: &mut Site,
    fault: impl FnOnce(&mut Site, usize),
) -> processes::Answer {
    let at = site.entries[0].process.address;
    let client = thread::spawn(move || processes::stream_completion(at, "/writer", "sofa", TOKENS));
    let engine = wait_for_busy_engine(site);
    thread::sleep(time::Duration::from_millis(300));
    fault(site, engine);
    client.join().unwrap()
}

#[test]
fn engine_killed() {
    let mut site = Site::start(&SITE_OPTIONS);
    let answer = stream_through_fault(&mut site, |site, engine| site.engines[engine].kill());
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn only_engine_killed() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..SITE_OPTIONS });
    let answer = stream_through_fault(&mut site, |site, engine| site.engines[engine].kill());
    assert!(answer.truncated, "a truncated answer looks complete: {answer:?}");
    assert!(!answer.body.is_empty());
    assert!(site.expected_answer("sofa", TOKENS).starts_with(&answer.body));
}

#[test]
fn engine_cuts_stream() {
    let mut site = Site::start(&SITE_OPTIONS);
    site.engines[0].set_faults(r#"{"cut":0}"#);
    let answer = site.stream_completion(0, "sofa", TOKENS);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
    site.engines[0].kill();
}

#[test]
fn sidecar_killed() {
    let mut site = Site::start(&SITE_OPTIONS);
    let answer =
        stream_through_fault(&mut site, |site, engine| site.sidecars[engine].process.kill());
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn sidecar_frozen() {
    let mut site = Site::start(&SITE_OPTIONS);
    let answer = stream_through_fault(&mut site, |site, engine| {
        site.sidecars[engine].process.signal("STOP");
        thread::sleep(time::Duration::from_secs(4));
        site.sidecars[engine].process.signal("CONT");
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn engine_frozen() {
    let mut site = Site::start(&SITE_OPTIONS);
    let answer = stream_through_fault(&mut site, |site, engine| {
        site.engines[engine].signal("STOP");
        thread::sleep(time::Duration::from_secs(4));
        site.engines[engine].signal("CONT");
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn engine_hangs() {
    let mut site = Site::start(&SITE_OPTIONS);
    let answer =
        stream_through_fault(&mut site, |site, engine| site.engines[engine].signal("STOP"));
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn sidecar_hangs() {
    let site = Site::start(&SITE_OPTIONS);
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
    let mut site = Site::start(&SITE_OPTIONS);
    let answer = stream_through_fault(&mut site, |site, _| site.entries[0].process.kill());
    assert!(answer.truncated, "a truncated answer looks complete: {answer:?}");
    assert!(site.expected_answer("sofa", TOKENS).starts_with(&answer.body));
}

#[test]
fn entry_frozen() {
    let mut site = Site::start(&SITE_OPTIONS);
    let answer = stream_through_fault(&mut site, |site, _| {
        site.entries[0].process.signal("STOP");
        thread::sleep(time::Duration::from_secs(2));
        site.entries[0].process.signal("CONT");
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("sofa", TOKENS));
}

#[test]
fn sidecar_restarted() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..SITE_OPTIONS });
    site.sidecars[0].process.kill();
    let refused = site.stream_completion(0, "bed", 10);
    assert!(!refused.is_complete());
    assert_eq!(site.sum_engine_counts("peak"), 0, "a request that was answered with an error ran");
    site.sidecars[0] = site.start_sidecar(0);
    let answer = processes::wait_until("the service answers again", || {
        Some(site.stream_completion(0, "bed", 10)).filter(processes::Answer::is_complete)
    });
    assert_eq!(answer.body, site.expected_answer("bed", 10));
}

#[test]
fn caller_gone() {
    let site = Site::start(&SiteOptions { engines: 1, ..SITE_OPTIONS });
    let at = site.entries[0].process.address;
    let body = r#"{"prompt":"gone","stream":true,"max_tokens":100000}"#;
    let head = format!(
        "POST /writer/v1/completions HTTP/1.1\r\nHost: x\r\nWorkspace: w\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut client = std::net::TcpStream::connect(at).unwrap();
    std::io::Write::write_all(&mut client, head.as_bytes()).unwrap();
    std::io::Read::read(&mut client, &mut [0; 512]).unwrap();
    drop(client);
    processes::wait_until("the engine receives the cancellation", || {
        (site.sum_engine_counts("cancelled") == 1).then_some(())
    });
    assert_eq!(site.sum_engine_counts("in_flight"), 0);
}

#[test]
fn unknown_whether_ran() {
    let mut site = Site::start(&SiteOptions {
        engines: 0,
        plain_servers: 1,
        plain_server_args: &["--delay-ms", "30000"],
        ..SITE_OPTIONS
    });
    let at = site.entries[0].process.address;
    let headers = [("Workspace", "w"), ("Deadline-Ms", "6000")];
    let client = thread::spawn(move || processes::get(at, "/ledger/", &headers));
    processes::wait_until("the call runs", || {
        (site.plain_servers[0].counts()["total"] == 1).then_some(())
    });
    site.plain_servers[0].kill();
    let answer = client.join().unwrap();
    assert_eq!(answer.ran, "unknown", "{answer:?}");
}
