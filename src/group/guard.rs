//! Fence check on behalf of an engine that does not check fences itself.

use crate::group::order;

/// The highest fence seen for a group, kept by the sidecar of an engine that does not check fences.
///
/// After a restart the sidecar knows no fence, and the guard rejects every order until the row of
/// the lease has been read: an order of an earlier lease holder could otherwise get through.
#[derive(Clone, Copy, Debug, Default)]
pub struct FenceGuard {
    highest: Option<order::Fence>,
}

impl FenceGuard {
    /// Raises the highest fence to the one that was read from the row of the lease.
    pub fn raise_to(&mut self, fence: order::Fence) {
        self.highest = self.highest.max(Some(fence));
    }

    /// Records the fence of an order and returns whether the order may be passed to the engine.
    pub fn admit(&mut self, fence: order::Fence) -> bool {
        match self.highest {
            Some(highest) if fence >= highest => {
                self.highest = Some(fence);
                true
            }
            _ => false,
        }
    }
}
