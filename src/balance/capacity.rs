//! Number of requests that an engine can run before the pauses between its events grow too long.
//!
//! At peak load, a group that accepts a request for every slot exceeds the allowed pause for all
//! of its clients at the next jump of expert popularity. With fewer concurrent requests, the
//! events of all of them stay on time.

use std::time;

use crate::site::catalog::{Engine, PassCost};

/// Load of the most loaded rank relative to the mean right after a jump of popularity, before the
/// expert map has been adapted; it is 3.0 to 3.7 on the users' sites.
const JUMP_SKEW: f64 = 3.3;
/// Fraction by which passes take longer while experts are copied, as stated by the platform.
pub const COPY_SLOWDOWN: f64 = 0.15;
/// Part of the allowed pause that is reserved for the delivery of an event to the client.
const DELIVERY_TIME: time::Duration = time::Duration::from_millis(8);

/// Returns the duration of a pass of a group whose ranks run `requests` typical requests each.
/// `skew` is the load of the most loaded rank relative to the mean.
pub fn pass_duration(cost: &PassCost, requests: f64, skew: f64) -> time::Duration {
    let expert_share = cost.expert_share;
    let work_ms = requests * request_work_ms(cost) * (1.0 - expert_share + expert_share * skew);
    time::Duration::from_secs_f64((cost.steps_per_pass * cost.step_ms + work_ms) / 1000.0)
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
