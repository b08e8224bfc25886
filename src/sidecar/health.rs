//! Watches the backend server: is it there, and is it the one that was there before?

use std::{sync::mpsc, time};

use serde::Deserialize;

use super::{Backend, Event};

/// Pause between two looks.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Longest time for an answer.
const WITHIN: time::Duration = time::Duration::from_secs(1);

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Health {
    /// Changes with each start of the backend server.
    #[serde(default)]
    pub incarnation: u64,
}

/// Looks at the backend server for ever; runs on the I/O thread.
pub async fn watch(backend: Backend, events: mpsc::Sender<Event>) {
    loop {
        let asked = backend.clone();
        let look = tokio::task::spawn_blocking(move || asked.read::<Health>("/health", WITHIN));
        let seen = look.await.ok().and_then(|seen| seen.ok());
        if events.send(Event::Health(seen)).is_err() {
            return;
        }
        tokio::time::sleep(PERIOD).await;
    }
}
