//! SIGTERM and SIGINT as a call.

use std::thread;

use signal_hook::{consts, iterator};

use crate::{Error, Result};

/// Calls `told` for each SIGTERM or SIGINT, on a thread of its own.
pub fn watch(told: impl Fn() + Send + 'static) -> Result {
    let failed = |source| Error::Thread { source };
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT]).map_err(failed)?;
    let watching = move || signals.forever().for_each(|_| told());
    thread::Builder::new().name("signals".into()).spawn(watching).map_err(failed)?;
    Ok(())
}
