//! Clients that stream completions and post payments until they are stopped.

use std::{
    net,
    sync::{Arc, atomic},
    thread, time,
};

use super::call;

/// Number of tokens of a streamed answer.
const TOKENS: u64 = 40;
/// Maximum number of retries of a refused request; each waits for the time in Retry-After.
const MAX_RETRIES: usize = 30;
/// Pause of a client between two payments.
const PAYMENT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Streamed completion.
    Stream,
    /// Payment, which may run at most once.
    Payment,
}

/// Request that has ended, with its outcome.
pub struct SentRequest {
    /// Kind of the request.
    pub kind: Kind,
    /// Prompt or idempotency key, unique for each request.
    pub name: String,
    /// Number of refusals with `Ran: no` and Retry-After before the answer.
    pub refusals: usize,
    /// Body of the answer, or the reason why there is no complete answer.
    pub answer: Result<Vec<u8>, String>,
}

/// Running clients.
pub struct Load {
    stop: Arc<atomic::AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

impl Load {
    /// Starts `streams` clients that stream and `payments` clients that post payments, distributed
    /// over `entries`.
    pub fn start(entries: &[net::SocketAddr], streams: usize, payments: usize) -> Self {
        let stop = Arc::new(atomic::AtomicBool::new(false));
        let kinds = [vec![Kind::Stream; streams], vec![Kind::Payment; payments]].concat();
        let clients = kinds
            .into_iter()
            .enumerate()
            .map(|(client, kind)| {
                let (at, stop) = (entries[client % entries.len()], stop.clone());
                thread::spawn(move || run_client(client, kind, at, &stop))
            })
            .collect();
        Self { stop, clients }
    }

    /// Stops the clients after their current requests; returns all requests.
    pub fn stop(self) -> Vec<SentRequest> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        self.clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect()
    }
}

/// Streams the completion of `prompt` from the address `at`; `root` is the path prefix of the
/// service.
pub fn stream_completion(
    at: net::SocketAddr,
    root: &str,
    prompt: &str,
) -> anyhow::Result<call::Answer> {
    let body = serde_json::json!({"prompt": prompt, "stream": true, "max_tokens": TOKENS});
    let headers = [("Workspace", "vidzeme-dairy")];
    call::post(at, &format!("{root}/v1/completions"), &headers, &body.to_string())
}

fn post_payment(at: net::SocketAddr, key: &str) -> anyhow::Result<call::Answer> {
    let headers = [("Workspace", "office-clerks"), ("Idempotency-Key", key)];
    call::post(at, "/ledger-app/payments", &headers, &format!("pay {key}"))
}

fn run_client(
    client: usize,
    kind: Kind,
    at: net::SocketAddr,
    stop: &atomic::AtomicBool,
) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let name = format!("request-{client}-{}", sent.len());
        sent.push(send_until_answered(kind, at, name));
        if kind == Kind::Payment {
            thread::sleep(PAYMENT_PAUSE);
        }
    }
    sent
}

/// Sends a request and retries it while it is refused without having run.
fn send_until_answered(kind: Kind, at: net::SocketAddr, name: String) -> SentRequest {
    let mut refusals = 0;
    loop {
        let res = match kind {
            Kind::Stream => stream_completion(at, "/sheet-writer", &name),
            Kind::Payment => post_payment(at, &name),
        };
        let answer = match res {
            Ok(call::Answer { ran, retry_after: Some(after), .. })
                if ran == "no" && refusals < MAX_RETRIES =>
            {
                refusals += 1;
                thread::sleep(time::Duration::from_secs(after));
                continue;
            }
            Ok(call::Answer { status: 200, complete: true, body, .. }) => Ok(body),
            Ok(call::Answer { status, ran, complete, body, .. }) => {
                let text = String::from_utf8_lossy(&body);
                Err(format!("status {status}, ran {ran}, complete {complete}: {text}"))
            }
            Err(err) => Err(err.to_string()),
        };
        return SentRequest { kind, name, refusals, answer };
    }
}
