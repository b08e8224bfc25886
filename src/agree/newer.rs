//! A version that others have and this process lacks, asked for until it is here.

use std::{net, time};

/// Time until the first repeated request; doubles with each.
const FIRST_RETRY: time::Duration = time::Duration::from_millis(500);

/// Most time between two requests.
const MOST_RETRY: time::Duration = time::Duration::from_secs(2);

/// The newest version heard of, and when to ask for it next.
#[derive(Clone, Debug, Default)]
pub struct Newer {
    version: u64,
    teller: Option<net::SocketAddr>,
    retry: time::Duration,
    due: time::Duration,
}

/// Whom to ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Whom {
    /// The peer that announced the version.
    Teller(net::SocketAddr),
    /// That peer and another one, since the first request went unanswered.
    Both(net::SocketAddr),
    /// Any few; nobody reachable told of it.
    Any,
}

impl Newer {
    /// Notes that `version` exists; `from` has it, if known.
    pub fn note(&mut self, from: Option<net::SocketAddr>, version: u64) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.teller = from.or(self.teller);
    }

    /// Whom to ask now, if anybody, while only `have` is here.
    pub fn ask(&mut self, now: time::Duration, have: u64) -> Option<Whom> {
        if self.version <= have {
            self.retry = time::Duration::ZERO;
            return None;
        }
        if !self.retry.is_zero() && now < self.due {
            return None;
        }
        let first = self.retry.is_zero();
        self.retry = (self.retry * 2).clamp(FIRST_RETRY, MOST_RETRY);
        self.due = now + self.retry;
        Some(match self.teller {
            Some(teller) if first => Whom::Teller(teller),
            Some(teller) => Whom::Both(teller),
            None => Whom::Any,
        })
    }
}
