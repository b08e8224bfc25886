//! Notification of SIGTERM and SIGINT.

use std::thread;

use signal_hook::{consts, iterator};
use tokio::signal::unix;

use crate::{Error, Result};

/// Calls `on_signal` for each SIGTERM or SIGINT, on a separate thread.
pub fn watch(on_signal: impl Fn() + Send + 'static) -> Result {
    let failed = |source| Error::Thread { source };
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT]).map_err(failed)?;
    let notify = move || signals.forever().for_each(|_| on_signal());
    thread::Builder::new().name("signals".into()).spawn(notify).map_err(failed)?;
    Ok(())
}

/// Returns after the first SIGTERM or SIGINT.
pub async fn terminated() -> Result {
    let failed = |source| Error::Thread { source };
    let mut term = unix::signal(unix::SignalKind::terminate()).map_err(failed)?;
    let mut int = unix::signal(unix::SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
