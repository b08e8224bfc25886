//! Takes a zone out of service and in again while clients stream answers.
//!
//! The test guards against requests that are lost by the change, against new requests to servers of
//! a zone that is out, and against a zone that receives none after its return.

use std::{thread, time};

use crate::{load, processes};
use processes::{Site, SiteOptions};

const TOKENS: u64 = 30;

#[test]
fn zone_out_and_in() {
    let site = Site::start(&SiteOptions { entries: 2, engines: 3, ..Default::default() });
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(8, &entries, TOKENS);
    processes::wait_until("the zone receives requests", || (site.engine_runs(0) > 3).then_some(()));

    let zone = processes::zone_of(0);
    assert_eq!(site.post_order(0, &format!("/zones/{zone}/out"), "").status, 200);
    processes::wait_until("the zone is out", || site.is_zone_out_everywhere(zone).then_some(()));
    thread::sleep(time::Duration::from_millis(200));
    let before = site.engine_runs(0);
    let others = site.engine_runs(1) + site.engine_runs(2);
    processes::wait_until("the other zones receive requests", || {
        (site.engine_runs(1) + site.engine_runs(2) > others + 20).then_some(())
    });
    assert_eq!(site.engine_runs(0), before, "a zone that is out received new requests");

    assert_eq!(site.post_order(1, &format!("/zones/{zone}/in"), "").status, 200);
    processes::wait_until("the zone receives requests again", || {
        (site.engine_runs(0) > before).then_some(())
    });
    thread::sleep(time::Duration::from_millis(200));
    let sent = load.stop();
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, TOKENS).body
    });
}
