//! Assembles one answer from the frames of several attempts and checks that it is complete.
//!
//! Pieces may arrive late, twice, out of order, from an earlier attempt or for
//! another request. The caller receives the bytes in order and each byte once.
//! The answer is complete only if the total and the checksum in the end frame
//! of the current attempt match the received bytes. A piece with `events`
//! above 0 ends at the boundary of an event.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::wire;

/// Maximum number of bytes buffered while an earlier piece is missing.
pub const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Result of processing one frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The next bytes for the caller; may be empty.
    Forward(Vec<u8>),
    /// The last bytes for the caller; the answer is complete.
    Complete(Vec<u8>),
    /// The current attempt cannot complete the answer.
    Invalid(Problem),
}

/// Reason why an attempt cannot complete the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Problem {
    /// More bytes were received than the total in the end frame.
    ExcessBytes,
    /// The checksum in the end frame does not match the received bytes.
    ChecksumMismatch,
    /// A restarted body differs from the bytes that the caller already has.
    ReplayMismatch,
    /// The stream ended before the answer was complete.
    MissingBytes,
    /// More than [`MAX_BUFFERED_BYTES`] arrived after a missing piece.
    BufferLimit,
}

impl Problem {
    /// Whether another attempt can still complete the answer. If not, the caller
    /// may have received wrong bytes and must receive an error.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::MissingBytes | Self::BufferLimit)
    }
}

struct BufferedPiece {
    data: Vec<u8>,
    events: u64,
}

struct End {
    total: u64,
    checksum: u64,
}

/// State of the answer to one request over all its attempts.
pub struct Collector {
    id: wire::RequestId,
    attempt: u32,
    /// Number of bytes and events that the caller has received.
    delivered_bytes: u64,
    delivered_events: u64,
    /// Hash of all bytes that the caller has received.
    delivered_hash: xxh3::Xxh3,
    /// Offset of the next byte of the current attempt, and the hash of the bytes it has sent.
    next_offset: u64,
    attempt_hash: xxh3::Xxh3,
    buffered: BTreeMap<u64, BufferedPiece>,
    buffered_bytes: usize,
    end: Option<End>,
    complete: bool,
}

impl Collector {
    /// Creates an empty answer to request `id`; `attempt` is the number of the first attempt.
    pub fn new(id: wire::RequestId, attempt: u32) -> Self {
        Self {
            id,
            attempt,
            delivered_bytes: 0,
            delivered_events: 0,
            delivered_hash: xxh3::Xxh3::new(),
            next_offset: 0,
            attempt_hash: xxh3::Xxh3::new(),
            buffered: BTreeMap::new(),
            buffered_bytes: 0,
            end: None,
            complete: false,
        }
    }

    /// Switches to a new attempt that starts at [`Collector::resume_point`].
    /// Frames of earlier attempts are ignored from now on.
    pub fn continue_with(&mut self, attempt: u32) {
        self.start_attempt(attempt, self.delivered_bytes);
    }

    /// Switches to a new attempt that sends the body from its first byte.
    /// It must repeat the bytes that the caller already has.
    pub fn restart_with(&mut self, attempt: u32) {
        self.start_attempt(attempt, 0);
    }

    /// Returns the position from which another attempt can resume; `None` if the
    /// caller has no bytes yet or the body has no events to resume after.
    pub fn resume_point(&self) -> Option<wire::Resume> {
        match self.delivered_events {
            0 => None,
            events => Some(wire::Resume { events, bytes: self.delivered_bytes }),
        }
    }

    /// Whether the caller has received the complete answer.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the number of events that the caller has received.
    pub fn delivered_events(&self) -> u64 {
        self.delivered_events
    }

    /// Returns the number of bytes that the caller has received.
    pub fn delivered_bytes(&self) -> u64 {
        self.delivered_bytes
    }

