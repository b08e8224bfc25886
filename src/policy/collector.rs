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
pub const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// What one frame led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// These bytes are next for the caller; may be empty.
    Forward(Vec<u8>),
    /// These bytes are the last; the answer is whole.
    Complete(Vec<u8>),
    /// What this attempt sends cannot be made whole.
    Invalid(Problem),
}

/// Why an attempt cannot be made whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Problem {
    /// More bytes came than the total.
    ExcessBytes,
    /// The checksum does not match the bytes.
    ChecksumMismatch,
    /// A restarted body differs from what the caller already has.
    ReplayMismatch,
    /// The stream ended or a piece is missing for good.
    MissingBytes,
    /// Too many bytes came before a missing piece.
    BufferLimit,
}

impl Problem {
    /// Whether a further attempt can still make the answer whole; if not, the
    /// caller may have wrong bytes and must see an error.
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

/// The state of one request's answer over all its attempts.
pub struct Collector {
    id: wire::RequestId,
    attempt: u32,
    /// Bytes and events that the caller has.
    delivered_bytes: u64,
    delivered_events: u64,
    /// Hash of all bytes that the caller has.
    delivered_hash: xxh3::Xxh3,
    /// Next offset of this attempt, and the hash of what it sent.
    next_offset: u64,
    attempt_hash: xxh3::Xxh3,
    buffered: BTreeMap<u64, BufferedPiece>,
    buffered_bytes: usize,
    end: Option<End>,
    complete: bool,
}

impl Collector {
    /// Nothing received yet; `attempt` is the first attempt.
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

    /// Goes over to a further attempt that starts at [`Collector::resume_point`].
    /// Frames of earlier attempts are ignored from now on.
    pub fn continue_with(&mut self, attempt: u32) {
        self.start_attempt(attempt, self.delivered_bytes);
    }

    /// Goes over to a further attempt that sends the body from its first byte.
    /// It must repeat what the caller already has.
    pub fn restart_with(&mut self, attempt: u32) {
        self.start_attempt(attempt, 0);
    }

    /// Where a further attempt goes on; `None` if the caller has no bytes yet
    /// or the body has no events to go on from.
    pub fn resume_point(&self) -> Option<wire::Resume> {
        match self.delivered_events {
            0 => None,
            events => Some(wire::Resume { events, bytes: self.delivered_bytes }),
        }
    }

    /// Whether the caller has the whole answer.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Events that the caller has.
    pub fn delivered_events(&self) -> u64 {
        self.delivered_events
    }

    /// Bytes that the caller has.
    pub fn delivered_bytes(&self) -> u64 {
        self.delivered_bytes
    }

    /// Takes a frame that came on the stream of `attempt`.
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

    /// Notes that the stream of `attempt` has ended and no frame will come.
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

    /// Takes the part of a piece that this attempt had not sent; passes on what the caller lacks.
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
