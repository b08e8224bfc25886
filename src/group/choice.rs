//! Choice of the rank that takes a request: balances tokens in flight and KV memory, and uses a
//! cached prefix where that costs less than the imbalance.
//!
//! The expert map is not an input. Each rank's experts process the tokens of all ranks, so sending
//! a request to a rank for its experts would not change their load, and the map, which follows
//! the load, would keep changing with the routing.

/// Weight of KV memory use above the mean, in units of the mean tokens in flight.
const KV_WEIGHT: f64 = 2.0;
/// Share of each rank's KV memory that stays free.
const KV_RESERVE: f64 = 0.05;

/// A rank's last reported state, including what was sent to it since the report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Tokens in flight.
    pub tokens: u64,
    /// KV memory in use, in tokens.
    pub kv_used: u64,
    /// Size of the KV memory, in tokens.
    pub kv_total: u64,
    /// Tokens of the request's prompt that the rank's prefix cache holds.
    pub cached_prompt: u64,
    /// Whether the rank is draining or reported as a straggler.
    pub draining: bool,
}

/// The size of a request, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Expected tokens of the answer.
    pub output: u64,
}

/// Returns the index of the rank with the least cost, or `None` if all ranks are draining or
/// short of KV memory.
pub fn choose_rank(ranks: &[Candidate], size: RequestSize) -> Option<usize> {
    let open = || ranks.iter().enumerate().filter(|(_, rank)| !rank.draining);
    let count = open().count().max(1) as f64;
    let mean_tokens = open().map(|(_, rank)| rank.tokens as f64).sum::<f64>() / count;
    let mean_kv_use = open().map(|(_, rank)| kv_use(rank, 0)).sum::<f64>() / count;
    let scale = mean_tokens + (size.prompt + size.output) as f64;
    let cost = |rank: &Candidate| {
        let new_tokens = size.prompt.saturating_sub(rank.cached_prompt) + size.output;
        let excess = (kv_use(rank, new_tokens) - mean_kv_use).max(0.0);
        rank.tokens as f64 + new_tokens as f64 + KV_WEIGHT * excess * scale
    };
    let fits = |rank: &Candidate| {
        kv_use(rank, size.prompt.saturating_sub(rank.cached_prompt) + size.output)
            <= 1.0 - KV_RESERVE
    };
    open()
        .filter(|(_, rank)| fits(rank))
        .map(|(i, rank)| (i, cost(rank)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(i, _)| i)
}

/// Share of the rank's KV memory in use after `added` more tokens.
fn kv_use(rank: &Candidate, added: u64) -> f64 {
    (rank.kv_used + added) as f64 / rank.kv_total.max(1) as f64
}
