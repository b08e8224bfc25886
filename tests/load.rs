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
const PAUSE: time::Duration = time::Duration::from_millis(20);

/// Callers under way.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<Vec<Sent>>>,
}

/// One request and what came of it.
pub struct Sent {
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
    pub fn streams(callers: usize, entries: &[net::SocketAddr], tokens: u64) -> Self {
        let entries = entries.to_vec();
        Self::start(callers, move |name| {
            let ready = |at: &&net::SocketAddr| processes::get(**at, "/readyz", &[]).status == 200;
            let skip = name.len() % entries.len();
            let at = entries.iter().cycle().skip(skip).take(entries.len()).find(ready);
            processes::complete(*at.unwrap_or(&entries[0]), "/writer", name, tokens)
        })
    }

    /// Stops the callers; gives all that was sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        self.callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    }
}

fn run(caller: usize, stop: &AtomicBool, send: &impl Fn(&str) -> Answer) -> Vec<Sent> {
    let mut sent = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let name = format!("call-{caller}-{}", sent.len());
        let answer = send(&name);
        if !answer.whole() {
            thread::sleep(PAUSE);
        }
        sent.push(Sent { name, answer });
    }
    sent
}

/// Panics unless every answer is whole and right, or an honest refusal.
pub fn none_lost(sent: &[Sent], right: impl Fn(&str) -> Vec<u8>) {
    assert!(sent.iter().any(|sent| sent.answer.whole()), "nothing was answered");
    for Sent { name, answer } in sent {
        match answer.whole() {
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
