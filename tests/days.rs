//! Recorded days of a model group under load, replayed through routing, queue, retries and gate.

use std::time;

#[allow(dead_code)]
#[path = "../measure/routing/mod.rs"]
mod routing;

use routing::{entry, figures, trace, world};

const EVENTS: &str = include_str!("traces/cold-start.trace");

/// Replays `trace`; what must hold on any day holds.
fn replay(trace: &trace::Trace) -> figures::Figures {
    let outcome = world::run(trace, entry::Policy::Ours, routing::SEED);
    let seen = figures::Figures::of(trace, &outcome);
    let waits = outcome.fates.iter().filter(|fate| fate.refused.is_some());
    assert!(
        waits.clone().all(|fate| fate.retry_after.is_some_and(|after| !after.is_zero())),
        "a refusal names no time to come back"
    );
    // One that turns cold under its load falls over before anybody can know.
    let cooled = trace.events.iter().filter(|event| event.what == trace::What::Cool).count();
    assert!(seen.falls as usize <= cooled, "a server got more than it can carry: {seen:?}");
    assert_eq!(seen.after_cool, 0, "a server that turned cold got new work: {seen:?}");
    assert_eq!(seen.after_out, 0, "a server that is out got new work: {seen:?}");
    assert_eq!(seen.cut, 0, "an answer was cut: {seen:?}");
    assert_eq!(seen.lost, 0, "a request was neither answered nor refused: {seen:?}");
    seen
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
    let events = trace::Trace::parse(EVENTS).unwrap().events;
    let trace = trace::Trace { events, ..routing::hsinchu() };
    replay(&trace);
    let outcome = world::run(&trace, entry::Policy::Ours, routing::SEED);
    let late = time::Duration::from_secs(30);
    let answered = |from: time::Duration| {
        let all = trace.requests.iter().zip(&outcome.fates).filter(|(req, _)| req.at >= from);
        all.filter(|(_, fate)| fate.whole.is_some()).count()
    };
    assert!(answered(late) > 0, "the site did not come back from a cold start");
}
