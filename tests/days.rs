//! Replays recorded days of a model group's load through routing, queue, retries and the gate.
//!
//! The tests guard against a combination of these parts that loses requests, overloads cold servers
//! or sends new work to servers that are out.

use std::time;

#[allow(dead_code)]
#[path = "../measure/routing/mod.rs"]
mod routing;

use routing::{entry, figures, trace, world};

const COLD_START_EVENTS: &str = include_str!("traces/cold-start.trace");

/// Replays `trace` and checks what must hold on every day.
fn replay(trace: &trace::Trace) -> figures::Figures {
    let outcome = world::run(trace, entry::Policy::Ours, routing::SEED);
    let figures = figures::Figures::of(trace, &outcome);
    let refusals = outcome.fates.iter().filter(|fate| fate.refused.is_some());
    assert!(
        refusals.clone().all(|fate| fate.retry_after.is_some_and(|after| !after.is_zero())),
        "a refusal has no Retry-After"
    );
    // A server that turns cold under load crashes before any process can detect it.
    let cold_turns = trace.events.iter().filter(|event| event.what == trace::What::Cool).count();
    assert!(
        figures.falls as usize <= cold_turns,
        "a server received more load than it can bear: {figures:?}"
    );
    assert_eq!(figures.after_cool, 0, "a server that turned cold received new work: {figures:?}");
    assert_eq!(figures.after_out, 0, "a server that is out received new work: {figures:?}");
    assert_eq!(figures.cut, 0, "an answer was cut: {figures:?}");
    assert_eq!(figures.lost, 0, "a request was neither answered nor refused: {figures:?}");
    figures
}

#[test]
fn month_end() {
    replay(&routing::piensaime());
}

#[test]
fn zone_out_and_in() {
    replay(&routing::hsinchu());
}

#[test]
fn cold_start() {
    let events = trace::Trace::parse(COLD_START_EVENTS).unwrap().events;
    let trace = trace::Trace { events, ..routing::hsinchu() };
    replay(&trace);
    let outcome = world::run(&trace, entry::Policy::Ours, routing::SEED);
    let recovered_by = time::Duration::from_secs(30);
    let answered = |from: time::Duration| {
        let all = trace.requests.iter().zip(&outcome.fates).filter(|(req, _)| req.at >= from);
        all.filter(|(_, fate)| fate.whole.is_some()).count()
    };
    assert!(answered(recovered_by) > 0, "the site did not recover from a cold start");
}
