//! Makes the platform unavailable, slow, frozen or lossy while clients send requests.
//!
//! The tests guard against a stop of the streams, and against calls that run twice, or run although
//! they were refused, when their claims cannot be stored.

use std::{thread, time};

use crate::{load, processes};
use processes::{Site, SiteOptions};

const TOKENS: u64 = 20;
const SITE_OPTIONS: SiteOptions = SiteOptions {
    entries: 2,
    engines: 2,
    engine_args: &[],
    plain_servers: 2,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

/// Streams and posts before, during and after an outage of the platform, which `begin` starts and
/// `end` ends.
fn run_through_outage(begin: impl FnOnce(&Site), end: impl FnOnce(&Site)) {
    let site = Site::start(&SITE_OPTIONS);
    assert!(site.post_to_ledger(0, "before", "x").is_complete());
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.process.address).collect();
    let load = load::Load::start_streams(4, &entries, TOKENS);
    begin(&site);
    let during = site.post_to_ledger(0, "during", "x");
    thread::sleep(time::Duration::from_secs(3));
    end(&site);
    let after = processes::wait_until("a posting succeeds again", || {
        Some(site.post_to_ledger(1, "after", "x")).filter(processes::Answer::is_complete)
    });
    let sent = load.stop();
    assert_eq!(during.ran, "no", "{during:?}");
    assert!(during.retry_after.is_some(), "{during:?}");
    assert_eq!(site.posting_runs("during"), 0, "a refused posting ran");
    assert_eq!((after.ran.as_str(), site.posting_runs("after")), ("yes", 1));
    let engine = site.start_reference_engine();
    load::assert_none_lost(&sent, |name| {
        processes::stream_completion(engine.address, "", name, TOKENS).body
    });
}

#[test]
fn store_down() {
    let set = |faults: &'static str| move |site: &Site| site.platform.set_faults(faults);
    run_through_outage(set(r#"{"down":true}"#), set("{}"));
}

#[test]
fn store_slow() {
    let set = |faults: &'static str| move |site: &Site| site.platform.set_faults(faults);
    run_through_outage(set(r#"{"slow_ms":10000}"#), set("{}"));
}

#[test]
fn store_frozen() {
    run_through_outage(|site| site.platform.signal("STOP"), |site| site.platform.signal("CONT"));
}

#[test]
fn store_answers_lost() {
    let site = Site::start(&SITE_OPTIONS);
    site.platform.set_faults(r#"{"lose_answer":0.4,"seed":5}"#);
    for at in 0..20 {
        let key = format!("lost-{at}");
        let answer = processes::wait_until("the posting is not refused", || {
            let answer = site.post_to_ledger(at % 2, &key, "x");
            (answer.ran != "no").then_some(answer)
        });
        let runs = site.posting_runs(&key);
        assert!(runs <= 1, "{key} ran {runs} times");
        assert!(answer.ran != "yes" || runs == 1, "{key}: {answer:?}");
    }
}
