//! Splits a stream of server-sent events at event boundaries.

use hyper::header;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Returns whether an answer with `headers` has a stream of events as its body.
pub fn is_event_stream(headers: &hyper::HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).map(header::HeaderValue::as_bytes);
    let start = kind.and_then(|kind| kind.get(..EVENT_STREAM.len()));
    start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM.as_bytes()))
}

/// Splits the bytes of one stream into runs of complete events, and counts the events.
#[derive(Debug)]
pub struct EventSplitter {
    buf: Vec<u8>,
    count: u64,
    complete: bool,
}

/// The last event of a model engine's stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The error for an event that does not end within `MAX_EVENT_BYTES`.
#[derive(Debug, thiserror::Error)]
#[error("The backend server sent an event over {MAX_EVENT_BYTES} bytes; let it send smaller ones.")]
pub struct EventTooLarge;

impl EventSplitter {
    /// Creates a splitter for a stream of which the caller already has `count` events.
    pub fn new(count: u64) -> Self {
        Self { buf: Vec::new(), count, complete: false }
    }

    /// Adds bytes of the stream.
    ///
    /// Returns the events that are now complete, if any, and the number of complete events since
    /// the beginning of the stream.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<(Vec<u8>, u64)>, EventTooLarge> {
        let search_start = self.buf.len().saturating_sub(1);
        self.buf.extend_from_slice(data);
        let ends =
            self.buf[search_start..].windows(2).enumerate().filter(|(_, pair)| pair == b"\n\n");
        let (mut last_end, mut found) = (0, 0);
        for (offset, _) in ends {
            last_end = search_start + offset + 2;
            found += 1;
        }
        match found {
            0 if self.buf.len() > MAX_EVENT_BYTES => Err(EventTooLarge),
            0 => Ok(None),
            _ => {
                let rest = self.buf.split_off(last_end);
                self.count += found;
                self.complete = self.buf.ends_with(DONE_EVENT);
                Ok(Some((std::mem::replace(&mut self.buf, rest), self.count)))
            }
        }
    }

    /// Id of the last event that has one in `events`, a run of complete events; `None` if none
    /// has.
    pub fn last_id(events: &[u8]) -> Option<&str> {
        let lines = events.rsplit(|byte| *byte == b'\n');
        let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
        std::str::from_utf8(id).ok().map(str::trim)
    }

    /// Returns the id of each event in `events`, a run of complete events, without comments, which
    /// are no events.
    pub fn ids(mut events: &[u8]) -> impl Iterator<Item = Option<&str>> {
        let next_event = move || {
            let end = events.windows(2).position(|pair| pair == b"\n\n")? + 2;
            let (event, rest) = events.split_at(end);
            events = rest;
            Some(event)
        };
        let is_event = |event: &&[u8]| {
            event.split(|byte| *byte == b'\n').any(|line| !line.is_empty() && line[0] != b':')
        };
        std::iter::from_fn(next_event).filter(is_event).map(Self::last_id)
    }

    /// Number of bytes of the event that is not complete yet.
    pub fn incomplete_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Whether the last complete event marks the end of a model engine's stream.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the bytes added so far end at an event boundary.
    pub fn at_event_boundary(&self) -> bool {
        self.buf.is_empty()
    }
}
