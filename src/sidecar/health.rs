//! Watches the backend server: is it there, and is it the one that was there before?

use std::{sync::Arc, sync::mpsc, time};

use serde::Deserialize;
use tokio::sync::watch;

use super::{Backend, Event};
use crate::{config, view};

/// Pause between two looks.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest time for an answer.
const POLL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// What a backend server shows of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Changes with each start of the backend server; 0 if it names none.
    pub incarnation: u64,
    /// Whether it says that it is past its cold start; `None` if it does not say.
    pub warm: Option<bool>,
    /// Tokens in flight as it last reported; 0 if it reports none.
    pub tokens: u64,
}

/// The part of `GET /health` that is used.
#[derive(Default, Deserialize)]
#[serde(default)]
struct HealthDocument {
    incarnation: u64,
    warm: Option<bool>,
}

/// The part of `GET /load` that is used; it lags.
#[derive(Default, Deserialize)]
#[serde(default)]
struct LoadDocument {
    tokens: u64,
}

/// Looks at the backend server for ever; runs on the I/O thread.
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

/// `None` if nothing answers; a server that answers but names nothing counts as healthy.
/// Only model engines report a load.
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
