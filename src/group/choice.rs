//! Which rank takes a request: even tokens and KV memory, prefix hits where they pay.
//!
//! The expert map is no input: a rank's experts serve the tokens of all ranks,
//! so a request sent after the experts would change nothing, and the map would
//! chase the requests.

/// Weight of KV memory above the mean, in units of the mean tokens in flight.
const KV: f64 = 2.0;
/// KV memory that stays free on every rank, as a share of the whole.
const RESERVE: f64 = 0.05;

/// One rank as last reported, with what was sent to it since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Tokens in flight.
    pub tokens: u64,
    /// KV memory in use, in tokens.
    pub kv_used: u64,
    /// KV memory, in tokens.
    pub kv_total: u64,
    /// Tokens of the request's prompt that its cache holds.
    pub cached_prompt: u64,
    /// Whether it is being drained or reported slow.
    pub draining: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens expected in the answer.
    pub output: u64,
}

/// The rank to send to; `None` if none has the memory or all are draining.
pub fn choose_rank(ranks: &[Candidate], need: RequestSize) -> Option<usize> {
    let open = || ranks.iter().enumerate().filter(|(_, rank)| !rank.draining);
    let count = open().count().max(1) as f64;
    let tokens = open().map(|(_, rank)| rank.tokens as f64).sum::<f64>() / count;
    let kv = open().map(|(_, rank)| used(rank, 0)).sum::<f64>() / count;
    let scale = tokens + (need.prompt + need.output) as f64;
    let cost = |rank: &Candidate| {
        let fresh = need.prompt.saturating_sub(rank.cached_prompt) + need.output;
        let over = (used(rank, fresh) - kv).max(0.0);
        rank.tokens as f64 + fresh as f64 + KV * over * scale
    };
    let fits = |rank: &Candidate| {
        used(rank, need.prompt.saturating_sub(rank.cached_prompt) + need.output) <= 1.0 - RESERVE
    };
    open()
        .filter(|(_, rank)| fits(rank))
        .map(|(i, rank)| (i, cost(rank)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(i, _)| i)
}

fn used(rank: &Candidate, more: u64) -> f64 {
    (rank.kv_used + more) as f64 / rank.kv_total.max(1) as f64
}
