//! Callers that stream and post until they are stopped.

use std::{
    net,
    sync::{Arc, atomic},
    thread, time,
};

use super::call;

/// Tokens of a streamed answer.
const TOKENS: u64 = 40;
/// Most attempts at a refused request; each waits for the answer's Retry-After.
const TRIES: usize = 30;
/// Pause of a caller of the plain service between two postings.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// What a request is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum What {
    /// A streamed completion.
    Stream,
    /// A posting, which may run only once.
    Posting,
}

/// A request's end.
pub struct Sent {
    /// Stream or posting.
    pub what: What,
    /// Prompt or idempotency key; each request has its own.
    pub name: String,
    /// Refusals that said "did not run" and when to come back, before the answer.
    pub refusals: usize,
    /// The body, or why there is no whole answer.
    pub answer: Result<Vec<u8>, String>,
}

/// Callers under way.
pub struct Load {
    stop: Arc<atomic::AtomicBool>,
    callers: Vec<thread::JoinHandle<Vec<Sent>>>,
}

impl Load {
    /// Starts `streams` and `postings` callers, spread over `entries`.
    pub fn start(entries: &[net::SocketAddr], streams: usize, postings: usize) -> Self {
        let stop = Arc::new(atomic::AtomicBool::new(false));
        let whats = [vec![What::Stream; streams], vec![What::Posting; postings]].concat();
        let callers = whats
            .into_iter()
            .enumerate()
            .map(|(caller, what)| {
                let (at, stop) = (entries[caller % entries.len()], stop.clone());
                thread::spawn(move || run(caller, what, at, &stop))
            })
            .collect();
        Self { stop, callers }
    }

    /// Lets each caller end its request; gives all that was sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        self.callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect()
    }
}

/// Streams the completion of `prompt` at `root` of `at`.
pub fn stream(at: net::SocketAddr, root: &str, prompt: &str) -> anyhow::Result<call::Answer> {
    let body = serde_json::json!({"prompt": prompt, "stream": true, "max_tokens": TOKENS});
    let headers = [("Workspace", "vidzeme-dairy")];
    call::post(at, &format!("{root}/v1/completions"), &headers, &body.to_string())
}

fn posting(at: net::SocketAddr, key: &str) -> anyhow::Result<call::Answer> {
    let headers = [("Workspace", "office-clerks"), ("Idempotency-Key", key)];
    call::post(at, "/ledger-app/payments", &headers, &format!("pay {key}"))
}

fn run(caller: usize, what: What, at: net::SocketAddr, stop: &atomic::AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let name = format!("request-{caller}-{}", sent.len());
        sent.push(answered(what, at, name));
        if what == What::Posting {
            thread::sleep(PAUSE);
        }
    }
    sent
}

/// Sends until the answer is something other than a refusal with "did not run".
fn answered(what: What, at: net::SocketAddr, name: String) -> Sent {
    let mut refusals = 0;
    loop {
        let res = match what {
            What::Stream => stream(at, "/sheet-writer", &name),
            What::Posting => posting(at, &name),
        };
        let answer = match res {
            Ok(call::Answer { ran, retry_after: Some(after), .. })
                if ran == "no" && refusals < TRIES =>
            {
                refusals += 1;
                thread::sleep(time::Duration::from_secs(after));
                continue;
            }
            Ok(call::Answer { status: 200, ended: true, body, .. }) => Ok(body),
            Ok(call::Answer { status, ran, ended, body, .. }) => {
                let text = String::from_utf8_lossy(&body);
                Err(format!("status {status}, ran {ran}, ended {ended}: {text}"))
            }
            Err(err) => Err(err.to_string()),
        };
        return Sent { what, name, refusals, answer };
    }
}
