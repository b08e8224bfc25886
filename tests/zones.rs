//! A zone goes out of service and comes back while callers are on the line.

use std::{thread, time};

use crate::{load, processes};
use processes::{Plan, Site};

const TOKENS: u64 = 30;

#[test]
fn out_and_in() {
    let site = Site::start(&Plan { entries: 2, engines: 3, ..Default::default() });
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.at).collect();
    let load = load::Load::streams(8, &entries, TOKENS);
    processes::until("the zone works", || (site.total(0) > 3).then_some(()));

    let order = |turn: &str| format!("/zones/{}/{turn}", processes::zone(0));
    assert_eq!(site.order(0, &order("out"), "").status, 200);
    site.ready(2);
    let before = site.total(0);
    let others = site.total(1) + site.total(2);
    processes::until("others work", || (site.total(1) + site.total(2) > others + 20).then_some(()));
    assert_eq!(site.total(0), before, "a zone that is out got new work");

    assert_eq!(site.order(1, &order("in"), "").status, 200);
    site.ready(3);
    processes::until("the zone works again", || (site.total(0) > before).then_some(()));
    thread::sleep(time::Duration::from_millis(200));
    let sent = load.stop();
    let engine = site.engine();
    load::none_lost(&sent, |name| processes::complete(engine.at, "", name, TOKENS).body);
}
