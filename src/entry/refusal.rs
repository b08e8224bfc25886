//! Error answers that the entry generates itself.

use std::time;

use crate::{http, wire};

/// Header that states whether the request ran.
pub const RAN_HEADER: &str = "ran";

/// Reason why a request gets no answer from a backend server.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The request is malformed.
    #[error("{0}")]
    BadRequest(String),
    /// The request body is too large.
    #[error("The request body is over {limit} bytes; send a smaller one.")]
    TooLarge {
        /// Largest accepted body, in bytes.
        limit: u64,
    },
    /// There is no memory for the request.
    #[error("There is no memory for the request now; send it again after Retry-After.")]
    NoRoom {
        /// Time after which a retry makes sense.
        retry_after: time::Duration,
    },
    /// The configuration has no such service, or the service has no such call.
    #[error("{0}")]
    UnknownCall(String),
    /// The service is at its limit.
    #[error("The service is at its limit; send the request again after the time in Retry-After.")]
    Busy {
        /// Time after which a retry makes sense.
        retry_after: time::Duration,
    },
    /// No backend server can take the call now.
    #[error("No backend server can take the call now; send it again after Retry-After.")]
    Unavailable {
        /// Time after which a retry makes sense.
        retry_after: time::Duration,
    },
    /// The platform's table, in which the call must be claimed, is unavailable.
    #[error("The call cannot be claimed while the table is down; send it again after Retry-After.")]
    ClaimsUnavailable {
        /// Time after which a retry makes sense.
        retry_after: time::Duration,
    },
    /// The idempotency key was used for another request, or the outcome of the earlier call with
    /// the key is unknown or cannot be read.
    #[error("{problem}")]
    KeyConflict {
        /// What is known of the earlier call, for the caller.
        problem: String,
        /// Whether the earlier call ran.
        ran: wire::Ran,
    },
    /// The deadline passed before the answer was complete.
    #[error("The deadline passed before the answer was complete; allow more time or ask for less.")]
    DeadlinePassed {
        /// Whether the request ran.
        ran: wire::Ran,
    },
    /// The backend server failed before its answer was complete, and the call is not retried.
    #[error("The backend server broke off; send the request again only if it may be repeated.")]
    ServerFailed {
        /// Whether the request ran.
        ran: wire::Ran,
    },
}

impl Refusal {
    /// Returns whether the request ran.
    pub fn ran(&self) -> wire::Ran {
        match self {
            Self::KeyConflict { ran, .. }
            | Self::DeadlinePassed { ran }
            | Self::ServerFailed { ran } => *ran,
            _ => wire::Ran::No,
        }
    }

    /// Returns the label in metrics and logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad",
            Self::TooLarge { .. } => "too-large",
            Self::NoRoom { .. } => "no-memory",
            Self::UnknownCall(_) => "unknown",
            Self::Busy { .. } => "busy",
            Self::Unavailable { .. } => "unavailable",
            Self::ClaimsUnavailable { .. } => "unclaimed",
            Self::KeyConflict { .. } => "claimed",
            Self::DeadlinePassed { .. } => "late",
            Self::ServerFailed { .. } => "broken",
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadRequest(_) => 400,
            Self::TooLarge { .. } => 413,
            Self::UnknownCall(_) => 404,
            Self::Busy { .. } => 429,
            Self::NoRoom { .. } | Self::Unavailable { .. } | Self::ClaimsUnavailable { .. } => 503,
            Self::KeyConflict { .. } => 409,
            Self::DeadlinePassed { .. } => 504,
            Self::ServerFailed { .. } => 502,
        }
    }

    /// Creates the response to the caller.
    pub fn to_response(&self) -> http::Response {
        let retry_after = match self {
            Self::Busy { retry_after }
            | Self::NoRoom { retry_after }
            | Self::Unavailable { retry_after }
            | Self::ClaimsUnavailable { retry_after } => Some(*retry_after),
            _ => None,
        };
        let mut res = http::answer::refusal(self.status(), &self.to_string(), retry_after);
        set_ran_header(&mut res, self.ran());
        res
    }
}

/// Sets the header of `res` that states whether the request ran.
pub fn set_ran_header(res: &mut http::Response, ran: wire::Ran) {
    let value = match ran {
        wire::Ran::No => "no",
        wire::Ran::Yes => "yes",
        wire::Ran::Unknown => "unknown",
    };
    res.headers_mut().insert(RAN_HEADER, hyper::header::HeaderValue::from_static(value));
}
