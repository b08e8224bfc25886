//! The outcome of a caller's request, as the metrics count it.

/// The way in which a request ended, as the caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer was complete.
    Complete,
    /// The request was refused before it ran.
    Refused,
    /// The request failed after it ran or may have run.
    Failed,
    /// The caller disconnected before the answer was complete.
    ClientGone,
}

impl Ending {
    /// Value of the label `ending` for this outcome.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::ClientGone => "gone",
        }
    }
}
