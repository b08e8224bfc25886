//! Answer text of the engine. It depends only on the prompt, so all engines give the same answer.

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
struct Token {
    choices: [Choice; 1],
}

/// Body of an answer that is not streamed.
#[derive(Serialize)]
pub struct WholeAnswer {
    choices: [Choice; 1],
    completion_tokens: u64,
}

/// Returns the server-sent event of token number `at`; tokens are counted from 1.
pub fn token_event(prompt: &str, at: u64) -> String {
    let token = Token { choices: [Choice { index: 0, text: word(prompt, at) }] };
    let json = serde_json::to_string(&token).expect("plain data serializes");
    format!("id: {at}\ndata: {json}\n\n")
}

/// Returns the event that ends the stream, with the id `at`.
pub fn done_event(at: u64) -> String {
    format!("id: {at}\ndata: [DONE]\n\n")
}

/// Returns the answer of `tokens` tokens in one piece.
pub fn whole_answer(prompt: &str, tokens: u64) -> WholeAnswer {
    let text = (1..=tokens).map(|at| word(prompt, at)).collect();
    WholeAnswer { choices: [Choice { index: 0, text }], completion_tokens: tokens }
}

fn word(prompt: &str, at: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), at);
    format!("{}-{at} ", WORDS[hash as usize % WORDS.len()])
}
