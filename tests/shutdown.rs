//! Shuts down entries and sidecars by SIGTERM under load.
//!
//! The tests guard against requests that are cut, lost or refused without need during a shutdown,
//! also when the balancer notices late that an entry is not ready.

use std::{io::Write, net, thread, time};

use crate::{load, processes};
use processes::{Site, SiteOptions};

const TOKENS: u64 = 60;
const CLIENTS: usize = 8;
/// Number of tokens of a stream that lasts longer than the minimum time of a shutdown.
const LONG_TOKENS: u64 = 800;
const SITE_OPTIONS: SiteOptions = SiteOptions {
    entries: 2,
    engines: 2,
    engine_args: &["--token-ms", "10"],
    plain_servers: 0,
    plain_server_args: &[],
    balancer_lag_ms: 1500,
};

/// Runs `shut_down` under load; every answer must be complete.
fn shut_down_under_load(site: &mut Site, shut_down: impl FnOnce(&mut Site)) {
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(CLIENTS, &entries, TOKENS);
    thread::sleep(time::Duration::from_millis(700));
    shut_down(site);
    thread::sleep(time::Duration::from_millis(700));
    let sent = load.stop();
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, TOKENS).body
    });
}

#[test]
fn entry_shutdown() {
    let mut site = Site::start(&SITE_OPTIONS);
    shut_down_under_load(&mut site, |site| {
        site.entries[0].process.signal("TERM");
        assert!(site.entries[0].process.wait_for_exit().success());
    });
}

#[test]
fn sidecar_shutdown() {
    let mut site = Site::start(&SITE_OPTIONS);
    shut_down_under_load(&mut site, |site| {
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
fn both_shut_down() {
    let mut site = Site::start(&SITE_OPTIONS);
    shut_down_under_load(&mut site, |site| {
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
fn last_sidecar_shutdown() {
    let mut site = Site::start(&SiteOptions { entries: 1, engines: 1, ..SITE_OPTIONS });
    let at = site.entries[0].process.address;
    let client = thread::spawn(move || processes::stream_completion(at, "/writer", "last", 100));
    processes::wait_until("the request runs", || {
        (site.sum_engine_counts("in_flight") == 1).then_some(())
    });
    site.sidecars[0].process.signal("TERM");
    let refused = processes::wait_until("a new request is refused", || {
        Some(site.stream_completion(0, "new", 1)).filter(|answer| !answer.is_complete())
    });
    assert_eq!((refused.status, refused.ran.as_str()), (503, "no"));
    assert!(refused.retry_after.is_some());
    let answer = client.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert!(site.sidecars[0].process.wait_for_exit().success());
}

#[test]
fn abandoned_call_finishes() {
    let options = SiteOptions {
        engines: 0,
        plain_servers: 1,
        plain_server_args: &["--delay-ms", "4000"],
        ..SITE_OPTIONS
    };
    let mut site = Site::start(&options);
    let head = "POST /ledger/postings HTTP/1.1\r\nHost: x\r\nWorkspace: w\r\n\
                Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx";
    let mut client = net::TcpStream::connect(site.entries[0].process.address).unwrap();
    client.write_all(head.as_bytes()).unwrap();
    processes::wait_until("the call runs", || (site.posting_runs("k") == 1).then_some(()));
    drop(client);
    site.entries[0].process.signal("TERM");
    assert!(site.entries[0].process.wait_for_exit().success());
    let repeated = site.post_to_ledger(1, "k", "x");
    assert_eq!((repeated.ran.as_str(), site.posting_runs("k")), ("yes", 1), "{repeated:?}");
}

/// Runs `shut_down` while a long answer is being streamed; the answer must be complete.
fn shut_down_during_stream(shut_down: impl FnOnce(&Site)) {
    let mut site = Site::start(&SITE_OPTIONS);
    let at = site.entries[0].process.address;
    let client =
        thread::spawn(move || processes::stream_completion(at, "/writer", "long", LONG_TOKENS));
    processes::wait_until("the request runs", || {
        (site.sum_engine_counts("in_flight") == 1).then_some(())
    });
    shut_down(&site);
    let answer = client.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.body, site.expected_answer("long", LONG_TOKENS));
    assert_eq!(
        site.sum_engine_counts("cancelled")
            + site.sum_engine_counts("gone")
            + site.sum_engine_counts("cut"),
        0
    );
    assert!(site.entries[0].process.wait_for_exit().success());
}

#[test]
fn long_stream_completes() {
    shut_down_during_stream(|site| site.entries[0].process.signal("TERM"));
}

#[test]
fn long_stream_both_shut_down() {
    shut_down_during_stream(|site| {
        site.entries[0].process.signal("TERM");
        site.sidecars.iter().for_each(|sidecar| sidecar.process.signal("TERM"));
    });
}

#[test]
fn serves_while_balancer_lags() {
    let mut site = Site::start(&SiteOptions { balancer_lag_ms: 8000, ..SITE_OPTIONS });
    let at = site.entries[0].process.address;
    site.entries[0].process.signal("TERM");
    let unready = || (processes::get(at, "/readyz", &[]).status == 503).then_some(());
    processes::wait_until("the entry reports that it is not ready", unready);
    let answer = site.stream_completion(0, "while the balancer lags", 5);
    assert!(answer.is_complete(), "{answer:?}");
    assert!(site.entries[0].process.wait_for_exit().success());
}
