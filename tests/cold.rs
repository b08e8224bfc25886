//! Backend servers in a cold start, alone and all at once, under more callers than they bear.

use crate::{load, processes};
use processes::{Plan, Site};

const PLAN: Plan = Plan {
    entries: 2,
    engines: 2,
    engine: &["--cold-ms", "4000", "--cold-limit", "2", "--token-ms", "4", "--tokens", "10"],
    plains: 0,
    plain: &[],
    lag_ms: 200,
};

#[test]
fn all_cold() {
    let site = Site::start(&PLAN);
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.at).collect();
    let load = load::Load::streams(24, &entries, 10);
    processes::until("they are warm and busy", || (site.sum("peak") > 8).then_some(()));
    let sent = load.stop();
    assert_eq!(site.sum("fell_over"), 0, "a cold server got more than it can carry");
    let engine = site.engine();
    load::none_lost(&sent, |name| processes::complete(engine.at, "", name, 10).body);
}

#[test]
fn turned_cold() {
    let site = Site::start(&PLAN);
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.at).collect();
    let load = load::Load::streams(16, &entries, 10);
    processes::until("they are warm and busy", || (site.sum("peak") > 8).then_some(()));
    site.engines[0].faults(r#"{"restart":true}"#);
    let before = site.total(0);
    processes::until("it works again", || (site.total(0) > before + 100).then_some(()));
    let sent = load.stop();
    assert_eq!(site.sum("fell_over"), 0, "a server that turned cold got more than it can carry");
    let engine = site.engine();
    load::none_lost(&sent, |name| processes::complete(engine.at, "", name, 10).body);
}
