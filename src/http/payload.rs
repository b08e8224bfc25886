//! Bodies that are held in memory whole, in segments, and are charged to a client.

use std::{collections::VecDeque, convert, pin, sync::Arc, task};

use bytes::{Bytes, BytesMut};
use hyper::body;

use super::clients::{Charge, Client, NoMemory};

/// Largest size of a segment, in bytes.
const SEGMENT_BYTES: usize = 16 << 10;
/// Smallest size of a segment, in bytes.
const MIN_SEGMENT_BYTES: usize = 1 << 10;
/// Largest answer that may use the memory that larger ones leave free, in bytes.
const MAX_SMALL_ANSWER_BYTES: usize = 64 << 10;

/// A whole body. Clones share its memory, which counts until the last of them is dropped.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    segments: VecDeque<Bytes>,
    len: usize,
    _charge: Option<Arc<Charge>>,
}

impl Payload {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The bytes, in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Bytes::as_ref)
    }

    /// Copies the bytes into one buffer.
    pub fn to_vec(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.len);
        self.segments().for_each(|segment| bytes.extend_from_slice(segment));
        bytes
    }

    /// Removes and returns the next bytes, [`SEGMENT_BYTES`] at most.
    pub fn next_segment(&mut self) -> Option<Bytes> {
        let mut segment = self.segments.pop_front()?;
        if segment.len() > SEGMENT_BYTES {
            self.segments.push_front(segment.split_off(SEGMENT_BYTES));
        }
        self.len -= segment.len();
        Some(segment)
    }

    /// Lets the memory of the body count as `charge` does.
    pub fn with_charge(self, charge: Option<Charge>) -> Self {
        Self { _charge: charge.map(Arc::new), ..self }
    }
}

impl<T: Into<Bytes>> From<T> for Payload {
    fn from(data: T) -> Self {
        let data: Bytes = data.into();
        let len = data.len();
        Self { segments: (len > 0).then_some(data).into_iter().collect(), len, _charge: None }
    }
}

impl body::Body for Payload {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, convert::Infallible>>> {
        task::Poll::Ready(self.get_mut().next_segment().map(|data| Ok(body::Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.len as u64)
    }
}

/// Collects a body as it arrives. Its pieces are copied, since a piece that is kept holds the whole
/// buffer in which it was received.
pub struct Collector {
    payload: Payload,
    segment: BytesMut,
    /// Size of all segments, which may be less than what is charged.
    allocated_bytes: usize,
    charge: Charge,
}

impl Collector {
    /// Creates a collector that charges to `client`.
    pub fn new(client: &Arc<Client>) -> Result<Self, NoMemory> {
        let charge = client.charge(0)?;
        let (payload, segment) = (Payload::default(), BytesMut::new());
        Ok(Self { payload, segment, allocated_bytes: 0, charge })
    }

    /// Number of bytes so far.
    pub fn len(&self) -> usize {
        self.payload.len + self.segment.len()
    }

    /// Whether no byte has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds the bytes of `data`, and removes from it those that were added.
    ///
    /// # Errors
    ///
    /// Like [`Client::charge`].
    pub fn push(&mut self, data: &mut &[u8]) -> Result<(), NoMemory> {
        while !data.is_empty() {
            if self.segment.len() == self.segment.capacity() {
                self.add_room(data.len())?;
            }
            let free = self.segment.capacity() - self.segment.len();
            let (added, later) = data.split_at(free.min(data.len()));
            self.segment.extend_from_slice(added);
            *data = later;
        }
        Ok(())
    }

    /// Waits until there is room for a body of `bytes`, while nothing is held for it: bodies that wait
    /// with a part of their bytes could keep each other waiting.
    ///
    /// # Errors
    ///
    /// Fails if the client was asked to make room.
    pub async fn reserve_when_possible(&mut self, bytes: usize) -> Result<(), NoMemory> {
        self.charge.set_large(bytes > MAX_SMALL_ANSWER_BYTES);
        self.charge.resize_when_possible(bytes.next_multiple_of(SEGMENT_BYTES)).await
    }

    /// Adds the bytes of `data`, as soon as there is room for them. A client for whose body that
    /// takes long may be asked to make room.
    ///
    /// # Errors
    ///
    /// Fails if the client was asked to make room, or if there is none for a large body and no
    /// other answer takes more: it may have no end.
    pub async fn push_when_possible(&mut self, mut data: &[u8]) -> Result<(), NoMemory> {
        let is_large = self.len() + data.len() > MAX_SMALL_ANSWER_BYTES;
        self.charge.set_large(is_large);
        while let Err(err) = self.push(&mut data) {
            let client = Arc::clone(self.charge.client());
            if is_large && client.has_largest_answer() {
                return Err(err);
            }
            client.record_blocked();
            client.wait_for_room(err).await?;
            client.record_read(0);
        }
        Ok(())
    }

    /// Makes room in the segment for `bytes` more, or for a part of them.
    fn add_room(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let held = self.segment.len();
        if held >= SEGMENT_BYTES {
            self.allocate(SEGMENT_BYTES)?;
            self.finish_segment();
            self.segment = BytesMut::with_capacity(SEGMENT_BYTES);
            return Ok(());
        }
        let wanted = (held + bytes).max(2 * held).clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES);
        self.allocate(wanted - held)?;
        let mut larger = BytesMut::with_capacity(wanted);
        larger.extend_from_slice(&self.segment);
        self.segment = larger;
        Ok(())
    }

    /// Charges `bytes` more, unless they are reserved.
    fn allocate(&mut self, bytes: usize) -> Result<(), NoMemory> {
        self.charge.grow_to(self.allocated_bytes + bytes)?;
        self.allocated_bytes += bytes;
        Ok(())
    }

    fn finish_segment(&mut self) {
        let segment = std::mem::take(&mut self.segment).freeze();
        self.payload.len += segment.len();
        self.payload.segments.push_back(segment);
    }

    /// Returns the whole body.
    pub fn finish(mut self) -> Payload {
        if !self.segment.is_empty() {
            self.finish_segment();
        }
        self.payload.with_charge(Some(self.charge))
    }
}
