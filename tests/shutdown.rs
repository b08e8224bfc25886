//! Graceful ends under load: nothing in flight is cut.

use std::{io::Write, net, thread, time};

use crate::{load, processes};
use processes::{Site, SiteOptions};

const TOKENS: u64 = 60;
const CALLERS: usize = 8;
/// Tokens of a stream that takes longer than an ending process waits at least.
const LONG: u64 = 800;
const PLAN: SiteOptions = SiteOptions {
    entries: 2,
    engines: 2,
    engine_args: &["--token-ms", "10"],
    plain_servers: 0,
    plain_server_args: &[],
    balancer_lag_ms: 1500,
};

/// Ends processes by SIGTERM under load; every answer must be whole.
fn ends(site: &mut Site, end: impl FnOnce(&mut Site)) {
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(CALLERS, &entries, TOKENS);
    thread::sleep(time::Duration::from_millis(700));
    end(site);
    thread::sleep(time::Duration::from_millis(700));
    let sent = load.stop();
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, TOKENS).body
    });
}

#[test]
fn entry_ends() {
    let mut site = Site::start(&PLAN);
    ends(&mut site, |site| {
        site.entries[0].process.signal("TERM");
        assert!(site.entries[0].process.wait_for_exit().success());
    });
}

#[test]
fn sidecar_ends() {
    let mut site = Site::start(&PLAN);
    ends(&mut site, |site| {
        site.sidecars[0].process.signal("TERM");
        assert!(site.sidecars[0].process.wait_for_exit().success());
    });
    assert_eq!(
        site.sum_engine_counts("cancelled")
            + site.sum_engine_counts("gone")
            + site.sum_engine_counts("cut"),
        0
    );
}

#[test]
fn both_end() {
    let mut site = Site::start(&PLAN);
    ends(&mut site, |site| {
        site.entries[0].process.signal("TERM");
        site.sidecars[0].process.signal("TERM");
        assert!(site.sidecars[0].process.wait_for_exit().success());
        assert!(site.entries[0].process.wait_for_exit().success());
    });
    assert_eq!(
        site.sum_engine_counts("cancelled")
            + site.sum_engine_counts("gone")
            + site.sum_engine_counts("cut"),
        0
    );
}

#[test]
fn last_sidecar() {
    let mut site = Site::start(&SiteOptions { entries: 1, engines: 1, ..PLAN });
    let at = site.entries[0].process.address;
    let caller = thread::spawn(move || processes::stream_completion(at, "/writer", "last", 100));
    processes::wait_until("it works", || (site.sum_engine_counts("in_flight") == 1).then_some(()));
    site.sidecars[0].process.signal("TERM");
    let refused = processes::wait_until("new work is refused", || {
        Some(site.stream_completion(0, "new", 1)).filter(|answer| !answer.is_complete())
    });
    assert_eq!((refused.status, refused.ran.as_str()), (503, "no"));
    assert!(refused.retry_after.is_some());
    let answer = caller.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert!(site.sidecars[0].process.wait_for_exit().success());
}

#[test]
fn caller_left() {
    let plan = SiteOptions {
        engines: 0,
        plain_servers: 1,
        plain_server_args: &["--delay-ms", "4000"],
        ..PLAN
    };
    let mut site = Site::start(&plan);
    let head = "POST /ledger/postings HTTP/1.1\r\nHost: x\r\nWorkspace: w\r\n\
                Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx";
    let mut caller = net::TcpStream::connect(site.entries[0].process.address).unwrap();
    caller.write_all(head.as_bytes()).unwrap();
    processes::wait_until("it runs", || (site.posting_runs("k") == 1).then_some(()));
    drop(caller);
    site.entries[0].process.signal("TERM");
    assert!(site.entries[0].process.wait_for_exit().success());
    let again = site.post_to_ledger(1, "k", "x");
    assert_eq!((again.ran.as_str(), site.posting_runs("k")), ("yes", 1), "{again:?}");
}

/// Streams a long answer while `end` ends processes in its midst.
fn outlives(end: impl FnOnce(&Site)) {
    let mut site = Site::start(&PLAN);
    let at = site.entries[0].process.address;
    let caller = thread::spawn(move || processes::stream_completion(at, "/writer", "long", LONG));
    processes::wait_until("it works", || (site.sum_engine_counts("in_flight") == 1).then_some(()));
    end(&site);
    let answer = caller.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("long", LONG));
    assert_eq!(
        site.sum_engine_counts("cancelled")
            + site.sum_engine_counts("gone")
            + site.sum_engine_counts("cut"),
        0
    );
    assert!(site.entries[0].process.wait_for_exit().success());
}

#[test]
fn long_stream() {
    outlives(|site| site.entries[0].process.signal("TERM"));
}

#[test]
fn long_both() {
    outlives(|site| {
        site.entries[0].process.signal("TERM");
        site.sidecars.iter().for_each(|sidecar| sidecar.process.signal("TERM"));
    });
}

#[test]
fn still_serves() {
    let mut site = Site::start(&SiteOptions { balancer_lag_ms: 8000, ..PLAN });
    let at = site.entries[0].process.address;
    site.entries[0].process.signal("TERM");
    let unready = || (processes::get(at, "/readyz", &[]).status == 503).then_some(());
    processes::wait_until("the balancer is told", unready);
    let answer = site.stream_completion(0, "while the balancer lags", 5);
    assert!(answer.is_complete(), "{answer:?}");
    assert!(site.entries[0].process.wait_for_exit().success());
}
