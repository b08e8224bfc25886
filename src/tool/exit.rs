//! Exit codes of the tool.

use std::process;

use crate::Error;

/// How a run of the tool ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// `diff` found differences.
    Differs = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The configuration has errors; nothing was changed.
    InvalidConfig = 3,
    /// Another operator's change came first; nothing was changed.
    Conflict = 4,
    /// The process could not be reached or refused the request.
    Unreachable = 5,
    /// The platform is unavailable; nothing was changed.
    Unavailable = 6,
    /// The order is in force and spreading, but not durable yet.
    NotDurable = 7,
    /// It is not known whether the order took effect.
    Unknown = 8,
    /// `wait` timed out before the version was in force everywhere.
    Behind = 9,
    /// A file could not be read, or the tool failed for another reason.
    Failed = 10,
}

impl Exit {
    /// Returns the exit code for an error.
    pub fn for_error(err: &Error) -> Self {
        match err {
            Error::Usage { .. } => Self::Usage,
            Error::InvalidFile { .. } => Self::InvalidConfig,
            Error::Connection { .. } | Error::TokenRejected { .. } | Error::Refused { .. } => {
                Self::Unreachable
            }
            _ => Self::Failed,
        }
    }
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
