//! Watches the backend server: is it there, and is it the one that was there before?

use std::{sync::Arc, sync::mpsc, time};

use serde::Deserialize;
use tokio::sync::watch;

use super::{Backend, Event};
use crate::{config, view};

/// Pause between two looks.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Longest time for an answer.
const WITHIN: time::Duration = time::Duration::from_secs(1);

/// What a backend server shows of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Changes with each start of the backend server; 0 if it names none.
    pub incarnation: u64,
    /// Tokens in flight as it last reported; 0 if it reports none.
    pub tokens: u64,
}

/// The part of `GET /health` that is used.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Named {
    incarnation: u64,
}

/// The part of `GET /load` that is used; it lags.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Reported {
    tokens: u64,
}

/// Looks at the backend server for ever; runs on the I/O thread.
pub async fn watch(
    backend: Backend,
    view: watch::Receiver<Arc<view::View>>,
    events: mpsc::Sender<Event>,
) {
    loop {
        let asked = backend.clone();
        let engine = view.borrow().kind(asked.server()) == Some(config::Kind::ModelGroup);
        let look = tokio::task::spawn_blocking(move || look(&asked, engine));
        let seen = look.await.ok().flatten();
        if events.send(Event::Health(seen)).is_err() {
            return;
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// `None` if nothing answers; a server that answers but names nothing counts as healthy.
/// Only model engines report a load.
fn look(backend: &Backend, engine: bool) -> Option<Health> {
    let named: Named = backend.read("/health", WITHIN).ok()?.unwrap_or_default();
    let reported = match engine {
        true => backend.read("/load", WITHIN).ok().flatten(),
        false => None,
    };
    let Reported { tokens } = reported.unwrap_or_default();
    Some(Health { incarnation: named.incarnation, tokens })
}
