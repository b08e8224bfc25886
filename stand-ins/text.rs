//! The text that every engine makes of a prompt: the same on each of them.

use serde::Serialize;
use xxhash_rust::xxh3;

const WORDS: [&str; 16] = [
    "fat", "protein", "cell", "count", "sofa", "mattress", "pickup", "payment", "sheet", "line",
    "litre", "price", "district", "clerk", "booking", "total",
];

#[derive(Serialize)]
struct Choice {
    index: u32,
    text: String,
}

#[derive(Serialize)]
struct Piece {
    choices: [Choice; 1],
}

/// A whole answer.
#[derive(Serialize)]
pub struct Whole {
    choices: [Choice; 1],
    completion_tokens: u64,
}

/// The server-sent event of token `at`, from 1.
pub fn event(prompt: &str, at: u64) -> String {
    let piece = Piece { choices: [Choice { index: 0, text: token(prompt, at) }] };
    let json = serde_json::to_string(&piece).expect("plain data serializes");
    format!("id: {at}\ndata: {json}\n\n")
}

/// The last event.
pub fn done(at: u64) -> String {
    format!("id: {at}\ndata: [DONE]\n\n")
}

/// The answer that is not streamed.
pub fn whole(prompt: &str, tokens: u64) -> Whole {
    let text = (1..=tokens).map(|at| token(prompt, at)).collect();
    Whole { choices: [Choice { index: 0, text }], completion_tokens: tokens }
}

fn token(prompt: &str, at: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), at);
    format!("{}-{at} ", WORDS[hash as usize % WORDS.len()])
}
