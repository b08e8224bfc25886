//! A version that others have and this process lacks, asked for until it is here.

use std::{net, time};

/// Time until the first repeated request; doubles with each.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Most time between two requests.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// The newest version heard of, and when to ask for it next.
#[derive(Clone, Debug, Default)]
pub struct ConfigFetch {
    version: u64,
    announcer: Option<net::SocketAddr>,
    retry_delay: time::Duration,
    next_request_at: time::Duration,
}

/// Whom to ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// The peer that announced the version.
    Announcer(net::SocketAddr),
    /// That peer and another one, since the first request went unanswered.
    AnnouncerAndOther(net::SocketAddr),
    /// Any few; nobody reachable told of it.
    Random,
}

impl ConfigFetch {
    /// Notes that `version` exists; `from` has it, if known.
    pub fn record_version(&mut self, from: Option<net::SocketAddr>, version: u64) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.announcer = from.or(self.announcer);
    }

    /// Whom to ask now, if anybody, while only `have` is here.
    pub fn next_recipients(&mut self, now: time::Duration, have: u64) -> Option<Recipients> {
        if self.version <= have {
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
            Some(teller) if first => Recipients::Announcer(teller),
            Some(teller) => Recipients::AnnouncerAndOther(teller),
            None => Recipients::Random,
        })
    }
}
