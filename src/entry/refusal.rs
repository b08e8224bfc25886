//! An answer that is not the backend server's.

use std::time;

use crate::{http, wire};

/// Header that says whether the request ran.
pub const RAN_HEADER: &str = "ran";

/// Why a request gets no answer from a backend server.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The request itself is wrong.
    #[error("{0}")]
    BadRequest(String),
    /// The body is too large.
    #[error("The request body is over {limit} bytes; send a smaller one.")]
    TooLarge {
        /// Largest body taken, in bytes.
        limit: u64,
    },
    /// The path names no service or no call of it.
    #[error("{0}")]
    UnknownCall(String),
    /// There is no room now.
    #[error(
        "The service is at its limit; send the request again retry_after the time in Retry-After."
    )]
    Busy {
        /// When a new try makes sense.
        retry_after: time::Duration,
    },
    /// No backend server can take the call now.
    #[error("No backend server can take the call now; send it again retry_after Retry-After.")]
    Unavailable {
        /// When a new try makes sense.
        retry_after: time::Duration,
    },
    /// The platform's table is needed and cannot be reached.
    #[error(
        "The call cannot be claimed while the table is down; send it again retry_after Retry-After."
    )]
    ClaimsUnavailable {
        /// When a new try makes sense.
        retry_after: time::Duration,
    },
    /// The same key was used with another body, or its outcome is not known.
    #[error("{problem}")]
    KeyConflict {
        /// What is known of the earlier call.
        problem: String,
        /// Whether that call ran.
        ran: wire::Ran,
    },
    /// The deadline passed.
    #[error("The deadline passed before the answer was complete; allow more time or ask for less.")]
    DeadlinePassed {
        /// Whether the request ran.
        ran: wire::Ran,
    },
    /// The backend server broke off and the call may not be sent again.
    #[error("The backend server broke off; send the request again only if it may be repeated.")]
    ServerFailed {
        /// Whether the request ran.
        ran: wire::Ran,
    },
}

impl Refusal {
    /// Whether the request ran.
    pub fn ran(&self) -> wire::Ran {
        match self {
            Self::KeyConflict { ran, .. }
            | Self::DeadlinePassed { ran }
            | Self::ServerFailed { ran } => *ran,
            _ => wire::Ran::No,
        }
    }

    /// Its label in metrics and logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad",
            Self::TooLarge { .. } => "too-large",
            Self::UnknownCall(_) => "unknown",
            Self::Busy { .. } => "busy",
            Self::Unavailable { .. } => "unavailable",
            Self::ClaimsUnavailable { .. } => "unclaimed",
            Self::KeyConflict { .. } => "claimed",
            Self::DeadlinePassed { .. } => "late",
            Self::ServerFailed { .. } => "broken",
        }
    }

    /// HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadRequest(_) => 400,
            Self::TooLarge { .. } => 413,
            Self::UnknownCall(_) => 404,
            Self::Busy { .. } => 429,
            Self::Unavailable { .. } | Self::ClaimsUnavailable { .. } => 503,
            Self::KeyConflict { .. } => 409,
            Self::DeadlinePassed { .. } => 504,
            Self::ServerFailed { .. } => 502,
        }
    }

    /// The answer for the caller.
    pub fn to_response(&self) -> http::Response {
        let retry_after = match self {
            Self::Busy { retry_after }
            | Self::Unavailable { retry_after }
            | Self::ClaimsUnavailable { retry_after } => Some(*retry_after),
            _ => None,
        };
        let mut res = http::answer::refusal(self.status(), &self.to_string(), retry_after);
        set_ran_header(&mut res, self.ran());
        res
    }
}

/// Says in `res` whether the request ran.
pub fn set_ran_header(res: &mut http::Response, ran: wire::Ran) {
    let value = match ran {
        wire::Ran::No => "no",
        wire::Ran::Yes => "yes",
        wire::Ran::Unknown => "unknown",
    };
    res.headers_mut().insert(RAN_HEADER, hyper::header::HeaderValue::from_static(value));
}
