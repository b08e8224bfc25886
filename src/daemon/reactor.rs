//! The loop of a thread that runs stakker actors: events from elsewhere in, timers and calls run.

use std::{sync::mpsc, time};

use stakker::Stakker;

/// Longest sleep without a timer.
const IDLE: time::Duration = time::Duration::from_secs(60);

/// Runs what is due; gives the time until the next timer, `None` once `stakker` has shut down.
fn turn(stakker: &mut Stakker) -> Option<time::Duration> {
    let now = time::Instant::now();
    stakker.run(now, false);
    stakker.not_shutdown().then(|| stakker.next_wait_max(now, IDLE, false))
}

/// Runs `stakker` until it shuts down, handing each event to `take`.
pub fn run<E>(
    mut stakker: Stakker,
    events: &mpsc::Receiver<E>,
    mut take: impl FnMut(&mut Stakker, E),
) {
    while let Some(wait) = turn(&mut stakker) {
        match events.recv_timeout(wait) {
            Ok(event) => take(&mut stakker, event),
            Err(mpsc::RecvTimeoutError::Timeout) => continue,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        events.try_iter().for_each(|event| take(&mut stakker, event));
    }
}

/// The same on a thread that also runs tokio tasks: waits without blocking them.
pub async fn run_local<E>(
    mut stakker: Stakker,
    events: &mut tokio::sync::mpsc::UnboundedReceiver<E>,
    mut take: impl FnMut(&mut Stakker, E),
) {
    while let Some(wait) = turn(&mut stakker) {
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
