//! How a caller's request ended, for counting.

/// The end of a request, as the caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Answered whole.
    Complete,
    /// Refused before it ran.
    Refused,
    /// Failed after it ran or may have run.
    Failed,
    /// The caller went away.
    ClientGone,
}

impl Ending {
    /// Its label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::ClientGone => "gone",
        }
    }
}
