//! Quarantine of requests that crash backend servers.
//!
//! Requests are recognized by fingerprints: one of each part of the prompt that other requests may
//! share, and one of the whole request, which is the same when it comes again. A server that
//! crashes ends all of its requests, and at most one of them is the cause. A single gateway sees
//! few of the crashes. So each gateway notes, for each crash that it sees, the fingerprints of the
//! requests that had just begun there; the notes are shared through the store. A gateway that hears
//! from the server afterwards withdraws the note: only a connection was lost. A fingerprint that
//! keeps turning up in crashes, and with which no request is answered, is quarantined: requests
//! with it are refused by all gateways, but for probes. Servers that fail together count as well,
//! since crashes that a request causes may come as close together. Probes tell the two apart: an
//! answer ends the quarantine, and a crash prolongs the delay to the next probe, as does each crash
//! of a request that was sent after an earlier crash.

use std::{
    collections::{BTreeMap, BTreeSet},
    time,
};

use super::{
    ClearedFingerprints,
    crash_note::{self, Incarnation, Note},
    known_note::{Crash, KnownNote, MAX_FINGERPRINTS_PER_NOTE},
    probe::{self, Probe},
};
use crate::name;

/// Events of a stream after which its prompt counts as answered: a prompt that crashes its server
/// does so as the answer begins.
pub const ANSWERED_EVENTS: u64 = 8;
/// Crashes with the same fingerprint after which it is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes with the same fingerprint after which a request with it is not sent again when it breaks
/// off.
const RESEND_CRASHES: usize = 2;
/// Time from a break until what the server and its group send shows that it did not crash: events
/// from before the break may be read a little later.
const LATE_EVENT_TIME: time::Duration = time::Duration::from_millis(400);
/// Time from a crash until which its group cannot have formed anew.
const MIN_STALL_TIME: time::Duration = time::Duration::from_millis(800);
/// Time from a crash until which the server cannot have started again.
const MIN_RESTART_TIME: time::Duration = time::Duration::from_secs(2);
/// Age from which a crash counts against whole requests: a client that sends its request again after
/// each lost connection repeats it, and most servers that are alive have sent something by then.
const MIN_REQUEST_CRASH_AGE: time::Duration = time::Duration::from_millis(500);
/// Time for which a crash may be disproved before it counts.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);
/// Time within which servers go down that fail together.
const MAX_JOINT_FAILURE_TIME: time::Duration = time::Duration::from_millis(200);
/// Time for which a note counts. A quarantine begins anew with each refused request.
const NOTE_LIFETIME: time::Duration = time::Duration::from_secs(3600);
/// Number of notes kept; the oldest crashes are dropped first.
const MAX_NOTES: usize = 128;

/// Crashes that all gateways have seen, and the fingerprints of requests that they are put down to.
/// Times are on the process's monotonic clock.
#[derive(Debug)]
pub struct Quarantine {
    host: name::Host,
    notes: BTreeMap<String, KnownNote>,
    /// Quarantined fingerprints, each with the start of its quarantine or the time of its latest
    /// probe, by whichever gateway.
    quarantined: BTreeMap<name::Fingerprint, time::Duration>,
    /// The probe that this gateway prepares, if any.
    probe: Option<Probe>,
    /// Parts of prompts that were answered recently.
    cleared_parts: ClearedFingerprints,
    /// Whole requests that were answered recently: kept apart, since there are far more of them.
    cleared_requests: ClearedFingerprints,
    /// Keys of notes that no longer hold, and that the store may still have.
    outdated_keys: BTreeSet<String>,
    /// Era of the store at the last read; `None` before the first one.
    era: Option<u64>,
}

impl Quarantine {
    /// Creates the quarantine of the gateway on `host`, without notes.
    pub fn new(host: &name::Host) -> Self {
        Self {
            host: host.clone(),
            notes: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            probe: None,
            cleared_parts: ClearedFingerprints::default(),
            cleared_requests: ClearedFingerprints::default(),
            outdated_keys: BTreeSet::new(),
            era: None,
        }
    }

    /// Returns whether the notes in the store have been read.
    pub fn is_loaded(&self) -> bool {
        self.era.is_some()
    }

    /// Returns the quarantined fingerprints.
    pub fn fingerprints(&self) -> impl Iterator<Item = &name::Fingerprint> {
        self.quarantined.keys()
    }

