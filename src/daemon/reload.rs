//! Reloads the settings while a gateway or rank agent runs.

use std::{fs, path, time};

use tokio::signal::unix;

use crate::settings::site;

/// Time between two polls of the settings file, which may change without a signal.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Reads the settings file at `path` at each SIGHUP and after each change, and passes valid
/// settings to `apply`. Settings that cannot be read or have errors leave those in force
/// unchanged.
pub async fn watch(
    cfg: site::Settings,
    path: path::PathBuf,
    mut apply: impl FnMut(&site::Settings),
) {
    let mut hangup_signals = match unix::signal(unix::SignalKind::hangup()) {
        Ok(hangup_signals) => hangup_signals,
        Err(err) => {
            return log::error!("cannot listen for SIGHUP, so settings are not reloaded: {err}");
        }
    };
    let mut current = cfg;
    let mut text = fs::read_to_string(&path).unwrap_or_default();
    loop {
        let on_signal = tokio::select! {
            on_signal = hangup_signals.recv() => on_signal.is_some(),
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let new_text = match fs::read_to_string(&path) {
            Ok(new_text) => new_text,
            Err(err) => {
                log::warn!(on_signal; "cannot read the settings file: {err}");
                continue;
            }
        };
        if !on_signal && new_text == text {
            continue;
        }
        match site::Settings::parse(&new_text) {
            Ok(cfg) => {
                let needs_restart = cfg.role != current.role
                    || cfg.peers != current.peers
                    || cfg.operators != current.operators
                    || cfg.store != current.store;
                log::info!(on_signal, changed = cfg != current, needs_restart; "settings reloaded");
                apply(&cfg);
                current = cfg;
            }
            Err(findings) => {
                let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
                log::warn!(
                    on_signal;
                    "the new settings have errors and are ignored: {}",
                    findings.join("; ")
                );
            }
        }
        text = new_text;
    }
}
