//! The whole-answer check: what a caller may be given of the frames of several attempts.
//!
//! Pieces may come late, twice, out of order, from an earlier attempt or for
//! another request. The caller gets bytes in order, each once, and the answer
//! counts as whole only when the total and the checksum of the attempt that
//! ended it agree with what was received. A piece with `events` above 0 ends
//! at the end of an event.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::wire;

/// Most bytes held back because an earlier piece is missing.
pub const HELD_BYTES: usize = 1 << 20;

/// What one frame led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// These bytes are next for the caller; may be empty.
    Pass(Vec<u8>),
    /// These bytes are the last; the answer is whole.
    Whole(Vec<u8>),
    /// What this attempt sends cannot be made whole.
    Spoilt(Problem),
}

/// Why an attempt cannot be made whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Problem {
    /// More bytes came than the total.
    Total,
    /// The checksum does not match the bytes.
    Checksum,
    /// A restarted body differs from what the caller already has.
    Differs,
    /// The stream ended or a piece is missing for good.
    Missing,
    /// Too many bytes came before a missing piece.
    Overrun,
}

impl Problem {
    /// Whether a further attempt can still make the answer whole; if not, the
    /// caller may have wrong bytes and must see an error.
    pub fn resumable(self) -> bool {
        matches!(self, Self::Missing | Self::Overrun)
    }
}

struct Held {
    data: Vec<u8>,
    events: u64,
}

struct Ended {
    total: u64,
    checksum: u64,
}

/// The state of one request's answer over all its attempts.
pub struct Collect {
    id: wire::RequestId,
    attempt: u32,
    /// Bytes and events that the caller has.
    bytes: u64,
    events: u64,
    /// Hash of all bytes that the caller has.
    passed: xxh3::Xxh3,
    /// Next offset of this attempt, and the hash of what it sent.
    cursor: u64,
    sent: xxh3::Xxh3,
    held: BTreeMap<u64, Held>,
    held_bytes: usize,
    end: Option<Ended>,
    whole: bool,
}

impl Collect {
    /// Nothing received yet; `attempt` is the first attempt.
    pub fn new(id: wire::RequestId, attempt: u32) -> Self {
        Self {
            id,
            attempt,
            bytes: 0,
            events: 0,
            passed: xxh3::Xxh3::new(),
            cursor: 0,
            sent: xxh3::Xxh3::new(),
            held: BTreeMap::new(),
            held_bytes: 0,
            end: None,
            whole: false,
        }
    }

    /// Goes over to a further attempt that starts at [`Collect::resume`].
    /// Frames of earlier attempts are ignored from now on.
    pub fn next(&mut self, attempt: u32) {
        self.begin(attempt, self.bytes);
    }

    /// Goes over to a further attempt that sends the body from its first byte.
    /// It must repeat what the caller already has.
    pub fn restart(&mut self, attempt: u32) {
        self.begin(attempt, 0);
    }

    /// Where a further attempt goes on; `None` if the caller has no bytes yet
    /// or the body has no events to go on from.
    pub fn resume(&self) -> Option<wire::Resume> {
        match self.events {
            0 => None,
            events => Some(wire::Resume { events, bytes: self.bytes }),
        }
    }

    /// Whether the caller has the whole answer.
    pub fn whole(&self) -> bool {
        self.whole
    }

    /// Events that the caller has.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Bytes that the caller has.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes a frame that came on the stream of `attempt`.
    pub fn take(&mut self, attempt: u32, reply: wire::Reply) -> Step {
        match reply {
            _ if attempt != self.attempt || self.whole => Step::Pass(Vec::new()),
            wire::Reply::Piece { id, offset, events, data } if id == self.id => {
                self.piece(offset, Held { data, events })
            }
            wire::Reply::End { id, total, checksum, .. } if id == self.id => {
                self.end = Some(Ended { total, checksum });
                self.settle(Vec::new())
            }
            _ => Step::Pass(Vec::new()),
        }
    }

    /// Notes that the stream of `attempt` has ended and no frame will come.
    pub fn close(&mut self, attempt: u32) -> Step {
        match () {
            () if attempt != self.attempt || self.whole => Step::Pass(Vec::new()),
            () => Step::Spoilt(Problem::Missing),
        }
    }

    fn begin(&mut self, attempt: u32, cursor: u64) {
        self.attempt = attempt;
        self.cursor = cursor;
        self.sent = xxh3::Xxh3::new();
        self.held.clear();
        self.held_bytes = 0;
        self.end = None;
    }

    fn piece(&mut self, offset: u64, piece: Held) -> Step {
        if offset > self.cursor {
            return self.hold(offset, piece);
        }
        let mut out = Vec::new();
        if let Err(problem) = self.append(offset, &piece, &mut out) {
            return Step::Spoilt(problem);
        }
        while let Some(entry) = self.held.first_entry().filter(|e| *e.key() <= self.cursor) {
            let (offset, piece) = entry.remove_entry();
            self.held_bytes -= piece.data.len();
            if let Err(problem) = self.append(offset, &piece, &mut out) {
                return Step::Spoilt(problem);
            }
        }
        self.settle(out)
    }

    fn hold(&mut self, offset: u64, piece: Held) -> Step {
        if self.held.get(&offset).is_none_or(|old| old.data.len() < piece.data.len()) {
            self.held_bytes += piece.data.len();
            let old = self.held.insert(offset, piece);
            self.held_bytes -= old.map_or(0, |old| old.data.len());
        }
        match self.held_bytes {
            held if held > HELD_BYTES => Step::Spoilt(Problem::Overrun),
            _ => Step::Pass(Vec::new()),
        }
    }

    /// Takes the part of a piece that this attempt had not sent; passes on what the caller lacks.
    fn append(&mut self, offset: u64, piece: &Held, out: &mut Vec<u8>) -> Result<(), Problem> {
        let known = usize::try_from(self.cursor - offset).unwrap_or(usize::MAX);
        let Some(fresh) = piece.data.get(known..).filter(|fresh| !fresh.is_empty()) else {
            return Ok(());
        };
        let replayed = usize::try_from(self.bytes - self.cursor).unwrap_or(usize::MAX);
        let (old, new) = fresh.split_at(replayed.min(fresh.len()));
        self.sent.update(old);
        self.cursor += old.len() as u64;
        if !old.is_empty()
            && self.cursor == self.bytes
            && self.sent.digest() != self.passed.digest()
        {
            return Err(Problem::Differs);
        }
        self.sent.update(new);
        self.passed.update(new);
        self.cursor += new.len() as u64;
        self.bytes += new.len() as u64;
        if !new.is_empty() {
            self.events = self.events.max(piece.events);
        }
        out.extend_from_slice(new);
        Ok(())
    }

    fn settle(&mut self, out: Vec<u8>) -> Step {
        match &self.end {
            None => Step::Pass(out),
            Some(end) if end.total < self.bytes => Step::Spoilt(Problem::Total),
            Some(end) if end.total > self.cursor => Step::Pass(out),
            Some(end) if end.checksum != self.sent.digest() => Step::Spoilt(Problem::Checksum),
            Some(_) => {
                self.whole = true;
                Step::Whole(out)
            }
        }
    }
}