    /// Records that a request with `fingerprints` was answered, at least for the most part; ends
    /// their quarantines. Returns whether there is a note to write.
    pub fn record_answer(
        &mut self,
        fingerprints: &[name::Fingerprint],
        now: time::Duration,
    ) -> bool {
        let mut has_ended = false;
        for fingerprint in fingerprints {
            match fingerprint.is_of_request() {
                true => self.cleared_requests.insert(fingerprint, now),
                false => self.cleared_parts.insert(fingerprint, now),
            }
            if self.quarantined.contains_key(fingerprint) {
                self.insert(Note::Cleared { fingerprint: fingerprint.clone() }, None, true, now);
                has_ended = true;
            }
        }
        has_ended
    }

    /// Returns whether a request with `fingerprint` was answered recently.
    fn is_cleared(&mut self, fingerprint: &name::Fingerprint, now: time::Duration) -> bool {
        match fingerprint.is_of_request() {
            true => self.cleared_requests.contains(fingerprint, now),
            false => self.cleared_parts.contains(fingerprint, now),
        }
    }

    /// Records that `server` seems to have crashed while it began to answer a request with
    /// `fingerprints` that was sent at `sent_at`. Returns whether there is a note to write.
    pub fn record_crash(
        &mut self,
        server: &Incarnation<'_>,
        fingerprints: &[name::Fingerprint],
        sent_at: time::Duration,
        now: time::Duration,
    ) -> bool {
        let uncleared =
            fingerprints.iter().filter(|fingerprint| !self.is_cleared(fingerprint, now));
        let suspects: BTreeSet<name::Fingerprint> =
            uncleared.take(MAX_FINGERPRINTS_PER_NOTE).cloned().collect();
        if suspects.is_empty() {
            return false;
        }
        let recurrences = suspects
            .iter()
            .map(|suspect| (suspect.clone(), self.count_recurrences(suspect, server, sent_at)));
        let note = Note::Crash {
            server: server.server.clone(),
            started_ms: server.started_ms,
            group: server.group.map(str::to_owned),
            gateway: self.host.clone(),
            recurrences: recurrences.filter(|(_, recurrence)| *recurrence > 0).collect(),
            fingerprints: suspects,
        };
        match self.notes.get_mut(&note.key()) {
            Some(known) => known.merge_crash(&note, true),
            None => self.insert(note, None, true, now),
        }
        true
    }

    /// Returns the number of crashes with `fingerprint`, one after the other, that were known well
    /// before `sent_at`, other than that of `server`.
    fn count_recurrences(
        &self,
        fingerprint: &name::Fingerprint,
        server: &Incarnation<'_>,
        sent_at: time::Duration,
    ) -> u32 {
        let earlier = self.crashes_with(fingerprint).filter(|crash| {
            crash.server != *server && crash.known_since + MAX_JOINT_FAILURE_TIME <= sent_at
        });
        earlier.map(|crash| crash.recurrence(fingerprint) + 1).max().unwrap_or_default()
    }

