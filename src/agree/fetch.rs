//! Requests for a configuration version that other processes have and this one lacks,
//! repeated until it is received.

use std::{net, time};

/// Delay before the first repeated request; doubles with each repetition.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Maximum delay between two requests.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Newest version known to exist, and the time of the next request for it.
#[derive(Clone, Debug, Default)]
pub struct ConfigFetch {
    version: u64,
    announcer: Option<net::SocketAddr>,
    retry_delay: time::Duration,
    next_request_at: time::Duration,
}

/// Recipients of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// The peer that announced the version.
    Announcer(net::SocketAddr),
    /// That peer and another one, since the first request was not answered.
    AnnouncerAndOther(net::SocketAddr),
    /// A few random peers, since the version was announced without the address of a peer.
    Random,
}

impl ConfigFetch {
    /// Records that `version` exists; `from` has it, if its address is known.
    pub fn record_version(&mut self, from: Option<net::SocketAddr>, version: u64) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.announcer = from.or(self.announcer);
    }

    /// Returns the recipients of the request due now, if any, while this process has version
    /// `current_version`.
    pub fn next_recipients(
        &mut self,
        now: time::Duration,
        current_version: u64,
    ) -> Option<Recipients> {
        if self.version <= current_version {
            self.retry_delay = time::Duration::ZERO;
            return None;
        }
        if !self.retry_delay.is_zero() && now < self.next_request_at {
            return None;
        }
        let first = self.retry_delay.is_zero();
        self.retry_delay = (self.retry_delay * 2).clamp(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        self.next_request_at = now + self.retry_delay;
        Some(match self.announcer {
            Some(announcer) if first => Recipients::Announcer(announcer),
            Some(announcer) => Recipients::AnnouncerAndOther(announcer),
            None => Recipients::Random,
        })
    }
}
