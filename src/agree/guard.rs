//! The fence check in front of backend servers that do not check fences themselves.
//!
//! What remains possible: a pause between [`Guard::pass`] and the last byte
//! of the order on the loopback connection, bounded by that call's deadline;
//! and an old holder's order before the new holder's first, which the new
//! holder ends by sending its fence to all before it decides anything.

use std::time;

use crate::{Error, Result, agree::lease::Fence};

/// The table has not been read since this process started.
#[derive(Clone, Copy, Debug)]
pub struct FenceUnread;

/// The highest fence seen is known.
#[derive(Clone, Copy, Debug)]
pub struct FenceKnown {
    highest: Fence,
}

/// Passes orders of the latest holder of one lease only.
#[derive(Clone, Copy, Debug)]
pub struct Guard<S> {
    state: S,
}

impl Guard<FenceUnread> {
    /// Starts without any knowledge; no order passes.
    pub fn new() -> Self {
        Self { state: FenceUnread }
    }

    /// Takes the fence read from the lease's row.
    pub fn with_fence(self, fence: Fence) -> Guard<FenceKnown> {
        Guard { state: FenceKnown { highest: fence } }
    }

    /// Refuses, since nothing is known yet.
    pub fn check(&self, lease: &str) -> Result {
        Err(Error::UnknownFence { lease: lease.into() })
    }
}

impl Default for Guard<FenceUnread> {
    fn default() -> Self {
        Self::new()
    }
}

impl Guard<FenceKnown> {
    /// Passes an order with `fence` whose lease had `left` when it arrived.
    pub fn check(&mut self, fence: Fence, left: time::Duration) -> Result {
        let highest = self.state.highest;
        match fence {
            _ if fence < highest => Err(Error::StaleFence { fence: fence.0, highest: highest.0 }),
            _ if left.is_zero() => Err(Error::ExpiredLease),
            _ => {
                self.state.highest = fence;
                Ok(())
            }
        }
    }

    /// The highest fence seen.
    pub fn highest(&self) -> Fence {
        self.state.highest
    }
}
