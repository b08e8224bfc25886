//! Number of requests that an engine can run before the pauses between its events grow too long.
//!
//! At peak load, a group that accepts a request for every slot exceeds the allowed pause for all
//! of its clients at the next jump of expert popularity. With fewer concurrent requests, the
//! events of all of them stay on time. A group whose passes take longer than the configuration
//! says, because an engine is slow or its experts are badly placed, runs fewer still.

use std::time;

use serde::{Deserialize, Serialize};

use crate::site::catalog::{Engine, PassCost};

/// Load of the most loaded rank relative to the mean right after a jump of popularity, before the
/// expert map has been adapted; it is 3.0 to 3.7 on the users' sites.
const JUMP_SKEW: f64 = 3.3;
/// Fraction by which passes take longer while experts are copied, as stated by the platform.
pub const COPY_SLOWDOWN: f64 = 0.15;
/// Part of the allowed pause that is reserved for the delivery of an event to the client.
const DELIVERY_TIME: time::Duration = time::Duration::from_millis(8);

/// Part of the longest pass that slow ranks may take up before their streams are moved.
const MAX_LOST_FRACTION: f64 = 0.25;
/// Requests of a rank from which measured passes show what each request adds; with fewer, the load of
/// the experts is uneven by chance.
const MIN_MEASURED_REQUESTS: f64 = 2.0;
/// Value to its caller of an answer that is late, relative to one that is on time.
const LATE_ANSWER_VALUE: f64 = 0.5;
/// Part of a route's timeout within which a late answer of mean length must end: answers differ in
/// length, and wait in the engine before their first event.
const LATE_ANSWER_FRACTION: f64 = 0.5;

/// Measured passes of a group, as its owner reports them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PassEstimate {
    /// Part of a pass that does not depend on the number of requests, in milliseconds.
    pub fixed_ms: f64,
    /// Time that one request at each rank adds to a pass, in milliseconds.
    pub per_request_ms: f64,
    /// Requests that a rank ran on average.
    pub requests: f64,
}

impl PassEstimate {
    /// Returns the duration of a pass with `requests` at each rank, in milliseconds.
    pub fn pass_ms(&self, requests: f64) -> f64 {
        self.fixed_ms + requests * self.per_request_ms
    }

    /// Whether the parts can be those of a pass.
    pub fn is_valid(&self) -> bool {
        let parts = [self.fixed_ms, self.per_request_ms, self.requests];
        parts.iter().all(|part| part.is_finite() && *part >= 0.0)
            && self.pass_ms(self.requests) > 0.0
    }
}

/// What a route demands of answers.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Longest pause between two events of an answer that is still on time.
    pub max_event_gap: Option<time::Duration>,
    /// Time after which an answer is cut off.
    pub timeout: time::Duration,
}

/// What a limit on requests was derived from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Basis {
    /// The configuration, which allows for a jump of popularity.
    Configured,
    /// The measured passes, which are too long for as many requests as configured.
    Measured,
    /// Most answers are late whatever the limit is, and it keeps them within the timeout.
    Late,
}

/// Limit on the requests of one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Number of requests.
    pub requests: u32,
    /// What it was derived from.
    pub basis: Basis,
}

/// Returns the duration of a pass of a group whose ranks run `requests` typical requests each.
/// `skew` is the load of the most loaded rank relative to the mean.
pub fn pass_duration(cost: &PassCost, requests: f64, skew: f64) -> time::Duration {
    let work_ms = requests * request_work_ms(cost) * relative_work(cost, skew);
    time::Duration::from_secs_f64((cost.steps_per_pass * cost.step_ms + work_ms) / 1000.0)
}

/// Returns the work of a pass at `skew` over that of a balanced one.
fn relative_work(cost: &PassCost, skew: f64) -> f64 {
    1.0 - cost.expert_share + cost.expert_share * skew
}

