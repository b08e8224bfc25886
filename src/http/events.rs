//! Cuts a stream of server-sent events at event boundaries.

/// Largest event taken, in bytes.
const EVENT_LIMIT: usize = 256 << 10;

/// Bytes of a stream up to the last event boundary seen.
#[derive(Debug)]
pub struct EventSplitter {
    buf: Vec<u8>,
    count: u64,
    done: bool,
}

/// Last event of a model engine's stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// An event that does not end within [`EVENT_LIMIT`].
#[derive(Debug, thiserror::Error)]
#[error("The backend server sent an event over {EVENT_LIMIT} bytes; let it send smaller ones.")]
pub struct EventTooLarge;

impl EventSplitter {
    /// A stream of which the caller has `count` events.
    pub fn new(count: u64) -> Self {
        Self { buf: Vec::new(), count, done: false }
    }

    /// Adds bytes; gives the whole events at hand and how many there are since the beginning.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<(Vec<u8>, u64)>, EventTooLarge> {
        let from = self.buf.len().saturating_sub(1);
        self.buf.extend_from_slice(data);
        let ends = self.buf[from..].windows(2).enumerate().filter(|(_, pair)| pair == b"\n\n");
        let (mut last, mut found) = (0, 0);
        for (at, _) in ends {
            last = from + at + 2;
            found += 1;
        }
        match found {
            0 if self.buf.len() > EVENT_LIMIT => Err(EventTooLarge),
            0 => Ok(None),
            _ => {
                let rest = self.buf.split_off(last);
                self.count += found;
                self.done = self.buf.ends_with(DONE);
                Ok(Some((std::mem::replace(&mut self.buf, rest), self.count)))
            }
        }
    }

    /// Identity of the last event in `whole`, a run of whole events; `None` if none has one.
    pub fn last_id(whole: &[u8]) -> Option<&str> {
        let lines = whole.rsplit(|byte| *byte == b'\n');
        let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
        std::str::from_utf8(id).ok().map(str::trim)
    }

    /// Whether the last whole event says that the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.done
    }

    /// Whether the stream ended at an event boundary.
    pub fn at_event_boundary(&self) -> bool {
        self.buf.is_empty()
    }
}
