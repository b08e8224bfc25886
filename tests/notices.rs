//! What backend servers say about themselves in their answers: that they are leaving, and that they
//! want a pause. It must count at once, also while the store is unavailable.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateways::{self, Behavior, Site},
    store::Mode,
};

/// A server that is leaving gets no requests after it has said so, although the registry, which cannot
/// be read meanwhile, still lists it.
#[test]
fn leaving_at_once() {
    let site = Site::start(2, false);
    site.servers[0].set_behavior(Behavior::Leave);
    site.store.set_mode(Mode::Refusing(503));
    for n in 0..12 {
        let answer = site.send("GET", "/read/a", &format!("id-{n}"));
        assert_eq!(answer.status, 200, "request {n}");
    }
    assert_eq!(site.servers[0].requests().len(), 1, "a leaving server got further requests");
}

/// A new server at the address of one that was leaving gets requests.
#[test]
fn address_taken_over() {
    let site = Site::start(1, false);
    site.servers[0].set_behavior(Behavior::Leave);
    assert_eq!(site.send("GET", "/read/a", "id-1").status, 200);
    assert_eq!(site.send("GET", "/read/a", "id-2").status, 503);
    let row = gateways::row(site.servers[0].addr, "ready", 2, "");
    site.store.put("servers", "i-0", &row);
    site.servers[0].set_behavior(Behavior::Answer);
    crate::processes::wait_until("the new incarnation gets requests", || {
        (site.send("GET", "/read/a", "id-3").status == 200).then_some(())
    });
}

/// A server that asks for a pause gets no request until it ends, and then gets requests again.
#[test]
fn pause_kept() {
    let site = Site::start(2, false);
    site.servers[0].set_behavior(Behavior::Pause("1.5"));
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(1300) {
        assert_eq!(site.send("GET", "/read/a", "id").status, 200);
    }
    assert_eq!(site.servers[0].requests().len(), 1, "a paused server got further requests");
    site.servers[0].set_behavior(Behavior::Answer);
    thread::sleep(Duration::from_millis(700));
    for _ in 0..20 {
        assert_eq!(site.send("GET", "/read/a", "id").status, 200);
    }
    assert!(site.servers[0].requests().len() > 2, "the pause did not end");
}

/// While all servers ask for a pause, requests are refused at once, with a Retry-After that is not
/// before its end, and the answer that they have not run is true.
#[test]
fn all_paused() {
    let site = Site::start(2, false);
    site.servers.iter().for_each(|server| server.set_behavior(Behavior::Pause("3")));
    let _ = site.send("POST", "/once/a", "id-0");
    let _ = site.send("POST", "/once/a", "id-1");
    let reached = site.request_count();
    let started = Instant::now();
    let answer = site.send("POST", "/once/a", "id-2");
    assert_eq!(answer.status, 503);
    assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
    let retry_after: f64 = answer.headers["retry-after"].parse().expect("a number of seconds");
    assert!((2.0..=3.1).contains(&retry_after), "{retry_after} s");
    assert_eq!(site.request_count(), reached, "a paused server got a request");
}

/// A Retry-After that is not a number of seconds is no pause, and a huge one is limited.
#[test]
fn bad_pauses_ignored() {
    for value in ["-1", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN", "soon", ""] {
        let site = Site::start(1, false);
        site.servers[0].set_behavior(Behavior::Pause(value));
        for n in 0..2 {
            assert_eq!(site.send("GET", "/read/a", &format!("id-{n}")).status, 503, "{value:?}");
        }
        assert_eq!(site.request_count(), 2, "{value:?} counted as a pause");
    }
    let site = Site::start(1, false);
    site.servers[0].set_behavior(Behavior::Pause("1e300"));
    assert_eq!(site.send("GET", "/read/a", "id-1").status, 503);
    let answer = site.send("GET", "/read/a", "id-2");
    let retry_after: f64 = answer.headers["retry-after"].parse().expect("a number of seconds");
    assert!((50.0..=60.0).contains(&retry_after), "{retry_after} s");
}
