//! Fence check in front of backend servers that do not check fences themselves.
//!
//! Two cases remain in which an order of a former holder takes effect:
//!
//! - The process is paused between [`Guard::check`] and the last byte of the order on the loopback
//!   connection. The deadline of that call limits the pause.
//! - The order of the former holder arrives before the first order of the new holder. The new
//!   holder ends this case by sending its fence to all servers before it decides anything.

use std::time;

use crate::{Error, Result, agree::lease::Fence};

/// State of a guard that has not read the lease's row since the process started.
#[derive(Clone, Copy, Debug)]
pub struct FenceUnread;

/// State of a guard that knows the highest fence seen.
#[derive(Clone, Copy, Debug)]
pub struct FenceKnown {
    highest: Fence,
}

/// Accepts only orders of the latest holder of one lease.
#[derive(Clone, Copy, Debug)]
pub struct Guard<S> {
    state: S,
}

impl Guard<FenceUnread> {
    /// Creates a guard that has not read the lease's row and accepts no order.
    pub fn new() -> Self {
        Self { state: FenceUnread }
    }

    /// Starts to accept orders, from the fence read from the lease's row.
    pub fn with_fence(self, fence: Fence) -> Guard<FenceKnown> {
        Guard { state: FenceKnown { highest: fence } }
    }

    /// Refuses any order, since the fence of the latest holder is not known yet.
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
    /// Accepts an order with `fence`, whose lease had `time_left` when the order arrived. The error
    /// says whether the fence is below the highest one seen or the lease had expired.
    pub fn check(&mut self, fence: Fence, time_left: time::Duration) -> Result {
        let highest = self.state.highest;
        match fence {
            _ if fence < highest => Err(Error::StaleFence { fence: fence.0, highest: highest.0 }),
            _ if time_left.is_zero() => Err(Error::ExpiredLease),
            _ => {
                self.state.highest = fence;
                Ok(())
            }
        }
    }

    /// Highest fence seen.
    pub fn highest(&self) -> Fence {
        self.state.highest
    }
}
