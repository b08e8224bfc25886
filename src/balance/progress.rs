//! Whether the engine groups make progress, as one gateway sees it from the events of its streams.
//!
//! The ranks of a group run each pass together, so a group that waits for one rank serves nobody.
//! Requests that are sent meanwhile wait in the engines until their callers leave; they are better
//! refused at once, with the time at which to come back.

use std::{collections::BTreeMap, time};

/// Started streams that must all be silent before a group counts as stalled: a single one may also
/// be silent because its engine preempted it.
const MIN_SILENT_STREAMS: u32 = 2;
/// Time between two requests that are sent to a stalled group to learn whether it goes on.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Progress of one group.
#[derive(Debug, Default)]
struct Progress {
    /// Streams that have sent an event and have not ended.
    streams: u32,
    last_event_at: time::Duration,
    /// Time from which the next request is sent there; `None` unless the group is stalled.
    next_probe_at: Option<time::Duration>,
}

/// Progress of the groups that have sent events to this gateway, by name. Times are on the process's
/// monotonic clock.
#[derive(Debug, Default)]
pub struct GroupProgress {
    groups: BTreeMap<String, Progress>,
}

impl GroupProgress {
    /// Records the first event of a stream.
    pub fn begin_stream(&mut self, group: &str, now: time::Duration) {
        self.record_event(group, now);
        if let Some(progress) = self.groups.get_mut(group) {
            progress.streams += 1;
        }
    }

    /// Records an event of a stream.
    pub fn record_event(&mut self, group: &str, now: time::Duration) {
        let progress = match self.groups.get_mut(group) {
            Some(progress) => progress,
            None => self.groups.entry(group.to_owned()).or_default(),
        };
        progress.last_event_at = now;
        if progress.next_probe_at.take().is_some() {
            log::info!(group; "group makes progress again");
        }
    }

    /// Records the end of a stream that had begun.
    pub fn end_stream(&mut self, group: &str) {
        if let Some(progress) = self.groups.get_mut(group) {
            progress.streams = progress.streams.saturating_sub(1);
        }
    }

    /// Whether `group` is stalled: all of its streams here have been silent for longer than
    /// `max_silence`. It stays so until an event arrives.
    pub fn is_stalled(
        &mut self,
        group: &str,
        now: time::Duration,
        max_silence: time::Duration,
    ) -> bool {
        let Some(progress) = self.groups.get_mut(group) else { return false };
        if progress.next_probe_at.is_none()
            && progress.streams >= MIN_SILENT_STREAMS
            && progress.last_event_at + max_silence < now
        {
            log::warn!(
                group,
                streams = progress.streams,
                silent_ms = (now - progress.last_event_at).as_millis() as u64;
                "group is stalled; refusing requests for it"
            );
            progress.next_probe_at = Some(now + PROBE_INTERVAL);
        }
        progress.next_probe_at.is_some_and(|at| now < at)
    }

    /// Records that a request was sent to `group`; in a stalled group it is the probe for a while.
    pub fn record_attempt(&mut self, group: &str, now: time::Duration) {
        let Some(progress) = self.groups.get_mut(group) else { return };
        if let Some(next_probe_at) = &mut progress.next_probe_at {
            *next_probe_at = now + PROBE_INTERVAL;
        }
    }
}
