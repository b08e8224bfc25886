//! The body of a request while it arrives.

use std::{pin, sync::Arc};

use http_body_util::BodyExt;
use hyper::body::{self, Body};
use tokio::time::Instant;

use super::{
    clients::{Charge, Client, LARGE_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES},
    payload::{Collector, Payload},
};

/// Size of a body, as far as it is known, from which the kernel may receive more of it ahead.
const LARGE_BODY_BYTES: usize = 8 << 10;

/// Reason why a body was not received.
#[derive(Debug, thiserror::Error)]
pub enum UploadError {
    /// It has more bytes than allowed.
    #[error("The body is too large.")]
    TooLarge,
    /// It did not arrive in time.
    #[error("The body took too long; send it faster.")]
    TooLate,
    /// Memory for it is short.
    #[error("There is no memory for the body now; send it again later.")]
    NoMemory,
    /// The client was too slow to keep its memory, which is short.
    #[error("The body arrived too slowly while memory is short; send it again later.")]
    TooSlow,
    /// It ended early, or is malformed.
    #[error("The body broke off: {0}.")]
    Broken(hyper::Error),
}

/// A body that has not been read yet.
pub struct Upload {
    body: body::Incoming,
    client: Arc<Client>,
}

impl Upload {
    pub(super) fn new(body: body::Incoming, client: Arc<Client>) -> Self {
        Self { body, client }
    }

    /// Client that sends the body.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }

    /// Reads the body to its end, which must arrive until `timeout_at`.
    ///
    /// # Errors
    ///
    /// Fails if the body has more than `max_bytes`, breaks off, is late, or if memory is short.
    pub async fn read_to_end(
        mut self,
        max_bytes: usize,
        timeout_at: Instant,
    ) -> Result<Payload, UploadError> {
        // A body that is too large is refused before it arrives.
        if self.body.size_hint().lower() > max_bytes as u64 {
            return Err(UploadError::TooLarge);
        }
        if self.body.is_end_stream() {
            return Ok(Payload::default());
        }
        let client = Arc::clone(&self.client);
        client.begin_body();
        let received = tokio::select! {
            received = self.collect(max_bytes) => received,
            () = client.evicted() => Err(UploadError::TooSlow),
            () = tokio::time::sleep_until(timeout_at) => Err(UploadError::TooLate),
        };
        client.begin_answer();
        received
    }

    async fn collect(&mut self, max_bytes: usize) -> Result<Payload, UploadError> {
        let mut collector = Collector::new(&self.client).map_err(|_| self.refusal())?;
        let mut read_ahead = None;
        let stated_bytes = self.body.size_hint().lower();
        if stated_bytes > LARGE_BODY_BYTES as u64 {
            read_ahead = Some(self.read_ahead());
        }
        while let Some(frame) = pin::Pin::new(&mut self.body).frame().await {
            let Ok(data) = frame.map_err(UploadError::Broken)?.into_data() else { continue };
            if collector.len() + data.len() > max_bytes {
                return Err(UploadError::TooLarge);
            }
            self.client.record_received(data.len());
            collector.push(&mut &*data).map_err(|_| self.refusal())?;
            if read_ahead.is_none() && collector.len() > LARGE_BODY_BYTES {
                read_ahead = Some(self.read_ahead());
            }
        }
        if read_ahead.flatten().is_some() {
            self.client.set_receive_buffer(RECEIVE_BUFFER_BYTES);
        }
        Ok(collector.finish())
    }

    /// Lets the kernel receive more of the body ahead. Without room for it, the body arrives more
    /// slowly.
    fn read_ahead(&self) -> Option<Charge> {
        let charge = self.client.charge(LARGE_RECEIVE_BUFFER_BYTES).ok()?;
        self.client.set_receive_buffer(LARGE_RECEIVE_BUFFER_BYTES);
        Some(charge)
    }

    fn refusal(&self) -> UploadError {
        match self.client.is_evicted() {
            true => UploadError::TooSlow,
            false => UploadError::NoMemory,
        }
    }
}
