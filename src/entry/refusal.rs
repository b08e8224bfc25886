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
    Bad(String),
    /// The body is too large.
    #[error("The request body is over {limit} bytes; send a smaller one.")]
    TooLarge {
        /// Largest body taken, in bytes.
        limit: u64,
    },
    /// The path names no service or no call of it.
    #[error("{0}")]
    Unknown(String),
    /// There is no room now.
    #[error("The service is at its limit; send the request again after the time in Retry-After.")]
    Busy {
        /// When a new try makes sense.
        after: time::Duration,
    },
    /// No backend server can take the call now.
    #[error("No backend server can take the call now; send it again after Retry-After.")]
    Unavailable {
        /// When a new try makes sense.
        after: time::Duration,
    },
    /// The platform's table is needed and cannot be reached.
    #[error("The call cannot be claimed while the table is down; send it again after Retry-After.")]
    Unclaimed {
        /// When a new try makes sense.
        after: time::Duration,
    },
    /// The same key was used with another body, or its outcome is not known.
    #[error("{problem}")]
    Claimed {
        /// What is known of the earlier call.
        problem: String,
        /// Whether that call ran.
        ran: wire::Ran,
    },
    /// The deadline passed.
    #[error("The deadline passed before the answer was complete; allow more time or ask for less.")]
    Late {
        /// Whether the request ran.
        ran: wire::Ran,
    },
    /// The backend server broke off and the call may not be sent again.
    #[error("The backend server broke off; send the request again only if it may be repeated.")]
    Broken {
        /// Whether the request ran.
        ran: wire::Ran,
    },
}

impl Refusal {
    /// Whether the request ran.
    pub fn ran(&self) -> wire::Ran {
        match self {
            Self::Claimed { ran, .. } | Self::Late { ran } | Self::Broken { ran } => *ran,
            _ => wire::Ran::No,
        }
    }

    /// Its label in metrics and logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Bad(_) => "bad",
            Self::TooLarge { .. } => "too-large",
            Self::Unknown(_) => "unknown",
            Self::Busy { .. } => "busy",
            Self::Unavailable { .. } => "unavailable",
            Self::Unclaimed { .. } => "unclaimed",
            Self::Claimed { .. } => "claimed",
            Self::Late { .. } => "late",
            Self::Broken { .. } => "broken",
        }
    }

    /// HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::Bad(_) => 400,
            Self::TooLarge { .. } => 413,
            Self::Unknown(_) => 404,
            Self::Busy { .. } => 429,
            Self::Unavailable { .. } | Self::Unclaimed { .. } => 503,
            Self::Claimed { .. } => 409,
            Self::Late { .. } => 504,
            Self::Broken { .. } => 502,
        }
    }

    /// The answer for the caller.
    pub fn response(&self) -> http::Response {
        let after = match self {
            Self::Busy { after } | Self::Unavailable { after } | Self::Unclaimed { after } => {
                Some(*after)
            }
            _ => None,
        };
        let mut res = http::answer::refusal(self.status(), &self.to_string(), after);
        mark(&mut res, self.ran());
        res
    }
}

/// Says in `res` whether the request ran.
pub fn mark(res: &mut http::Response, ran: wire::Ran) {
    let value = match ran {
        wire::Ran::No => "no",
        wire::Ran::Yes => "yes",
        wire::Ran::Unknown => "unknown",
    };
    res.headers_mut().insert(RAN_HEADER, hyper::header::HeaderValue::from_static(value));
}
