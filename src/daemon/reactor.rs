//! Event loop of a thread that runs stakker actors: passes in events from other threads and runs
//! due timers and calls.

use std::{sync::mpsc, time};

use stakker::Stakker;

/// Longest wait for an event while no timer is set.
const MAX_WAIT: time::Duration = time::Duration::from_secs(60);

/// Runs the calls and timers that are due. Returns the time until the next timer, `None` once
/// `stakker` has shut down.
fn run_due(stakker: &mut Stakker) -> Option<time::Duration> {
    let now = time::Instant::now();
    stakker.run(now, false);
    stakker.not_shutdown().then(|| stakker.next_wait_max(now, MAX_WAIT, false))
}

/// Runs `stakker` until it shuts down or the senders of events are gone, and passes each event to
/// `handle_event`.
pub fn run<E>(
    mut stakker: Stakker,
    events: &mpsc::Receiver<E>,
    mut handle_event: impl FnMut(&mut Stakker, E),
) {
    while let Some(wait) = run_due(&mut stakker) {
        match events.recv_timeout(wait) {
            Ok(event) => handle_event(&mut stakker, event),
            Err(mpsc::RecvTimeoutError::Timeout) => continue,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        events.try_iter().for_each(|event| handle_event(&mut stakker, event));
    }
}

/// Runs `stakker` as [`run`] does, on a thread that also runs tokio tasks: waits for events
/// without blocking the tasks.
pub async fn run_local<E>(
    mut stakker: Stakker,
    events: &mut tokio::sync::mpsc::UnboundedReceiver<E>,
    mut handle_event: impl FnMut(&mut Stakker, E),
) {
    while let Some(wait) = run_due(&mut stakker) {
        let event = tokio::select! {
            event = events.recv() => event,
            () = tokio::time::sleep(wait) => continue,
        };
        match event {
            Some(event) => handle_event(&mut stakker, event),
            None => return,
        }
        while let Ok(event) = events.try_recv() {
            handle_event(&mut stakker, event);
        }
    }
}
