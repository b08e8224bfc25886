//! How many requests an engine can run before the pauses between its events grow too long.
//!
//! Answers the heaviest days: a group takes every request it has places for and, at the next jump
//! of expert popularity, makes all of its callers wait. Fewer at once keep all of them on time.

use std::time;

use crate::site::catalog::{Engine, PassCost};

/// Most loaded rank over the mean right after a jump of popularity, before the map has followed;
/// 3.0 to 3.7 were measured on the users' sites.
const JUMP_SKEW: f64 = 3.3;
/// Part by which passes last longer while experts are copied, as the platform states it.
pub const COPY_SLOWDOWN: f64 = 0.15;
/// Part of the pause that the way to the caller takes.
const ON_THE_WAY: time::Duration = time::Duration::from_millis(8);

/// Length of a pass of a group whose ranks each run `requests` usual requests.
pub fn pass_duration(cost: &PassCost, requests: f64, skew: f64) -> time::Duration {
    let share = cost.expert_share;
    let work = requests * work_ms(cost) * (1.0 - share + share * skew);
    time::Duration::from_secs_f64((cost.steps_per_pass * cost.step_ms + work) / 1000.0)
}

/// Work of a usual request in one pass, with its part of reading prompts, in milliseconds.
fn work_ms(cost: &PassCost) -> f64 {
    let writing = cost.steps_per_pass
        * (cost.per_request_ms + cost.per_1k_tokens_ms * cost.mean_prompt_tokens / 1000.0);
    let reading = cost.steps_per_pass / cost.mean_answer_tokens.max(1.0) * cost.mean_prompt_tokens
        / cost.prompt_tokens_per_ms.max(1e-3);
    writing + reading
}

/// Requests that a rank runs at most, if events are to be at most `pause` apart also after a jump
/// of popularity; at least one, at most the engine's places.
pub fn max_requests(engine: &Engine, pause: Option<time::Duration>) -> u32 {
    let (Some(pause), Some(cost)) = (pause, &engine.cost) else { return engine.slots };
    let skew = if engine.experts.is_some() { JUMP_SKEW } else { 1.0 };
    let room = pause.saturating_sub(ON_THE_WAY).div_f64(1.0 + COPY_SLOWDOWN);
    let fits = |requests: &u32| pass_duration(cost, f64::from(*requests), skew) <= room;
    (1..=engine.slots).take_while(fits).last().unwrap_or(1)
}
