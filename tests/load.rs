//! Callers that send requests until they are stopped.

use std::{
    net,
    sync::{
        Arc,
        atomic::{self, AtomicBool},
    },
    thread, time,
};

use crate::processes::{self, Answer};

/// Pause of a caller after a request that was not answered whole.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

/// One request and its answer.
pub struct SentRequest {
    /// Prompt or idempotency key of the request.
    pub name: String,
    /// Answer as the caller received it.
    pub answer: Answer,
}

impl Load {
    /// Starts `callers` threads that call `send` in a loop, each time with a new name.
    pub fn start<F>(callers: usize, send: F) -> Self
    where
        F: Fn(&str) -> Answer + Send + Sync + 'static,
    {
        let stop = Arc::new(AtomicBool::new(false));
        let send = Arc::new(send);
        let callers = (0..callers)
            .map(|caller| {
                let (stop, send) = (stop.clone(), send.clone());
                thread::spawn(move || run_caller(caller, &stop, &*send))
            })
            .collect();
        Self { stop, callers }
    }

    /// Starts callers that stream completions of `tokens` tokens from any entry that is ready, as
    /// behind a balancer.
    pub fn start_streams(callers: usize, entries: &[net::SocketAddr], tokens: u64) -> Self {
        let entries = entries.to_vec();
        Self::start(callers, move |name| {
            let is_ready = |address: &&net::SocketAddr| {
                processes::get(**address, "/readyz", &[]).status == 200
            };
            let skip = name.len() % entries.len();
            let address = entries.iter().cycle().skip(skip).take(entries.len()).find(is_ready);
            processes::stream_completion(*address.unwrap_or(&entries[0]), "/writer", name, tokens)
        })
    }

    /// Stops the callers and returns all requests that they sent.
    pub fn stop(self) -> Vec<SentRequest> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        self.callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    }
}

fn run_caller(
    caller: usize,
    stop: &AtomicBool,
    send: &impl Fn(&str) -> Answer,
) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let name = format!("call-{caller}-{}", sent.len());
        let answer = send(&name);
        if !answer.is_complete() {
            thread::sleep(RETRY_PAUSE);
        }
        sent.push(SentRequest { name, answer });
    }
    sent
}

/// Panics unless every answer is complete and equal to the expected one, or a refusal as
/// [`assert_refused`] checks it, and at least one is complete.
pub fn assert_none_lost(sent: &[SentRequest], expected_answer: impl Fn(&str) -> Vec<u8>) {
    assert!(sent.iter().any(|sent| sent.answer.is_complete()), "no request was answered");
    for SentRequest { name, answer } in sent {
        match answer.is_complete() {
            true => assert_eq!(answer.body, expected_answer(name), "{name}"),
            false => assert_refused(name, answer),
        }
    }
}

/// Panics unless the answer is a refusal that reports that the request did not run and when to
/// retry.
pub fn assert_refused(name: &str, answer: &Answer) {
    let is_refusal = answer.ran == "no" && answer.retry_after.is_some();
    assert!(is_refusal, "{name}: {answer:?}");
}