/// Returns the work of a typical request in one pass, with its share of reading prompts, in
/// milliseconds.
fn request_work_ms(cost: &PassCost) -> f64 {
    let decode_ms = cost.steps_per_pass
        * (cost.per_request_ms + cost.per_1k_tokens_ms * cost.mean_prompt_tokens / 1000.0);
    let prefill_ms = cost.steps_per_pass / cost.mean_answer_tokens.max(1.0)
        * cost.mean_prompt_tokens
        / cost.prompt_tokens_per_ms.max(1e-3);
    decode_ms + prefill_ms
}

/// Returns how many requests a rank may run if its events must be at most `max_event_gap` apart,
/// also after a jump of popularity; the result is between one and the engine's slots.
pub fn max_requests(engine: &Engine, max_event_gap: Option<time::Duration>) -> u32 {
    let (Some(max_event_gap), Some(cost)) = (max_event_gap, &engine.cost) else {
        return engine.slots;
    };
    let skew = if engine.experts.is_some() { JUMP_SKEW } else { 1.0 };
    let max_pass = max_event_gap.saturating_sub(DELIVERY_TIME).div_f64(1.0 + COPY_SLOWDOWN);
    let fits = |requests: &u32| pass_duration(cost, f64::from(*requests), skew) <= max_pass;
    (1..=engine.slots).take_while(fits).last().unwrap_or(1)
}

/// Returns the longest pass whose events are still on time, in milliseconds.
fn max_pass_ms(max_event_gap: time::Duration) -> f64 {
    max_event_gap.saturating_sub(DELIVERY_TIME).as_secs_f64() * 1000.0
}

/// Whether the requests that slow ranks still run take so much of each pass that their streams are
/// better resumed elsewhere: the whole group waits for them.
pub fn must_vacate_slow_ranks(
    engine: &Engine,
    max_event_gap: Option<time::Duration>,
    passes: &PassEstimate,
) -> bool {
    let (Some(max_event_gap), Some(cost)) = (max_event_gap, &engine.cost) else { return false };
    let lost_ms = passes.fixed_ms - cost.steps_per_pass * cost.step_ms;
    passes.is_valid() && lost_ms > max_pass_ms(max_event_gap) * MAX_LOST_FRACTION
}

/// Returns how many requests a rank may run for answers as `demand` says, from the measured `passes`
/// of its group where they are known. The result is between one and the configured limit.
pub fn limit(engine: &Engine, demand: &Demand, passes: Option<&PassEstimate>) -> Limit {
    let configured = max_requests(engine, demand.max_event_gap);
    let as_configured = Limit { requests: configured, basis: Basis::Configured };
    let (Some(max_event_gap), Some(cost), Some(passes)) =
        (demand.max_event_gap, &engine.cost, passes.filter(|passes| passes.is_valid()))
    else {
        return as_configured;
    };
    let work_ms = request_work_ms(cost) * relative_work(cost, JUMP_SKEW);
    let per_request_ms = match passes.requests {
        ..MIN_MEASURED_REQUESTS => passes.per_request_ms.min(work_ms),
        _ => passes.per_request_ms,
    };
    let passes = PassEstimate { per_request_ms, ..*passes };
    // Most requests, up to `upper`, with which a pass takes at most `max_pass_ms`.
    let most = |max_pass_ms: f64, upper: u32| {
        let fits = |requests: &u32| passes.pass_ms(f64::from(*requests)) <= max_pass_ms;
        (1..=upper).take_while(fits).last().unwrap_or(0)
    };
    let on_time = most(max_pass_ms(max_event_gap), configured);
    if on_time == configured {
        return as_configured;
    }
    let passes_per_answer = (cost.mean_answer_tokens / cost.steps_per_pass.max(1.0)).max(1.0);
    let late_answer_ms = demand.timeout.as_secs_f64() * 1000.0 * LATE_ANSWER_FRACTION;
    let late = most(late_answer_ms / passes_per_answer, configured).max(1);
    // Proportional to the answers that a rank ends in a unit of time.
    let rate = |requests: u32| f64::from(requests) / passes.pass_ms(f64::from(requests));
    match on_time {
        1.. if rate(on_time) >= rate(late) * LATE_ANSWER_VALUE => {
            Limit { requests: on_time, basis: Basis::Measured }
        }
        _ => Limit { requests: late, basis: Basis::Late },
    }
}
