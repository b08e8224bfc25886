//! Handles the calls of entries: admits them, runs them and forwards the answers.

use std::{cell, rc, sync::Arc, sync::atomic, sync::mpsc, time};

use tokio::sync::{mpsc as frames, oneshot};

use super::{
    Backend, Event,
    backend::ExchangeEnd,
    core::{AdmitRequest, Decision},
};
use crate::{Result, peer, policy::gate, wire};

/// Largest number of frames that wait for an entry that reads slowly.
const MAX_PENDING_FRAMES: usize = 64;
/// Time without a frame after which the entry is notified that the call is still running.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Consecutive heartbeats with an unreachable backend server after which a repeatable call fails,
/// so that the entry can retry it elsewhere.
const MAX_UNREACHABLE_HEARTBEATS: u32 = 4;

/// Handler of the calls of entries, with the state that they share on the I/O thread.
pub struct CallHandler {
    /// Client of the backend server.
    pub backend: Backend,
    /// Channel to the core, which runs on the stakker thread.
    pub events: mpsc::Sender<Event>,
    /// Highest configuration version seen in a call.
    pub newest_version: cell::Cell<u64>,
    /// Reports a configuration version that is higher than all seen in earlier calls.
    pub report_version: Box<dyn Fn(u64)>,
}

/// Guard of a running call: when dropped before the call has finished, cancels it in the worker and
/// at the backend server.
struct CancelGuard {
    cancelled: Arc<atomic::AtomicBool>,
    backend: Backend,
    id: wire::RequestId,
    repeatable: bool,
    finished: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.cancelled.store(true, atomic::Ordering::Release);
            let (backend, id) = (self.backend.clone(), self.id);
            tokio::task::spawn_blocking(move || backend.cancel_request(id));
        }
    }
}

impl CallHandler {
    /// Handles one call.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is malformed or the connection to the entry fails.
    pub async fn handle(self: rc::Rc<Self>, mut incoming: peer::IncomingRequest) -> Result {
        let arrived_at = time::Instant::now();
        let call: wire::Call = incoming.decode()?;
        if call.version > self.newest_version.get() {
            self.newest_version.set(call.version);
            (self.report_version)(call.version);
        }
        let time_left = time::Duration::from_millis(call.time_left_ms);
        let Some(decision) = self.admit(&call, time_left).await else { return Ok(()) };
        let (slot, admitted) = match decision {
            Decision::Admitted { slot, load, version } => {
                (slot, wire::Reply::Admitted { load, version })
            }
            Decision::Refused { reason, retry_after, load, version } => {
                let retry_after_ms = retry_after.as_millis() as u64;
                let refused = wire::Reply::Refused { why: reason, retry_after_ms, load, version };
                incoming.reply.send(&refused).await?;
                incoming.reply.finish();
                return Ok(());
            }
        };
        log::info!(req:% = call.id, attempt = call.attempt; "admitted");
        let (rx, guard, exchange_end) = self.start_worker(call, slot, arrived_at + time_left);
        incoming.reply.send(&admitted).await?;
        self.forward_replies(incoming.reply, slot, rx, guard, exchange_end).await
    }

    async fn admit(&self, call: &wire::Call, time_left: time::Duration) -> Option<Decision> {
        let (tx, rx) = oneshot::channel();
        let request = AdmitRequest { server: call.server.clone(), time_left, tx };
        self.events.send(Event::Admit(Box::new(request))).ok()?;
        rx.await.ok()
    }

    /// Starts the worker that exchanges `call` with the backend server. The slot is freed when the
    /// worker is done, even if nothing receives the answer any more.
    fn start_worker(
        &self,
        call: wire::Call,
        slot: u64,
        deadline: time::Instant,
    ) -> (frames::Receiver<wire::Reply>, CancelGuard, oneshot::Receiver<ExchangeEnd>) {
        let (tx, rx) = frames::channel(MAX_PENDING_FRAMES);
        let (end_tx, exchange_end) = oneshot::channel();
        let cancelled = Arc::new(atomic::AtomicBool::new(false));
        let backend = self.backend.clone();
        let guard = CancelGuard {
            cancelled: cancelled.clone(),
            backend,
            id: call.id,
            repeatable: call.repeatable,
            finished: false,
        };
        let (backend, events) = (self.backend.clone(), self.events.clone());
        tokio::task::spawn_blocking(move || {
            let end = backend.exchange(&call, deadline, &cancelled, &tx);
            let ending = match &end {
                ExchangeEnd::Complete { .. } => gate::Ending::Complete,
                ExchangeEnd::Failed { .. } if cancelled.load(atomic::Ordering::Acquire) => {
                    gate::Ending::Cancelled
                }
                ExchangeEnd::Failed { .. } => gate::Ending::Failed,
                ExchangeEnd::Cancelled => gate::Ending::Cancelled,
            };
            let _ = events.send(Event::CallEnded { slot, ending });
            let _ = end_tx.send(end);
        });
        (rx, guard, exchange_end)
    }

    /// Forwards the frames of the answer to the entry, with heartbeats while there are none.
    async fn forward_replies(
        &self,
        mut reply: peer::ReplySender,
        slot: u64,
        mut rx: frames::Receiver<wire::Reply>,
        mut guard: CancelGuard,
        exchange_end: oneshot::Receiver<ExchangeEnd>,
    ) -> Result {
        let mut events_seen = None;
        let mut unreachable_count = 0;
        loop {
            let frame = tokio::select! {
                frame = rx.recv() => frame,
                () = reply.closed() => return Ok(()),
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                    let load = self.current_load().await;
                    unreachable_count = if load.limit == 0 { unreachable_count + 1 } else { 0 };
                    Some(wire::Reply::Alive { load })
                }
            };
            match frame {
                Some(wire::Reply::Alive { load })
                    if guard.repeatable && unreachable_count >= MAX_UNREACHABLE_HEARTBEATS =>
                {
                    let problem = "the backend server is out of reach".into();
                    let ran = wire::Ran::Unknown;
                    reply.send(&wire::Reply::Failed { ran, problem, load }).await?;
                    reply.finish();
                    return Ok(());
                }
                Some(frame) => {
                    events_seen = self.report_progress(slot, events_seen, &frame);
                    reply.send(&frame).await?;
                }
                None => break,
            }
        }
        let end = exchange_end.await.unwrap_or(ExchangeEnd::Cancelled);
        guard.finished = true;
        let load = self.current_load().await;
        match end {
            ExchangeEnd::Complete { total, checksum } => {
                reply.send(&wire::Reply::End { id: guard.id, total, checksum, load }).await?;
            }
            ExchangeEnd::Failed { ran, problem } => {
                log::warn!(req:% = guard.id; "backend server failed during the call: {problem}");
                reply.send(&wire::Reply::Failed { ran, problem, load }).await?;
            }
            ExchangeEnd::Cancelled => {}
        }
        reply.finish();
        Ok(())
    }

    /// Reports the new events in `frame` to the core, and returns the number of events seen so far.
    fn report_progress(
        &self,
        slot: u64,
        events_seen: Option<u64>,
        frame: &wire::Reply,
    ) -> Option<u64> {
        let wire::Reply::Piece { events, .. } = frame else { return events_seen };
        let new_events = events_seen.map_or(1, |seen| events.saturating_sub(seen));
        let _ = self.events.send(Event::Progress { slot, events: new_events });
        Some(*events)
    }

    async fn current_load(&self) -> wire::Load {
        let (tx, rx) = oneshot::channel();
        let _ = self.events.send(Event::Load(tx));
        rx.await.unwrap_or_default()
    }
}
