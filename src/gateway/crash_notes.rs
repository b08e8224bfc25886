//! Tasks that share what this gateway knows of crashes of backend servers with the others, through
//! the store.

use std::{rc, time};

use super::{backoff::Backoff, state::Gateway};
use crate::platform::{
    Store,
    store::{TableChange, WatchedTable},
};

/// Longest wait of one call for changes; each wait costs a call.
const MAX_CHANGE_WAIT: time::Duration = time::Duration::from_secs(15);
/// Delay from a change to the read of the notes: several gateways write theirs after a crash.
const READ_DELAY: time::Duration = time::Duration::from_millis(100);
/// Delay from the first answer that a crash broke off to the write of its note, so that the note
/// covers all of them.
const WRITE_DELAY: time::Duration = time::Duration::from_millis(20);
/// Number of notes written, or removed, by one call.
const MAX_NOTES_PER_CALL: usize = 40;

/// Applies the notes of all gateways whenever they change. Reads them again when the store has
/// recovered from an outage, in which the answer about a change may have been lost.
pub async fn watch(store: Store, gateway: rc::Rc<Gateway>) {
    let mut backoff = Backoff::new("notes of crashes");
    let mut version = None;
    loop {
        let update = async {
            let changed = match version {
                Some(version) => {
                    let table = WatchedTable::Crashes;
                    tokio::select! {
                        changed = store.wait_for_change(table, version, MAX_CHANGE_WAIT) => changed?,
                        () = gateway.store_recovered.notified() => TableChange::Changed,
                    }
                }
                None => TableChange::Changed,
            };
            match changed {
                TableChange::Unchanged { version } => Ok(version),
                TableChange::Changed => {
                    if version.is_some() {
                        tokio::time::sleep(READ_DELAY).await;
                    }
                    let (notes, version) = store.read_crash_notes().await?;
                    gateway.apply_crash_notes(notes, version.era);
                    Ok(version)
                }
            }
        };
        version = backoff.record(&gateway, update.await).await;
    }
}

/// Writes this gateway's notes to the store, removes those that no longer hold, and claims probes of
/// quarantined requests.
pub async fn write(store: Store, gateway: rc::Rc<Gateway>) {
    let mut backoff = Backoff::new("own notes of crashes");
    loop {
        gateway.notes_pending.notified().await;
        tokio::time::sleep(WRITE_DELAY).await;
        loop {
            let (notes, outdated_keys) = gateway.take_pending_notes(MAX_NOTES_PER_CALL);
            if notes.is_empty() && outdated_keys.is_empty() {
                break;
            }
            let written = store.write_crash_notes(&notes, &outdated_keys).await;
            match &written {
                Ok(()) => {
                    gateway.forget_outdated_notes(&outdated_keys);
                    log::info!(
                        notes = notes.len(), removed = outdated_keys.len();
                        "notes of crashes written"
                    );
                }
                Err(_) => gateway.restore_pending_notes(&notes),
            }
            backoff.record(&gateway, written).await;
        }
        let claim = gateway.begin_probe_claim();
        if !claim.is_empty() {
            let claimed = store.claim_crash_notes(&claim).await;
            let is_claimed = matches!(claimed, Ok(true));
            log::info!(is_claimed; "claim of a probe of quarantined requests");
            gateway.end_probe_claim(is_claimed);
            backoff.record(&gateway, claimed).await;
        }
    }
}
