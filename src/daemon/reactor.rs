//! The main thread's loop: events from other threads in, stakker actors run.

use std::{sync::mpsc, time};

use stakker::Stakker;

/// The same on a thread that also runs tokio tasks: waits without blocking them.
pub async fn run_local<E>(
    mut stakker: Stakker,
    events: &mut tokio::sync::mpsc::UnboundedReceiver<E>,
    mut take: impl FnMut(&mut Stakker, E),
) {
    loop {
        let now = time::Instant::now();
        stakker.run(now, false);
        if !stakker.not_shutdown() {
            return;
        }
        let wait = stakker.next_wait_max(now, IDLE, false);
        let event = tokio::select! {
            event = events.recv() => event,
            () = tokio::time::sleep(wait) => continue,
        };
        match event {
            Some(event) => take(&mut stakker, event),
            None => return,
        }
        while let Ok(event) = events.try_recv() {
            take(&mut stakker, event);
        }
    }
}

/// Longest sleep without a timer.
const IDLE: time::Duration = time::Duration::from_secs(60);

/// Runs `stakker` until it shuts down, handing each event to `take`.
pub fn run<E>(
    mut stakker: Stakker,
    events: &mpsc::Receiver<E>,
    mut take: impl FnMut(&mut Stakker, E),
) {
    loop {
        let now = time::Instant::now();
        stakker.run(now, false);
        if !stakker.not_shutdown() {
            return;
        }
        let wait = stakker.next_wait_max(now, IDLE, false);
        match events.recv_timeout(wait) {
            Ok(event) => take(&mut stakker, event),
            Err(mpsc::RecvTimeoutError::Timeout) => continue,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        for event in events.try_iter() {
            take(&mut stakker, event);
        }
    }
}