    /// Processes a frame received on the stream of `attempt`.
    pub fn receive(&mut self, attempt: u32, reply: wire::Reply) -> Step {
        match reply {
            _ if attempt != self.attempt || self.complete => Step::Forward(Vec::new()),
            wire::Reply::Piece { id, offset, events, data } if id == self.id => {
                self.receive_piece(offset, BufferedPiece { data, events })
            }
            wire::Reply::End { id, total, checksum, .. } if id == self.id => {
                self.end = Some(End { total, checksum });
                self.check_end(Vec::new())
            }
            _ => Step::Forward(Vec::new()),
        }
    }

    /// Records that the stream of `attempt` has ended and no more frames will arrive.
    pub fn close_attempt(&mut self, attempt: u32) -> Step {
        match () {
            () if attempt != self.attempt || self.complete => Step::Forward(Vec::new()),
            () => Step::Invalid(Problem::MissingBytes),
        }
    }

    fn start_attempt(&mut self, attempt: u32, start: u64) {
        self.attempt = attempt;
        self.next_offset = start;
        self.attempt_hash = xxh3::Xxh3::new();
        self.buffered.clear();
        self.buffered_bytes = 0;
        self.end = None;
    }

    fn receive_piece(&mut self, offset: u64, piece: BufferedPiece) -> Step {
        if offset > self.next_offset {
            return self.buffer(offset, piece);
        }
        let mut out = Vec::new();
        if let Err(problem) = self.append(offset, &piece, &mut out) {
            return Step::Invalid(problem);
        }
        while let Some(entry) = self.buffered.first_entry().filter(|e| *e.key() <= self.next_offset)
        {
            let (offset, piece) = entry.remove_entry();
            self.buffered_bytes -= piece.data.len();
            if let Err(problem) = self.append(offset, &piece, &mut out) {
                return Step::Invalid(problem);
            }
        }
        self.check_end(out)
    }

    fn buffer(&mut self, offset: u64, piece: BufferedPiece) -> Step {
        if self.buffered.get(&offset).is_none_or(|old| old.data.len() < piece.data.len()) {
            self.buffered_bytes += piece.data.len();
            let old = self.buffered.insert(offset, piece);
            self.buffered_bytes -= old.map_or(0, |old| old.data.len());
        }
        match self.buffered_bytes {
            buffered if buffered > MAX_BUFFERED_BYTES => Step::Invalid(Problem::BufferLimit),
            _ => Step::Forward(Vec::new()),
        }
    }

    /// Consumes the part of a piece that is new for the current attempt, and appends the bytes
    /// that the caller has not received to `out`.
    fn append(
        &mut self,
        offset: u64,
        piece: &BufferedPiece,
        out: &mut Vec<u8>,
    ) -> Result<(), Problem> {
        let seen = usize::try_from(self.next_offset - offset).unwrap_or(usize::MAX);
        let Some(unseen) = piece.data.get(seen..).filter(|unseen| !unseen.is_empty()) else {
            return Ok(());
        };
        let replay_len =
            usize::try_from(self.delivered_bytes - self.next_offset).unwrap_or(usize::MAX);
        let (replayed, new) = unseen.split_at(replay_len.min(unseen.len()));
        self.attempt_hash.update(replayed);
        self.next_offset += replayed.len() as u64;
        if !replayed.is_empty()
            && self.next_offset == self.delivered_bytes
            && self.attempt_hash.digest() != self.delivered_hash.digest()
        {
            return Err(Problem::ReplayMismatch);
        }
        self.attempt_hash.update(new);
        self.delivered_hash.update(new);
        self.next_offset += new.len() as u64;
        self.delivered_bytes += new.len() as u64;
        if !new.is_empty() {
            self.delivered_events = self.delivered_events.max(piece.events);
        }
        out.extend_from_slice(new);
        Ok(())
    }

    fn check_end(&mut self, out: Vec<u8>) -> Step {
        match &self.end {
            None => Step::Forward(out),
            Some(end) if end.total < self.delivered_bytes => Step::Invalid(Problem::ExcessBytes),
            Some(end) if end.total > self.next_offset => Step::Forward(out),
            Some(end) if end.checksum != self.attempt_hash.digest() => {
                Step::Invalid(Problem::ChecksumMismatch)
            }
            Some(_) => {
                self.complete = true;
                Step::Complete(out)
            }
        }
    }
}
