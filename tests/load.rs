//! Callers that keep sending until they are stopped.

use std::{
    net,
    sync::{
        Arc,
        atomic::{self, AtomicBool},
    },
    thread, time,
};

use crate::processes::{self, Answer};

/// Pause of a caller that was refused.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Callers under way.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

/// One request and what came of it.
pub struct SentRequest {
    /// The prompt or key.
    pub name: String,
    /// What the caller received.
    pub answer: Answer,
}

impl Load {
    /// Starts `callers` threads that call `send` with a name of their own each time.
    pub fn start<F>(callers: usize, send: F) -> Self
    where
        F: Fn(&str) -> Answer + Send + Sync + 'static,
    {
        let stop = Arc::new(AtomicBool::new(false));
        let send = Arc::new(send);
        let callers = (0..callers)
            .map(|caller| {
                let (stop, send) = (stop.clone(), send.clone());
                thread::spawn(move || run(caller, &stop, &*send))
            })
            .collect();
        Self { stop, callers }
    }

    /// Callers that stream `tokens` tokens at whichever entry is ready, as a balancer would.
    pub fn start_streams(callers: usize, entries: &[net::SocketAddr], tokens: u64) -> Self {
        let entries = entries.to_vec();
        Self::start(callers, move |name| {
            let ready = |at: &&net::SocketAddr| processes::get(**at, "/readyz", &[]).status == 200;
            let skip = name.len() % entries.len();
            let at = entries.iter().cycle().skip(skip).take(entries.len()).find(ready);
            processes::stream_completion(*at.unwrap_or(&entries[0]), "/writer", name, tokens)
        })
    }

    /// Stops the callers; gives all that was sent.
    pub fn stop(self) -> Vec<SentRequest> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        self.callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    }
}

fn run(caller: usize, stop: &AtomicBool, send: &impl Fn(&str) -> Answer) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let name = format!("call-{caller}-{}", sent.len());
        let answer = send(&name);
        if !answer.is_complete() {
            thread::sleep(REFUSED_PAUSE);
        }
        sent.push(SentRequest { name, answer });
    }
    sent
}

/// Panics unless every answer is whole and right, or an honest refusal.
pub fn assert_none_lost(sent: &[SentRequest], right: impl Fn(&str) -> Vec<u8>) {
    assert!(sent.iter().any(|sent| sent.answer.is_complete()), "nothing was answered");
    for SentRequest { name, answer } in sent {
        match answer.is_complete() {
            true => assert_eq!(answer.body, right(name), "{name}"),
            false => assert_refused(name, answer),
        }
    }
}

/// Panics unless the answer is a refusal that says it did not run and when to come back.
pub fn assert_refused(name: &str, answer: &Answer) {
    let refused = answer.ran == "no" && answer.retry_after.is_some();
    assert!(refused, "{name}: {answer:?}");
}
