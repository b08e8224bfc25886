//! Fence check before an engine that may not check fences itself.

use crate::group::order;

/// Highest fence that orders of a group may carry, for a sidecar that guards its engine.
///
/// Engines that do not check fences stand behind it. After a restart it knows
/// nothing and passes no order until the lease's row was read.
#[derive(Clone, Copy, Debug, Default)]
pub struct FenceGuard {
    highest: Option<order::Fence>,
}

impl FenceGuard {
    /// The lease's row was read.
    pub fn raise_to(&mut self, fence: order::Fence) {
        self.highest = self.highest.max(Some(fence));
    }

    /// Whether an order may go on to the engine.
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
