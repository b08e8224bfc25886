//! Takes calls from entries and passes on their answers.

use std::{cell, rc, sync::Arc, sync::atomic, sync::mpsc, time};

use tokio::sync::{mpsc as frames, oneshot};

use super::{
    Backend, Event,
    backend::Ended,
    core::{Ask, Verdict},
};
use crate::{Result, peer, policy::gate, wire};

/// Frames that may wait for a slow entry.
const FRAMES: usize = 64;
/// Pause after which an entry hears that the call is still worked on.
const ALIVE: time::Duration = time::Duration::from_millis(500);
/// Such pauses in a row, with the backend server out of reach, after which a
/// repeatable call may go elsewhere.
const SILENT: u32 = 4;

/// What the I/O thread of a sidecar shares between calls.
pub struct Side {
    /// Client of the backend server.
    pub backend: Backend,
    /// To the core on the stakker thread.
    pub events: mpsc::Sender<Event>,
    /// Highest configuration version seen on a call.
    pub newest: cell::Cell<u64>,
    /// Takes a version that is higher than all seen on calls before.
    pub heard: Box<dyn Fn(u64)>,
}

/// Tells the worker of a call to give up, and the backend server too, when dropped.
struct Watch {
    cancelled: Arc<atomic::AtomicBool>,
    backend: Backend,
    id: wire::RequestId,
    repeatable: bool,
    over: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.over {
            self.cancelled.store(true, atomic::Ordering::Release);
            let (backend, id) = (self.backend.clone(), self.id);
            tokio::task::spawn_blocking(move || backend.cancel(id));
        }
    }
}

impl Side {
    /// Answers one call.
    pub async fn call(self: rc::Rc<Self>, mut incoming: peer::Incoming) -> Result {
        let arrived = time::Instant::now();
        let call: wire::Call = incoming.message()?;
        if call.version > self.newest.get() {
            self.newest.set(call.version);
            (self.heard)(call.version);
        }
        let left = time::Duration::from_millis(call.left_ms);
        let Some(verdict) = self.admit(&call, left).await else { return Ok(()) };
        let (slot, admitted) = match verdict {
            Verdict::Admitted { slot, load, version } => {
                (slot, wire::Reply::Admitted { load, version })
            }
            Verdict::Refused { why, after, load, version } => {
                let retry_after_ms = after.as_millis() as u64;
                let refused = wire::Reply::Refused { why, retry_after_ms, load, version };
                incoming.reply.send(&refused).await?;
                incoming.reply.finish();
                return Ok(());
            }
        };
        log::info!(req:% = call.id, attempt = call.attempt; "admitted");
        let (rx, watch, ended) = self.work(call, slot, arrived + left);
        incoming.reply.send(&admitted).await?;
        self.pass(incoming.reply, slot, rx, watch, ended).await
    }

    async fn admit(&self, call: &wire::Call, left: time::Duration) -> Option<Verdict> {
        let (tx, rx) = oneshot::channel();
        let ask = Ask { server: call.server.clone(), left, tx };
        self.events.send(Event::Admit(Box::new(ask))).ok()?;
        rx.await.ok()
    }

    /// Starts the worker; the slot is freed when the worker is done, whoever waits for it.
    fn work(
        &self,
        call: wire::Call,
        slot: u64,
        deadline: time::Instant,
    ) -> (frames::Receiver<wire::Reply>, Watch, oneshot::Receiver<Ended>) {
        let (tx, rx) = frames::channel(FRAMES);
        let (done, ended) = oneshot::channel();
        let cancelled = Arc::new(atomic::AtomicBool::new(false));
        let backend = self.backend.clone();
        let watch = Watch {
            cancelled: cancelled.clone(),
            backend,
            id: call.id,
            repeatable: call.repeatable,
            over: false,
        };
        let (backend, events) = (self.backend.clone(), self.events.clone());
        tokio::task::spawn_blocking(move || {
            let how = backend.run(&call, deadline, &cancelled, &tx);
            let ending = match &how {
                Ended::Whole { .. } => gate::Ending::Complete,
                Ended::Broken { .. } if cancelled.load(atomic::Ordering::Acquire) => {
                    gate::Ending::Cancelled
                }
                Ended::Broken { .. } => gate::Ending::Failed,
                Ended::Cancelled => gate::Ending::Cancelled,
            };
            let _ = events.send(Event::Over { slot, ending });
            let _ = done.send(how);
        });
        (rx, watch, ended)
    }

    async fn pass(
        &self,
        mut reply: peer::Replier,
        slot: u64,
        mut rx: frames::Receiver<wire::Reply>,
        mut watch: Watch,
        ended: oneshot::Receiver<Ended>,
    ) -> Result {
        let mut seen = None;
        let mut silent = 0;
        loop {
            let frame = tokio::select! {
                frame = rx.recv() => frame,
                () = reply.gone() => return Ok(()),
                () = tokio::time::sleep(ALIVE) => {
                    let load = self.load().await;
                    silent = if load.limit == 0 { silent + 1 } else { 0 };
                    Some(wire::Reply::Alive { load })
                }
            };
            match frame {
                Some(wire::Reply::Alive { load }) if watch.repeatable && silent >= SILENT => {
                    let problem = "the backend server is out of reach".into();
                    let ran = wire::Ran::Unknown;
                    reply.send(&wire::Reply::Broken { ran, problem, load }).await?;
                    reply.finish();
                    return Ok(());
                }
                Some(frame) => {
                    seen = self.progress(slot, seen, &frame);
                    reply.send(&frame).await?;
                }
                None => break,
            }
        }
        let how = ended.await.unwrap_or(Ended::Cancelled);
        watch.over = true;
        let load = self.load().await;
        match how {
            Ended::Whole { total, checksum } => {
                reply.send(&wire::Reply::End { id: watch.id, total, checksum, load }).await?;
            }
            Ended::Broken { ran, problem } => {
                log::warn!(req:% = watch.id; "backend server broke off: {problem}");
                reply.send(&wire::Reply::Broken { ran, problem, load }).await?;
            }
            Ended::Cancelled => {}
        }
        reply.finish();
        Ok(())
    }

    /// Tells the core of new events in `frame`; gives the events seen so far.
    fn progress(&self, slot: u64, seen: Option<u64>, frame: &wire::Reply) -> Option<u64> {
        let wire::Reply::Piece { events, .. } = frame else { return seen };
        let fresh = seen.map_or(1, |seen| events.saturating_sub(seen));
        let _ = self.events.send(Event::Progress { slot, events: fresh });
        Some(*events)
    }

    async fn load(&self) -> wire::Load {
        let (tx, rx) = oneshot::channel();
        let _ = self.events.send(Event::Load(tx));
        rx.await.unwrap_or_default()
    }
}
