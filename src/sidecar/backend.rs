//! HTTP client of the backend server. The methods that send requests block.

use std::{io::Read, sync::Arc, sync::atomic, time};

use tokio::sync::mpsc;
use xxhash_rust::xxh3;

use crate::http::{
    events::{self, EventSplitter},
    is_final,
};
use crate::{config, name, settings, wire};

/// Longest time to open a connection to the backend server.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Longest time for the backend server to answer a cancellation.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Size of the buffer for reading a stream, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// Largest JSON document that is read, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 64 << 10;

/// Header with the request's identity.
const ID_HEADER: &str = "x-request-id";
/// Header with the number of the event after which a stream is to be resumed.
const RESUME_HEADER: &str = "last-event-id";

/// HTTP client of one backend server. Repeatable calls use pooled connections; each other call
/// opens its own.
#[derive(Clone, Debug)]
pub struct Backend {
    server: name::Server,
    url: String,
    pooled: ureq::Agent,
    unpooled: ureq::Agent,
}

/// End of an exchange with the backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeEnd {
    /// The complete answer was forwarded.
    Complete {
        /// Length of the body in bytes, including what earlier attempts sent.
        total: u64,
        /// xxh3 checksum of the bytes sent by this attempt.
        checksum: u64,
    },
    /// The exchange failed before the answer was complete.
    Failed {
        /// Whether the request ran, as far as is known.
        ran: wire::Ran,
        /// Description of the failure.
        problem: String,
    },
    /// The call was cancelled, or the receiver of the answer is gone.
    Cancelled,
}

impl Backend {
    /// Creates a client of the backend server in `settings` with up to `max_idle` idle connections.
    pub fn new(settings: &settings::Backend, max_idle: usize) -> Self {
        let agent = |max_idle| {
            ureq::Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .proxy(None)
                .timeout_connect(Some(CONNECT_TIMEOUT))
                .max_idle_connections_per_host(max_idle)
                .max_idle_connections(max_idle)
                .build()
                .new_agent()
        };
        let server = settings.server.clone();
        Self { server, url: settings.url.clone(), pooled: agent(max_idle), unpooled: agent(0) }
    }

    /// Returns the name of the backend server.
    pub fn server(&self) -> &name::Server {
        &self.server
    }

    /// Reads a small JSON document at `path`; `None` if the answer has another status or does not
    /// parse.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout`.
    pub fn read_json<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout: time::Duration,
    ) -> Result<Option<T>, ureq::Error> {
        let url = format!("{}{path}", self.url);
        let req = self.pooled.get(url).config().timeout_global(Some(timeout)).build();
        let mut res = req.call()?;
        match res.status().as_u16() {
            200 => Ok(res.body_mut().with_config().limit(MAX_DOCUMENT_BYTES).read_json().ok()),
            _ => Ok(None),
        }
    }

    /// Asks the backend server to cancel the request `id`.
    pub fn cancel_request(&self, id: wire::RequestId) {
        let url = format!("{}/v1/requests/{id}", self.url);
        let req = self.pooled.delete(url).config().timeout_global(Some(CANCEL_TIMEOUT)).build();
        if let Err(err) = req.call() {
            log::debug!(req:% = id; "request could not be cancelled at the backend server: {err}");
        }
    }

    /// Sends `call` and forwards the answer through `tx` as frames, until its end. Does not send
    /// the call if `cancelled` is already set.
    pub fn exchange(
        &self,
        call: &wire::Call,
        deadline: time::Instant,
        cancelled: &Arc<atomic::AtomicBool>,
        tx: &mpsc::Sender<wire::Reply>,
    ) -> ExchangeEnd {
        if cancelled.load(atomic::Ordering::Acquire) {
            return ExchangeEnd::Cancelled;
        }
        let time_left = deadline.saturating_duration_since(time::Instant::now());
        let res = match self.send(call, time_left) {
            Ok(res) if !is_final(res.status()) => {
                let problem = format!("{} is no status of a final answer", res.status().as_u16());
                return failed(wire::Ran::Unknown, &problem);
            }
            Ok(res) => res,
            Err(err) => return failed(ran_after_error(&err), &err),
        };
        let head = wire::Reply::Head { status: res.status().as_u16(), headers: wire_headers(&res) };
        match tx.blocking_send(head) {
            Ok(()) if events::is_event_stream(res.headers()) => forward_stream(call, res, tx),
            Ok(()) => forward_body(call, res, tx),
            Err(_) => ExchangeEnd::Cancelled,
        }
    }

    fn send(
        &self,
        call: &wire::Call,
        time_left: time::Duration,
    ) -> Result<http::Response<ureq::Body>, ureq::Error> {
        let agent = if call.repeatable { &self.pooled } else { &self.unpooled };
        let mut req = http::Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.url, call.path))
            .header(ID_HEADER, call.id.to_string());
        let set_here = [ID_HEADER, RESUME_HEADER];
        for header in call.headers.iter().filter(|header| !set_here.contains(&header.name.as_str()))
        {
            req = req.header(&header.name, &header.value);
        }
        if let Some(event) = last_event_id(call) {
            req = req.header(RESUME_HEADER, event);
        }
        let req = agent
            .configure_request(req.body(call.body.clone())?)
            .timeout_global(Some(time_left))
            .allow_non_standard_methods(true)
            .build();
        agent.run(req)
    }
}

