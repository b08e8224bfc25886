//! Notes of crashes and quarantines as one gateway knows them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time,
};

use super::crash_note::{Incarnation, Note};
use crate::name;

/// Number of fingerprints in the note of one crash.
pub const MAX_FINGERPRINTS_PER_NOTE: usize = 128;

/// A note, and what this gateway knows of its copy in the store.
#[derive(Debug)]
pub struct KnownNote {
    /// The note, with what all of its copies say.
    pub note: Note,
    /// Version of the copy in the store; `None` if none was read.
    pub stored_version: Option<u64>,
    /// Whether the note is to be written to the store.
    pub is_pending: bool,
    /// Whether the store may have a copy.
    pub may_be_stored: bool,
    /// Time at which this gateway learned of it, on the process's monotonic clock.
    pub known_since: time::Duration,
    /// Time from which it no longer counts.
    pub expires_at: time::Duration,
}

impl KnownNote {
    /// Adds what another note of the same crash says; `is_new` if the store may lack it.
    pub fn merge_crash(&mut self, other: &Note, is_new: bool) {
        let (
            Note::Crash { fingerprints, recurrences, .. },
            Note::Crash { fingerprints: added, recurrences: added_recurrences, .. },
        ) = (&mut self.note, other)
        else {
            return;
        };
        let room = MAX_FINGERPRINTS_PER_NOTE.saturating_sub(fingerprints.len());
        let missing: Vec<_> = added.difference(fingerprints).take(room).cloned().collect();
        let mut has_changed = !missing.is_empty();
        fingerprints.extend(missing);
        for (fingerprint, added) in added_recurrences {
            if fingerprints.contains(fingerprint) {
                let recurrence = recurrences.entry(fingerprint.clone()).or_default();
                has_changed |= *added > *recurrence;
                *recurrence = (*recurrence).max(*added);
            }
        }
        self.is_pending |= is_new && has_changed;
    }

    /// Returns the crash that the note is of, if any.
    pub fn crash(&self) -> Option<Crash<'_>> {
        match &self.note {
            Note::Crash { server, started_ms, group, gateway, fingerprints, recurrences } => {
                Some(Crash {
                    server: Incarnation {
                        server,
                        started_ms: *started_ms,
                        group: group.as_deref(),
                    },
                    gateway,
                    fingerprints,
                    recurrences,
                    known_since: self.known_since,
                })
            }
            Note::Quarantine { .. } | Note::Cleared { .. } => None,
        }
    }
}

/// A crash as one gateway saw it.
pub struct Crash<'a> {
    /// Server that crashed.
    pub server: Incarnation<'a>,
    /// Gateway that saw it.
    pub gateway: &'a name::Host,
    /// Fingerprints of the requests that had just begun there.
    pub fingerprints: &'a BTreeSet<name::Fingerprint>,
    recurrences: &'a BTreeMap<name::Fingerprint, u32>,
    /// Time at which this gateway learned of it, on the process's monotonic clock.
    pub known_since: time::Duration,
}

impl Crash<'_> {
    /// Returns the number of crashes with `fingerprint`, one after the other, that were known when
    /// the request was sent.
    pub fn recurrence(&self, fingerprint: &name::Fingerprint) -> u32 {
        self.recurrences.get(fingerprint).copied().unwrap_or_default()
    }
}
