//! This gateway's part of the bound on retries that all gateways share.

use std::time;

use super::Window;
use crate::settings::site::Retries;

/// Part of the bound that is used, so that windows that start at another moment keep it too.
const USED: f64 = 0.8;
/// The same within the first window after the process began: the one before it may have used its
/// whole part in that window.
const USED_AT_FIRST: f64 = 0.2;

/// Retries of one service.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: Retries,
    firsts: Window,
    retries: Window,
}

impl Budget {
    /// Nothing sent yet. Times given later are counted from the start of the process.
    pub fn new(terms: Retries) -> Self {
        Self { terms, firsts: Window::new(terms.window), retries: Window::new(terms.window) }
    }

    /// Counts a request's first attempt.
    pub fn first(&mut self, now: time::Duration) {
        self.firsts.add(now);
    }

    /// Takes one retry; `false` if none is left. `gateways` share what no request pays for.
    pub fn retry(&mut self, now: time::Duration, gateways: usize) -> bool {
        let free = self.terms.free / gateways.max(1) as f64;
        let used = if now < self.terms.window { USED_AT_FIRST } else { USED };
        let most = used * (self.terms.share * self.firsts.count(now) as f64 + free);
        let granted = self.retries.count(now) as f64 + 1.0 <= most;
        if granted {
            self.retries.add(now);
        }
        granted
    }
}