/// Returns the number of the event after which the stream begins: the one named by the caller, plus
/// the number of events that the caller has received since.
fn last_event_id(call: &wire::Call) -> Option<String> {
    let named = call.headers.iter().find(|header| header.name == RESUME_HEADER);
    let named_event = named.and_then(|header| header.value.parse::<u64>().ok());
    match (call.resume, named) {
        (Some(resume), _) => {
            Some(named_event.unwrap_or(0).saturating_add(resume.events).to_string())
        }
        (None, named) => named.map(|header| header.value.clone()),
    }
}

/// Returns whether the request ran, as far as `err` shows: it did not run if no connection was
/// made.
fn ran_after_error(err: &ureq::Error) -> wire::Ran {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect) => wire::Ran::No,
        ureq::Error::Io(err) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            wire::Ran::No
        }
        _ => wire::Ran::Unknown,
    }
}

fn failed(ran: wire::Ran, problem: &impl ToString) -> ExchangeEnd {
    ExchangeEnd::Failed { ran, problem: problem.to_string() }
}

fn wire_headers(res: &http::Response<ureq::Body>) -> Vec<wire::Header> {
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        let value = value.to_str().ok()?.to_string();
        Some(wire::Header { name: name.as_str().to_string(), value })
    };
    res.headers().iter().filter_map(header).collect()
}

/// Forwards a stream in pieces of complete events, so that another server can resume it after any
/// piece.
fn forward_stream(
    call: &wire::Call,
    res: http::Response<ureq::Body>,
    tx: &mpsc::Sender<wire::Reply>,
) -> ExchangeEnd {
    let resume = call.resume.unwrap_or(wire::Resume { events: 0, bytes: 0 });
    let mut events = EventSplitter::new(resume.events);
    let mut offset = resume.bytes;
    let mut hash = xxh3::Xxh3::new();
    let mut reader = res.into_body().into_reader();
    let mut buf = vec![0; READ_BUFFER_BYTES];
    loop {
        let complete_events = match reader.read(&mut buf) {
            Ok(0)
                if events.at_event_boundary()
                    && (events.is_complete() || call.kind == config::Kind::Plain) =>
            {
                return ExchangeEnd::Complete { total: offset, checksum: hash.digest() };
            }
            Ok(0) => return failed(wire::Ran::Yes, &"the stream ended before its last event"),
            Ok(len) => events.push(&buf[..len]),
            Err(err) => return failed(wire::Ran::Yes, &err),
        };
        let (data, count) = match complete_events {
            Ok(Some(complete_events)) => complete_events,
            Ok(None) => continue,
            Err(err) => return failed(wire::Ran::Yes, &err),
        };
        hash.update(&data);
        let piece_offset = offset;
        offset += data.len() as u64;
        let piece = wire::Reply::Piece { id: call.id, offset: piece_offset, events: count, data };
        if tx.blocking_send(piece).is_err() {
            return ExchangeEnd::Cancelled;
        }
    }
}

/// Forwards an answer that is not a stream once it has been read completely.
fn forward_body(
    call: &wire::Call,
    res: http::Response<ureq::Body>,
    tx: &mpsc::Sender<wire::Reply>,
) -> ExchangeEnd {
    let body = res.into_body().into_with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
    let data = match body {
        Ok(data) => data,
        Err(err) => return failed(wire::Ran::Unknown, &err),
    };
    let total = data.len() as u64;
    let checksum = xxh3::xxh3_64(&data);
    for (index, part) in data.chunks(MAX_PIECE_BYTES).enumerate() {
        let offset = (index * MAX_PIECE_BYTES) as u64;
        let piece = wire::Reply::Piece { id: call.id, offset, events: 0, data: part.to_vec() };
        if tx.blocking_send(piece).is_err() {
            return ExchangeEnd::Cancelled;
        }
    }
    ExchangeEnd::Complete { total, checksum }
}

/// Largest piece of an answer that is not a stream, in bytes.
const MAX_PIECE_BYTES: usize = 256 << 10;
