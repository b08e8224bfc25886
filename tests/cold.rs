//! Cold starts of one or of all backend servers, with more callers than a cold server can carry.
//!
//! Guards against a sidecar that admits more calls than a cold server carries, so that the server
//! crashes and loses answers: at its first start, and after a restart while calls are in flight.

use crate::{load, processes};
use processes::{Site, SiteOptions};

const OPTIONS: SiteOptions = SiteOptions {
    entries: 2,
    engines: 2,
    engine_args: &["--cold-ms", "4000", "--cold-limit", "2", "--token-ms", "4", "--tokens", "10"],
    plain_servers: 0,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

#[test]
fn all_servers_cold() {
    let site = Site::start(&OPTIONS);
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(24, &entries, 10);
    processes::wait_until("the servers are warm and busy", || {
        (site.sum_engine_counts("peak") > 8).then_some(())
    });
    let sent = load.stop();
    assert_eq!(
        site.sum_engine_counts("fell_over"),
        0,
        "a cold server received more calls than it can carry"
    );
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, 10).body
    });
}

#[test]
fn turned_cold() {
    let site = Site::start(&OPTIONS);
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(16, &entries, 10);
    processes::wait_until("the servers are warm and busy", || {
        (site.sum_engine_counts("peak") > 8).then_some(())
    });
    site.engines[0].set_faults(r#"{"restart":true}"#);
    let runs_before = site.engine_runs(0);
    processes::wait_until("the restarted server answers again", || {
        (site.engine_runs(0) > runs_before + 100).then_some(())
    });
    let sent = load.stop();
    assert_eq!(
        site.sum_engine_counts("fell_over"),
        0,
        "a restarted server received more calls than it can carry"
    );
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, 10).body
    });
}
