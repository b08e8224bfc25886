//! SIGTERM and SIGINT as a call.

use std::thread;

use signal_hook::{consts, iterator};
use tokio::signal::unix;

use crate::{Error, Result};

/// Calls `told` for each SIGTERM or SIGINT, on a thread of its own.
pub fn watch(told: impl Fn() + Send + 'static) -> Result {
    let failed = |source| Error::Thread { source };
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT]).map_err(failed)?;
    let watching = move || signals.forever().for_each(|_| told());
    thread::Builder::new().name("signals".into()).spawn(watching).map_err(failed)?;
    Ok(())
}

/// Returns at the first SIGTERM or SIGINT.
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