    /// Records that `server` sent something. Withdraws the notes of crashes that this disproves, and
    /// returns whether there were any: the server itself, or a rank of the same group, was alive
    /// after it seemed to have crashed.
    pub fn record_activity(&mut self, server: &Incarnation<'_>, now: time::Duration) -> bool {
        let disproved = self.notes.iter().filter(|(_, known)| {
            let age = now.saturating_sub(known.known_since);
            let Some(crash) = known.crash().filter(|_| age > LATE_EVENT_TIME) else { return false };
            match crash.server {
                crashed if crashed == *server => age < MIN_RESTART_TIME,
                crashed => {
                    age < MIN_STALL_TIME && server.group.is_some() && crashed.group == server.group
                }
            }
        });
        let keys: Vec<String> = disproved.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            log::info!(note:% = key; "server did not crash; note withdrawn");
            self.remove(key);
        }
        !keys.is_empty()
    }

    /// Applies a complete read of the notes, each with its version, made when the store was in
    /// `era`.
    pub fn apply(&mut self, notes: Vec<(Note, u64)>, era: u64, now: time::Duration) {
        let was_restored = self.era.replace(era).is_some_and(|previous| previous < era);
        let mut stored_keys = BTreeSet::new();
        for (note, version) in notes {
            let key = note.key();
            stored_keys.insert(key.clone());
            match self.notes.get_mut(&key) {
                Some(known) if known.stored_version == Some(version) => {}
                Some(known) => {
                    known.stored_version = Some(version);
                    known.expires_at = now + NOTE_LIFETIME;
                    match (&known.note, &note) {
                        (Note::Crash { .. }, _) => known.merge_crash(&note, false),
                        // The row is written again when a probe is claimed.
                        (Note::Quarantine { fingerprint }, Note::Quarantine { .. }) => {
                            self.quarantined.insert(fingerprint.clone(), now);
                        }
                        (Note::Cleared { .. }, _) if known.is_pending => {}
                        (Note::Cleared { .. }, Note::Cleared { .. }) => {}
                        _ => self.insert(note, Some(version), false, now),
                    }
                }
                None if self.outdated_keys.contains(&key) => {}
                None => self.insert(note, Some(version), false, now),
            }
        }
        let missing = self.notes.iter_mut().filter(|(key, known)| {
            known.stored_version.is_some() && !known.is_pending && !stored_keys.contains(*key)
        });
        let mut withdrawn_keys = Vec::new();
        for (key, known) in missing {
            match was_restored {
                // A store that was restored from an older copy lacks notes that still hold.
                true => known.is_pending = true,
                false => withdrawn_keys.push(key.clone()),
            }
        }
        withdrawn_keys.iter().for_each(|key| self.remove(key));
        self.remove_expired(now);
        self.outdated_keys.retain(|key| stored_keys.contains(key));
    }

    /// Returns the time for which requests with `fingerprints` will be refused; `None` if none of them
    /// is quarantined, or about to be, or if this request may be sent as a probe. A refusal prolongs
    /// the quarantine, and asks for a probe if one is due.
    pub fn refusal_time(
        &mut self,
        fingerprints: &[name::Fingerprint],
        now: time::Duration,
    ) -> Option<time::Duration> {
        if self.probe.as_ref().is_some_and(|probe| probe.is_expired(now)) {
            self.drop_probe(now);
        }
        let suspects = fingerprints.iter().filter(|fingerprint| !self.is_cleared(fingerprint, now));
        let suspects: Vec<&name::Fingerprint> = suspects.collect();
        for fingerprint in &suspects {
            if !self.quarantined.contains_key(*fingerprint)
                && self.explains_crashes(fingerprint, SETTLE_TIME, now)
            {
                self.quarantine(fingerprint, now);
            }
        }
        let (quarantined, others): (Vec<_>, Vec<_>) = suspects
            .into_iter()
            .partition(|fingerprint| self.quarantined.contains_key(*fingerprint));
        let is_probe = self.probe.as_ref().is_some_and(|probe| probe.permits(&quarantined, now));
        if !quarantined.is_empty() && !is_probe {
            quarantined.iter().for_each(|fingerprint| self.prolong(fingerprint, now));
            return Some(self.request_probe(&quarantined, now).max(SETTLE_TIME));
        }
        let is_suspect = |fingerprint: &name::Fingerprint| {
            let min_age = match fingerprint.is_of_request() {
                true => MIN_REQUEST_CRASH_AGE,
                false => time::Duration::ZERO,
            };
            self.explains_crashes(fingerprint, min_age, now)
        };
        others.into_iter().any(is_suspect).then_some(SETTLE_TIME)
    }

    /// Prolongs the quarantine of `fingerprint`, which is still in demand.
    fn prolong(&mut self, fingerprint: &name::Fingerprint, now: time::Duration) {
        let key = crash_note::fingerprint_key(fingerprint);
        if let Some(known) = self.notes.get_mut(&key)
            && known.expires_at < now + NOTE_LIFETIME / 2
        {
            known.expires_at = now + NOTE_LIFETIME;
            known.is_pending = true;
        }
    }

    /// Asks for a probe with the quarantined `fingerprints` if one is due; returns the time until
    /// then.
    fn request_probe(
        &mut self,
        fingerprints: &[&name::Fingerprint],
        now: time::Duration,
    ) -> time::Duration {
        let due_times = fingerprints.iter().filter_map(|fingerprint| {
            let since = self.quarantined.get(*fingerprint)?;
            Some(*since + probe::delay(self.recurrence(fingerprint)))
        });
        let due_at = due_times.max().unwrap_or_default();
        if due_at <= now && self.probe.is_none() {
            let fingerprints = fingerprints.iter().copied().cloned().collect();
            self.probe = Some(Probe::new(fingerprints, now));
        }
        due_at.saturating_sub(now)
    }

    /// Returns the number of crashes with `fingerprint` that followed each other.
    fn recurrence(&self, fingerprint: &name::Fingerprint) -> u32 {
        let recurrences = self.crashes_with(fingerprint).map(|crash| crash.recurrence(fingerprint));
        recurrences.max().unwrap_or_default()
    }

    /// Begins to claim the probe that was asked for, if any. Returns the notes to write to the store
    /// for it, all or none of them, each with the version that its row must still have there: 0 if
    /// there must be none.
    pub fn begin_claim(&mut self, now: time::Duration) -> Vec<(Note, u64)> {
        let wanted = self.probe.as_mut().filter(|probe| probe.is_wanted());
        let Some(probe) = wanted.filter(|probe| !probe.is_expired(now)) else {
            return Vec::new();
        };
        probe.begin_claim();
        let mut claimed = Vec::new();
        for fingerprint in probe.fingerprints() {
            if let Some(known) = self.notes.get_mut(&crash_note::fingerprint_key(fingerprint)) {
                known.may_be_stored = true;
                claimed.push((known.note.clone(), known.stored_version.unwrap_or_default()));
            }
        }
        if claimed.is_empty() {
            self.probe = None;
        }
        claimed
    }

    /// Records whether the claim under way succeeded. If it failed, another gateway may have claimed
    /// the probe.
    pub fn end_claim(&mut self, is_claimed: bool, now: time::Duration) {
        match &mut self.probe {
            Some(probe) if is_claimed => probe.record_claim(),
            _ => self.drop_probe(now),
        }
    }

    /// Gives up the probe, if there is one; the next one is as late as after a probe that was sent.
    fn drop_probe(&mut self, now: time::Duration) {
        let probe = self.probe.take();
        for fingerprint in probe.iter().flat_map(Probe::fingerprints) {
            if let Some(probed_at) = self.quarantined.get_mut(fingerprint) {
                *probed_at = now;
            }
        }
    }

    /// Returns the time for which a request with `fingerprints` that was refused may have to wait
    /// until it is known whether it may be sent as a probe; `None` if it may not.
    pub fn claim_time(
        &self,
        fingerprints: &[name::Fingerprint],
        now: time::Duration,
    ) -> Option<time::Duration> {
        let is_quarantined =
            |fingerprint: &&name::Fingerprint| self.quarantined.contains_key(*fingerprint);
        let quarantined: Vec<_> = fingerprints.iter().filter(is_quarantined).collect();
        self.probe.as_ref()?.claim_time(&quarantined, now)
    }

    /// Records that a request with `fingerprints` is sent to a server: it is the probe if any of them
    /// is quarantined.
    pub fn record_attempt(&mut self, fingerprints: &[name::Fingerprint], now: time::Duration) {
        let mut is_probe = false;
        for fingerprint in fingerprints {
            if !self.is_cleared(fingerprint, now)
                && let Some(probed_at) = self.quarantined.get_mut(fingerprint)
            {
                *probed_at = now;
                is_probe = true;
                log::info!(fingerprint:%; "sending a quarantined request as a probe");
            }
        }
        if is_probe {
            self.probe = None;
        }
    }

    /// Returns whether a request with `fingerprints` that broke off may be sent again.
    pub fn may_resend(&mut self, fingerprints: &[name::Fingerprint], now: time::Duration) -> bool {
        fingerprints.iter().all(|fingerprint| {
            self.is_cleared(fingerprint, now)
                || self.crashed_servers(fingerprint, time::Duration::ZERO, now).len()
                    < RESEND_CRASHES
        })
    }

    /// Returns whether notes are to be written to the store or removed from it, or a probe is to be
    /// claimed.
    pub fn has_pending(&self) -> bool {
        !self.outdated_keys.is_empty()
            || self.notes.values().any(|known| known.is_pending)
            || self.probe.as_ref().is_some_and(Probe::is_wanted)
    }

    /// Returns up to `limit` notes to write to the store, and keys of notes to remove from it. They
    /// count as written unless [`restore_pending`](Self::restore_pending) is called.
    pub fn take_pending(&mut self, limit: usize) -> (Vec<Note>, Vec<String>) {
        let pending = self.notes.values_mut().filter(|known| known.is_pending).take(limit);
        let notes = pending.map(|known| {
            (known.is_pending, known.may_be_stored) = (false, true);
            known.note.clone()
        });
        let notes = notes.collect();
        let keys = self.outdated_keys.iter().take(limit).cloned().collect();
        (notes, keys)
    }

    /// Records that `notes` could not be written.
    pub fn restore_pending(&mut self, notes: &[Note]) {
        for note in notes {
            if let Some(known) = self.notes.get_mut(&note.key()) {
                known.is_pending = true;
            }
        }
    }

    /// Records that the outdated notes with `keys` are no longer in the store.
    pub fn forget_outdated(&mut self, keys: &[String]) {
        keys.iter().for_each(|key| {
            self.outdated_keys.remove(key);
        });
    }

    fn insert(
        &mut self,
        note: Note,
        stored_version: Option<u64>,
        is_pending: bool,
        now: time::Duration,
    ) {
        let from_store = stored_version.is_some();
        match &note {
            Note::Quarantine { fingerprint } => {
                log::warn!(
                    fingerprint:%, from_store, recurrence = self.recurrence(fingerprint);
                    "requests are quarantined: servers keep crashing on them"
                );
                self.quarantined.insert(fingerprint.clone(), now);
            }
            Note::Cleared { fingerprint } => {
                log::info!(fingerprint:%, from_store; "quarantine ended: a request was answered");
                self.quarantined.remove(fingerprint);
            }
            Note::Crash { .. } => {}
        }
        let known = KnownNote {
            note,
            stored_version,
            is_pending,
            may_be_stored: stored_version.is_some(),
            known_since: now,
            expires_at: now + NOTE_LIFETIME,
        };
        self.notes.insert(known.note.key(), known);
        if self.notes.len() > MAX_NOTES {
            let order = |known: &KnownNote| {
                (matches!(known.note, Note::Quarantine { .. }), known.known_since)
            };
            let oldest = self.notes.iter().min_by_key(|(_, known)| order(known));
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.remove(&key);
            }
        }
    }

    fn remove(&mut self, key: &str) {
        let Some(known) = self.notes.remove(key) else { return };
        if known.may_be_stored {
            self.outdated_keys.insert(key.to_owned());
        }
        if let Note::Quarantine { fingerprint } = known.note {
            log::info!(fingerprint:%; "quarantine ended");
            self.quarantined.remove(&fingerprint);
        }
    }

    fn remove_expired(&mut self, now: time::Duration) {
        let expired = self.notes.iter().filter(|(_, known)| known.expires_at <= now);
        let keys: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Returns the crashes with `fingerprint` since a request with it was answered under quarantine.
    fn crashes_with(&self, fingerprint: &name::Fingerprint) -> impl Iterator<Item = Crash<'_>> {
        let note = self.notes.get(&crash_note::fingerprint_key(fingerprint));
        let cleared = note.filter(|known| matches!(known.note, Note::Cleared { .. }));
        let cleared_at = cleared.map(|known| known.known_since);
        let crashes = self.notes.values().filter_map(KnownNote::crash);
        crashes.filter(move |crash| {
            crash.fingerprints.contains(fingerprint) && Some(crash.known_since) > cleared_at
        })
    }

    /// Returns the servers of the crashes with `fingerprint` that are at least `min_age` old, each
    /// once also if several gateways saw it crash.
    fn crashed_servers(
        &self,
        fingerprint: &name::Fingerprint,
        min_age: time::Duration,
        now: time::Duration,
    ) -> BTreeSet<Incarnation<'_>> {
        let crashes = self.crashes_with(fingerprint);
        let settled = crashes.filter(|crash| crash.known_since + min_age <= now);
        settled.map(|crash| crash.server).collect()
    }

    /// Quarantines `fingerprint`. All gateways come to this conclusion; those that saw a crash write
    /// it.
    fn quarantine(&mut self, fingerprint: &name::Fingerprint, now: time::Duration) {
        let is_witness = self.crashes_with(fingerprint).any(|crash| *crash.gateway == self.host);
        self.insert(Note::Quarantine { fingerprint: fingerprint.clone() }, None, is_witness, now);
    }

    /// Whether `fingerprint` is in enough crashes that are at least `min_age` old, and in at least half
    /// of those since the first of them, of the same groups, that no quarantined fingerprint explains.
    fn explains_crashes(
        &self,
        fingerprint: &name::Fingerprint,
        min_age: time::Duration,
        now: time::Duration,
    ) -> bool {
        let with_fingerprint = self.crashed_servers(fingerprint, min_age, now);
        if with_fingerprint.len() < QUARANTINE_CRASHES {
            return false;
        }
        let crashes = || self.notes.values().filter_map(KnownNote::crash);
        let with_fingerprint_since = self.crashes_with(fingerprint).map(|crash| crash.known_since);
        let first = with_fingerprint_since.min().unwrap_or_default();
        let is_quarantined =
            |fingerprint: &name::Fingerprint| self.quarantined.contains_key(fingerprint);
        let explained: BTreeSet<Incarnation<'_>> = crashes()
            .filter(|crash| crash.fingerprints.iter().any(is_quarantined))
            .map(|crash| crash.server)
            .collect();
        let groups: BTreeSet<Option<&str>> =
            with_fingerprint.iter().map(|crashed| crashed.group).collect();
        let unexplained: BTreeSet<Incarnation<'_>> = crashes()
            .filter(|crash| crash.known_since >= first && !explained.contains(&crash.server))
            .filter(|crash| groups.contains(&crash.server.group))
            .map(|crash| crash.server)
            .collect();
        2 * with_fingerprint.len() >= unexplained.len()
    }
}
