//! Replays recorded days of a model group's load through routing, queue, retries and the gate.
//!
//! The tests guard against a combination of these parts that loses requests, overloads cold servers
//! or sends new work to servers that are out.

use std::time;

#[allow(dead_code)]
#[path = "../measure/routing/mod.rs"]
mod routing;

use routing::{entry, figures, simulation, trace};

const COLD_START_EVENTS: &str = include_str!("traces/cold-start.trace");

/// Replays `trace` and checks what must hold on every day.
fn replay(trace: &trace::Trace) -> figures::Figures {
    let outcome = simulation::run(trace, entry::Policy::Knapweedford, routing::SEED);
    let figures = figures::Figures::new(trace, &outcome);
    let refusals = outcome.requests.iter().filter(|result| result.refused_at.is_some());
    assert!(
        refusals.clone().all(|result| result.retry_after.is_some_and(|after| !after.is_zero())),
        "a refusal has no Retry-After"
    );
    // A server that turns cold under load crashes before any process can detect it.
    let cold_turns =
        trace.events.iter().filter(|event| event.kind == trace::EventKind::Cool).count();
    assert!(
        figures.overload_crashes as usize <= cold_turns,
        "a server crashed from overload: {figures:?}"
    );
    assert_eq!(
        figures.admitted_after_cooling, 0,
        "a server that turned cold received new work: {figures:?}"
    );
    assert_eq!(
        figures.admitted_while_out, 0,
        "a server that is out received new work: {figures:?}"
    );
    assert_eq!(
        figures.failed, 0,
        "a server broke off an answer that no other server completed: {figures:?}"
    );
    assert_eq!(figures.unanswered, 0, "a request was neither answered nor refused: {figures:?}");
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
    let outcome = simulation::run(&trace, entry::Policy::Knapweedford, routing::SEED);
    let recovered_by = time::Duration::from_secs(30);
    let answered = |from: time::Duration| {
        let all =
            trace.requests.iter().zip(&outcome.requests).filter(|(req, _)| req.arrived_at >= from);
        all.filter(|(_, result)| result.completed_at.is_some()).count()
    };
    assert!(answered(recovered_by) > 0, "the site did not recover from a cold start");
}
