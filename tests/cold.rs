//! Backend servers in a cold start, alone and all at once, under more callers than they bear.

use crate::{load, processes};
use processes::{Site, SiteOptions};

const PLAN: SiteOptions = SiteOptions {
    entries: 2,
    engines: 2,
    engine_args: &["--cold-ms", "4000", "--cold-limit", "2", "--token-ms", "4", "--tokens", "10"],
    plain_servers: 0,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

#[test]
fn all_cold() {
    let site = Site::start(&PLAN);
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(24, &entries, 10);
    processes::wait_until("they are warm and busy", || {
        (site.sum_engine_counts("peak") > 8).then_some(())
    });
    let sent = load.stop();
    assert_eq!(site.sum_engine_counts("fell_over"), 0, "a cold server got more than it can carry");
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, 10).body
    });
}

#[test]
fn turned_cold() {
    let site = Site::start(&PLAN);
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(16, &entries, 10);
    processes::wait_until("they are warm and busy", || {
        (site.sum_engine_counts("peak") > 8).then_some(())
    });
    site.engines[0].set_faults(r#"{"restart":true}"#);
    let before = site.engine_runs(0);
    processes::wait_until("it works again", || (site.engine_runs(0) > before + 100).then_some(()));
    let sent = load.stop();
    assert_eq!(
        site.sum_engine_counts("fell_over"),
        0,
        "a server that turned cold got more than it can carry"
    );
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, 10).body
    });
}
