//! Takes calls from entries and passes on their answers.

use std::{cell, rc, sync::Arc, sync::atomic, sync::mpsc, time};

use tokio::sync::{mpsc as frames, oneshot};

use super::{
    Backend, Event,
    backend::ExchangeEnd,
    core::{AdmitRequest, Decision},
};
use crate::{Result, peer, policy::gate, wire};

/// Frames that may wait for a slow entry.
const MAX_PENDING_FRAMES: usize = 64;
/// Pause after which an entry hears that the call is still worked on.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Such pauses in a row, with the backend server out of reach, after which a
/// repeatable call may go elsewhere.
const MAX_UNREACHABLE_HEARTBEATS: u32 = 4;

/// What the I/O thread of a sidecar shares between calls.
pub struct CallHandler {
    /// Client of the backend server.
    pub backend: Backend,
    /// To the core on the stakker thread.
    pub events: mpsc::Sender<Event>,
    /// Highest configuration version seen on a call.
    pub newest_version: cell::Cell<u64>,
    /// Takes a version that is higher than all seen on calls before.
    pub report_version: Box<dyn Fn(u64)>,
}

/// Tells the worker of a call to give up, and the backend server too, when dropped.
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
    /// Answers one call.
    pub async fn handle(self: rc::Rc<Self>, mut incoming: peer::Incoming) -> Result {
        let arrived_at = time::Instant::now();
        let call: wire::Call = incoming.message()?;
        if call.version > self.newest_version.get() {
            self.newest_version.set(call.version);
            (self.report_version)(call.version);
        }
        let time_left = time::Duration::from_millis(call.left_ms);
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

    /// Starts the worker; the slot is freed when the worker is done, whoever waits for it.
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
                ExchangeEnd::Whole { .. } => gate::Ending::Complete,
                ExchangeEnd::Broken { .. } if cancelled.load(atomic::Ordering::Acquire) => {
                    gate::Ending::Cancelled
                }
                ExchangeEnd::Broken { .. } => gate::Ending::Failed,
                ExchangeEnd::Cancelled => gate::Ending::Cancelled,
            };
            let _ = events.send(Event::CallEnded { slot, ending });
            let _ = end_tx.send(end);
        });
        (rx, guard, exchange_end)
    }

    async fn forward_replies(
        &self,
        mut reply: peer::Replier,
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
                () = reply.gone() => return Ok(()),
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
                    reply.send(&wire::Reply::Broken { ran, problem, load }).await?;
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
            ExchangeEnd::Whole { total, checksum } => {
                reply.send(&wire::Reply::End { id: guard.id, total, checksum, load }).await?;
            }
            ExchangeEnd::Broken { ran, problem } => {
                log::warn!(req:% = guard.id; "backend server broke off: {problem}");
                reply.send(&wire::Reply::Broken { ran, problem, load }).await?;
            }
            ExchangeEnd::Cancelled => {}
        }
        reply.finish();
        Ok(())
    }

    /// Tells the core of new events in `frame`; gives the events seen so far.
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
