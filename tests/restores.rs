//! The store comes back from a copy that is some seconds old: its versions go back and are given out
//! again for other contents.

use crate::{
    gateways::{Site, config},
    processes::wait_until,
};

/// Waits until the gateway handles `/read/` as a configuration with `service` says.
fn wait_for(site: &Site, what: &str, status: u16) {
    wait_until(what, || (site.send("GET", "/read/a", "id").status == status).then_some(()));
}

/// A configuration that the copy lacks stays in force, and one that is written after the restore
/// comes into force although the store's version is lower than the one read before.
#[test]
fn configuration_kept() {
    let site = Site::start(1, false);
    let copy = site.store.copy();
    for version in 2..8 {
        site.store.put("op", "config", &config(version, "gone"));
    }
    wait_for(&site, "the service is gone", 503);
    site.store.restore(copy);
    for _ in 0..20 {
        std::thread::sleep(std::time::Duration::from_millis(50));
        assert_eq!(site.send("GET", "/read/a", "id").status, 503, "the configuration went back");
    }
    site.store.put("op", "config", &config(9, "llm"));
    wait_for(&site, "the configuration after the restore", 200);
}

/// A zone that was evacuated after the copy was made gets no requests although the copy does not
/// show it; once the operator has written it again, only the operator ends it.
#[test]
fn evacuation_kept() {
    let site = Site::start(1, false);
    let copy = site.store.copy();
    site.store.put("op", "evacuate/z", "{}");
    wait_for(&site, "the zone gets no requests", 503);
    let before = site.request_count();
    site.store.restore(copy);
    for _ in 0..20 {
        std::thread::sleep(std::time::Duration::from_millis(50));
        assert_eq!(site.send("GET", "/read/a", "id").status, 503, "the evacuation was forgotten");
    }
    assert_eq!(site.request_count(), before);
    site.store.put("op", "evacuate/z", "{}");
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    site.store.remove("op", "evacuate/z");
    wait_for(&site, "the zone gets requests again", 200);
}

/// A server that registered after the copy was made still gets requests until it has registered
/// again.
#[test]
fn registration_kept() {
    let site = Site::start(1, false);
    let copy = site.store.copy();
    site.store.restore(copy);
    let copy = {
        site.store.remove("servers", "i-0");
        site.store.copy()
    };
    crate::gateways::register(&site.store, &site.servers[0], site.servers[0].addr, "ready");
    wait_for(&site, "the server is registered", 200);
    site.store.restore(copy);
    let started = std::time::Instant::now();
    while started.elapsed() < std::time::Duration::from_millis(1_900) {
        assert_eq!(site.send("GET", "/read/a", "id").status, 200, "after {:?}", started.elapsed());
    }
    crate::gateways::register(&site.store, &site.servers[0], site.servers[0].addr, "ready");
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    assert_eq!(site.send("GET", "/read/a", "id").status, 200);
}
