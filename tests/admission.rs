//! What a sidecar admits before it knows enough.

use std::{collections::BTreeMap, sync::Arc, time};

use knapweedford::{
    config,
    policy::gate,
    sidecar::{core, health},
    view, wire,
};
use tokio::sync::oneshot;

const NOW: time::Duration = time::Duration::ZERO;
const TEXT: &str = "zones: {north: {}}
services:
  ledger: {kind: plain, calls: [{method: GET, path: /, repeatable: true, deadline-ms: 1000}]}
servers:
  ledger-0: {service: ledger, zone: north}
";

/// A sidecar whose backend server is healthy.
fn healthy() -> core::Core {
    let mut core = core::Core::new("ledger-0".into());
    core.record_health(Some(health::Health { incarnation: 1, ..Default::default() }), NOW);
    core
}

fn known(out: config::Out) -> Arc<view::View> {
    let config = config::parse(TEXT).unwrap();
    Arc::new(view::View {
        version: 1,
        config: config.into(),
        out,
        sidecar_addresses: BTreeMap::new(),
    })
}

fn admit(core: &mut core::Core) -> core::Decision {
    let (tx, mut rx) = oneshot::channel();
    let time_left = time::Duration::from_secs(1);
    core.admit(core::AdmitRequest { server: "ledger-0".into(), time_left, tx }, NOW);
    rx.try_recv().unwrap()
}

fn refusal_reason(verdict: core::Decision) -> Option<wire::Refusal> {
    match verdict {
        core::Decision::Refused { reason, .. } => Some(reason),
        core::Decision::Admitted { .. } => None,
    }
}

#[test]
fn no_configuration() {
    let mut core = healthy();
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Unreachable));
    core.apply_view(known(config::Out::default()));
    assert_eq!(refusal_reason(admit(&mut core)), None);
}

#[test]
fn zone_out() {
    let mut core = healthy();
    let zones = ["north".into()].into();
    core.apply_view(known(config::Out { zones, ..Default::default() }));
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Leaving));
    core.apply_view(known(config::Out::default()));
    assert_eq!(refusal_reason(admit(&mut core)), None);
}

#[test]
fn leaving() {
    let mut core = healthy();
    core.apply_view(known(config::Out::default()));
    assert_eq!(refusal_reason(admit(&mut core)), None);
    core.start_leaving();
    assert!(!core.has_left(), "a call is in flight");
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Leaving));
    assert!(core.load().leaving);
    core.apply_view(known(config::Out::default()));
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Leaving));
    core.end_call(0, gate::Ending::Complete, NOW);
    assert!(core.has_left());
}

#[test]
fn no_candidates() {
    let view = |zone: &str| {
        let out = config::Out { zones: [zone.into()].into(), ..Default::default() };
        let sidecar_addresses = [("ledger-0".into(), ([127, 0, 0, 1], 1).into())].into();
        view::View { sidecar_addresses, ..(*known(out)).clone() }
    };
    assert_eq!(view("south").candidates(&"ledger".into()).count(), 1);
    assert_eq!(view("north").candidates(&"ledger".into()).count(), 0);
}
