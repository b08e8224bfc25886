//! Admission by a sidecar that has no configuration, is out of service or is leaving.
//!
//! Guards against calls that are admitted in one of these states, and against a call in flight that
//! is cut off because the sidecar leaves before the call has ended.

use std::{collections::BTreeMap, sync::Arc, time};

use knapweedford::{
    config,
    policy::gate,
    sidecar::{core, health},
    view, wire,
};
use tokio::sync::oneshot;

const NOW: time::Duration = time::Duration::ZERO;
const CONFIG: &str = "zones: {north: {}}
services:
  ledger: {kind: plain, calls: [{method: GET, path: /, repeatable: true, deadline-ms: 1000}]}
servers:
  ledger-0: {service: ledger, zone: north}
";

/// Creates the core of a sidecar whose backend server is healthy.
fn healthy_core() -> core::Core {
    let mut core = core::Core::new("ledger-0".into());
    core.record_health(Some(health::Health { incarnation: 1, ..Default::default() }), NOW);
    core
}

fn view(out: config::OutOfService) -> Arc<view::View> {
    let config = config::parse(CONFIG).unwrap();
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

fn refusal_reason(decision: core::Decision) -> Option<wire::Refusal> {
    match decision {
        core::Decision::Refused { reason, .. } => Some(reason),
        core::Decision::Admitted { .. } => None,
    }
}

#[test]
fn unconfigured_refused() {
    let mut core = healthy_core();
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Unreachable));
    core.apply_view(view(config::OutOfService::default()));
    assert_eq!(refusal_reason(admit(&mut core)), None);
}

#[test]
fn zone_out_refused() {
    let mut core = healthy_core();
    let zones = ["north".into()].into();
    core.apply_view(view(config::OutOfService { zones, ..Default::default() }));
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Leaving));
    core.apply_view(view(config::OutOfService::default()));
    assert_eq!(refusal_reason(admit(&mut core)), None);
}

#[test]
fn leaving_refused() {
    let mut core = healthy_core();
    core.apply_view(view(config::OutOfService::default()));
    assert_eq!(refusal_reason(admit(&mut core)), None);
    core.start_leaving();
    assert!(!core.has_left(), "a call is in flight");
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Leaving));
    assert!(core.load().leaving);
    core.apply_view(view(config::OutOfService::default()));
    assert_eq!(refusal_reason(admit(&mut core)), Some(wire::Refusal::Leaving));
    core.end_call(0, gate::Ending::Complete, NOW);
    assert!(core.has_left());
}

#[test]
fn zone_out_excluded() {
    let view_without = |zone: &str| {
        let out = config::OutOfService { zones: [zone.into()].into(), ..Default::default() };
        let sidecar_addresses = [("ledger-0".into(), ([127, 0, 0, 1], 1).into())].into();
        view::View { sidecar_addresses, ..(*view(out)).clone() }
    };
    assert_eq!(view_without("south").candidates(&"ledger".into()).count(), 1);
    assert_eq!(view_without("north").candidates(&"ledger".into()).count(), 0);
}
