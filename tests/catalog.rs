//! Operators' configuration on the users' platform: parsing, choice of a route, and API keys.

use std::time;

use knapweedford::{
    platform::catalog,
    site::{
        Catalog,
        catalog::{Repeatability, UnknownApiKey},
    },
};

/// Shortened form of the platform's own example.
const CONFIGURATION: &str = r#"{"version":7,"routes":[
  {"name":"split","host":"a.example","prefix":"/lohu/","kind":"streaming","timeout_ms":8000,
   "target_latency_ms":400,"priority":1,"backends":[{"service":"llm","weight":90},
   {"service":"other","weight":10}],"max_attempts":2,"public":false,"sticky":true,
   "resumable":true,"gap_aim_ms":120},
  {"name":"deeper","host":"a.example","prefix":"/lohu/930/","kind":"safe","timeout_ms":1500,
   "service":"ledger","max_attempts":2,"public":true},
  {"name":"posting","host":"a.example","prefix":"/post/","kind":"unsafe","timeout_ms":1500,
   "service":"ledger"},
  {"name":"strange","host":"a.example","prefix":"/new/","kind":"odd","timeout_ms":1500,
   "service":"ledger"},
  {"name":"nowhere","host":"a.example","prefix":"/none/","kind":"safe","timeout_ms":1500}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":408,"protocol":"h1","tls":false,
   "cold_start_s":3.0,"cold_per_s":36.0,"engine":{"slots":12,"kv_capacity":494000,
   "link_mbps":180000.0,"stride":6,"step_ms":4.84,"per_seq_ms":0.362,"context_per_k":0.011,
   "read_per_s":74800.0,"chunk":512,"usual":{"prompt":835,"answer":159},"sets":4,"experts":72,
   "places":8,"spare":3,"expert_mb":2200.0,"expert_share":0.85}},
  {"name":"ledger","health_path":"/healthz","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
   "idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["key-1","key-2"],"priority":1}]}"#;

fn parse_example() -> Catalog {
    catalog::parse(CONFIGURATION.as_bytes()).expect("the example parses")
}

fn route_name(catalog: &Catalog, host: &str, path: &str) -> Option<String> {
    catalog.route(host, path).map(|route| route.name.clone())
}

#[test]
fn longest_prefix_wins() {
    let catalog = parse_example();
    assert_eq!(route_name(&catalog, "a.example", "/lohu/2f").as_deref(), Some("split"));
    assert_eq!(route_name(&catalog, "a.example", "/lohu/930/2f").as_deref(), Some("deeper"));
    assert_eq!(route_name(&catalog, "A.Example:8227", "/lohu/2f").as_deref(), Some("split"));
    assert_eq!(route_name(&catalog, "a.example", "/lohu"), None);
    assert_eq!(route_name(&catalog, "b.example", "/lohu/2f"), None);
}

#[test]
fn kinds_limit_repeats() {
    let catalog = parse_example();
    let repeatability = |path| catalog.route("a.example", path).map(|route| route.repeatability);
    assert_eq!(repeatability("/lohu/1"), Some(Repeatability::Resumable));
    assert_eq!(repeatability("/lohu/930/1"), Some(Repeatability::Safe));
    assert_eq!(repeatability("/post/1"), Some(Repeatability::Once));
    assert_eq!(
        repeatability("/new/1"),
        Some(Repeatability::Once),
        "a request of an unknown kind must run at most once"
    );
    assert_eq!(repeatability("/none/1"), None, "a route without a service must be ignored");
}

#[test]
fn api_keys_checked() {
    let catalog = parse_example();
    let (split, public) = ("/lohu/1", "/lohu/930/1");
    let holder = |path: &str, key| {
        let route = catalog.route("a.example", path).expect("the example has the route");
        catalog.key_holder(route, key).map(|holder| holder.map(|h| h.workspace.to_string()))
    };
    assert_eq!(holder(split, Some("key-2")), Ok(Some("hule930".into())));
    assert_eq!(holder(split, Some("key-3")), Err(UnknownApiKey));
    assert_eq!(holder(split, None), Err(UnknownApiKey));
    assert_eq!(holder(public, None), Ok(None));
}

#[test]
fn weights_split_requests() {
    let catalog = parse_example();
    let route = catalog.route("a.example", "/lohu/1").expect("the example has the route");
    assert_eq!(route.pick_service(0.0).as_str(), "llm");
    assert_eq!(route.pick_service(0.89).as_str(), "llm");
    assert_eq!(route.pick_service(0.91).as_str(), "other");
    assert_eq!(route.pick_service(1.0).as_str(), "other");
}

#[test]
fn engine_shape_parsed() {
    let catalog = parse_example();
    let engine = catalog.services["llm"].engine.as_ref().expect("the service has an engine");
    let experts = engine.experts.expect("the engine has an expert shape");
    assert_eq!(
        (experts.layer_sets, experts.experts_per_set, experts.experts_per_rank, experts.max_copies),
        (4, 72, 8, 3)
    );
    let copy_ms = experts.copy_time.as_millis();
    assert_eq!(copy_ms, 97, "2,200 MB at 180,000 Mbit/s");
    assert!(catalog.services["ledger"].engine.is_none());
    assert_eq!(catalog.limits.idle_timeout, time::Duration::from_secs(15));
}

#[test]
fn invalid_configuration() {
    assert!(catalog::parse(b"").is_none());
    assert!(catalog::parse(br#"{"version":"seven"}"#).is_none());
    let minimal =
        catalog::parse(br#"{"version":1}"#).expect("a configuration with only a version parses");
    assert_eq!(minimal.route_count(), 0);
}
