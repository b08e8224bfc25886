//! Settings that change while a process of the users' platform runs.

use std::{fs, path, time};

use tokio::signal::unix;

use crate::settings::site;

/// Time between two looks at the file, which may change without a signal.
const LOOK_EVERY: time::Duration = time::Duration::from_secs(2);

/// Reads the file at `path` at each SIGHUP and each change, and hands good settings to `take`.
/// Settings that cannot be read leave the ones in force.
pub async fn watch(
    cfg: site::Settings,
    path: path::PathBuf,
    mut take: impl FnMut(&site::Settings),
) {
    let mut hangups = match unix::signal(unix::SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(err) => return log::error!("SIGHUP cannot be watched: {err}"),
    };
    let mut known = cfg;
    let mut text = fs::read_to_string(&path).unwrap_or_default();
    loop {
        let told = tokio::select! {
            told = hangups.recv() => told.is_some(),
            () = tokio::time::sleep(LOOK_EVERY) => false,
        };
        let newest = match fs::read_to_string(&path) {
            Ok(newest) => newest,
            Err(err) => {
                log::warn!(told; "the settings cannot be read: {err}");
                continue;
            }
        };
        if !told && newest == text {
            continue;
        }
        match site::Settings::parse(&newest) {
            Ok(cfg) => {
                let fixed = cfg.role != known.role
                    || cfg.peers != known.peers
                    || cfg.operators != known.operators
                    || cfg.store != known.store;
                log::info!(told, changed = cfg != known, needs_restart = fixed; "settings reloaded");
                take(&cfg);
                known = cfg;
            }
            Err(findings) => {
                let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
                log::warn!(told; "the settings have faults and are not used: {}", findings.join("; "));
            }
        }
        text = newest;
    }
}
