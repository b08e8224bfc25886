//! Polls the backend server: whether it answers, and whether it has restarted.

use std::{sync::Arc, sync::mpsc, time};

use serde::Deserialize;
use tokio::sync::watch;

use super::{Backend, Event};
use crate::{config, view};

/// Time between two polls.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest time for one answer.
const POLL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// State that a backend server reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Incarnation, which changes with each start of the backend server; 0 if it reports none.
    pub incarnation: u64,
    /// Whether the server is past its cold start; `None` if it does not report that.
    pub warm: Option<bool>,
    /// Number of tokens in flight as last reported; 0 if the server reports none.
    pub tokens: u64,
}

/// The fields of the answer to `GET /health` that are used.
#[derive(Default, Deserialize)]
#[serde(default)]
struct HealthDocument {
    incarnation: u64,
    warm: Option<bool>,
}

/// The fields of the answer to `GET /load` that are used. They lag behind the server's state.
#[derive(Default, Deserialize)]
#[serde(default)]
struct LoadDocument {
    tokens: u64,
}

/// Polls the backend server and sends its health to the core until the core is gone; runs on the
/// I/O thread.
pub async fn poll(
    backend: Backend,
    view: watch::Receiver<Arc<view::View>>,
    events: mpsc::Sender<Event>,
) {
    loop {
        let polled = backend.clone();
        let is_engine = view.borrow().kind(polled.server()) == Some(config::Kind::ModelGroup);
        let health = tokio::task::spawn_blocking(move || read_health(&polled, is_engine));
        let health = health.await.ok().flatten();
        if events.send(Event::Health(health)).is_err() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the health of the backend server; `None` if it does not answer. A server that answers
/// without a health document counts as healthy. Only model engines report a load.
fn read_health(backend: &Backend, is_engine: bool) -> Option<Health> {
    let health: HealthDocument =
        backend.read_json("/health", POLL_TIMEOUT).ok()?.unwrap_or_default();
    let load = match is_engine {
        true => backend.read_json("/load", POLL_TIMEOUT).ok().flatten(),
        false => None,
    };
    let LoadDocument { tokens } = load.unwrap_or_default();
    Some(Health { incarnation: health.incarnation, warm: health.warm, tokens })
}
