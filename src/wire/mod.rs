//! Messages between processes of the system, sent as bincode frames on HTTP/2 streams.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{config, name};

pub mod frame;
pub mod gossip;

/// Version of these messages; both ends of a connection must have the same.
pub const VERSION: u32 = 1;

/// Path of the exchange that carries a [`Call`] and its [`Reply`] frames.
pub const CALL_PATH: &str = "/call";

/// Path of the exchange that carries one [`gossip::Message`] and the replies to it.
pub const GOSSIP_PATH: &str = "/gossip";

/// Identifier of one caller's request, unique across all entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A request as the entry sends it to the sidecar of the chosen backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// Identifier of the request.
    pub id: RequestId,
    /// Number of this attempt at the request.
    pub attempt: u32,
    /// Backend server that the call is for; the sidecar of another server refuses the call.
    pub server: name::Server,
    /// Service that the caller requested.
    pub service: name::Service,
    /// Kind of the service; the stream of a model group must end with `[DONE]`.
    pub kind: config::Kind,
    /// Caller's workspace.
    pub workspace: name::Workspace,
    /// Priority of the request: interactive or batch.
    pub priority: config::Priority,
    /// Time that remains until the caller's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Whether the call may be retried after it ran or may have run.
    pub repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Request headers that are passed to the backend server.
    pub headers: Vec<Header>,
    /// Whole request body.
    pub body: Vec<u8>,
    /// Position at which to continue a stream that another server began.
    pub resume: Option<Resume>,
    /// Highest configuration version that the entry knows.
    pub version: u64,
}

/// One HTTP header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// Position at which a stream continues.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resume {
    /// Number of events that the caller already has.
    pub events: u64,
    /// Number of bytes that the caller already has.
    pub bytes: u64,
}

/// Load of one backend server, reported by its sidecar in most [`Reply`] frames.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Incarnation of the backend server; a change means that the server restarted.
    pub incarnation: u64,
    /// Number of requests in flight at the server.
    pub in_flight: u32,
    /// Maximum number of requests in flight that the gate currently admits.
    pub limit: u32,
    /// Number of tokens in flight, as the engine last reported.
    pub tokens: u64,
    /// Whether the server has completed its cold start.
    pub warm: bool,
    /// Whether the server is leaving or has been taken out of service.
    pub leaving: bool,
}

/// The reason why a sidecar refused a call. A refused call did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The gate has reached its limit of requests in flight.
    Full,
    /// The zone or server is out of service, or the sidecar is leaving.
    Leaving,
    /// The call is for another server.
    WrongServer,
    /// The call's deadline cannot be met.
    TooLate,
    /// The backend server did not accept a connection, or the sidecar has no configuration yet.
    Unreachable,
}

/// Whether a request ran at a backend server, as far as this can be known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ran {
    /// The request certainly did not run.
    No,
    /// The request ran.
    Yes,
    /// The request may have run.
    Unknown,
}

/// One frame of a sidecar's reply to a [`Call`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The call was not admitted; nothing was sent to the backend server.
    Refused {
        /// Reason of the refusal.
        why: Refusal,
        /// Time after which a retry is useful, in milliseconds.
        retry_after_ms: u64,
        /// Current load of the backend server.
        load: Load,
        /// Highest configuration version that the sidecar knows.
        version: u64,
    },
    /// The gate admitted the call; the sidecar sends it to the backend server next.
    Admitted {
        /// Current load of the backend server.
        load: Load,
        /// Highest configuration version that the sidecar knows.
        version: u64,
    },
    /// The sidecar is still waiting for the backend server.
    Alive {
        /// Current load of the backend server.
        load: Load,
    },
    /// Status line and headers of the backend server's answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Answer headers that are passed to the caller.
        headers: Vec<Header>,
    },
    /// A part of the answer's body.
    Piece {
        /// Identifier of the request.
        id: RequestId,
        /// Offset of the data in the answer's body, in bytes.
        offset: u64,
        /// Number of complete events from the beginning of the body to the end of this piece; 0
        /// for plain bodies.
        events: u64,
        /// The bytes of this piece.
        data: Vec<u8>,
    },
    /// The answer is complete.
    End {
        /// Identifier of the request.
        id: RequestId,
        /// Length of the body, in bytes, including the part that earlier attempts sent.
        total: u64,
        /// xxh3 checksum of the bytes that this attempt sent.
        checksum: u64,
        /// Current load of the backend server.
        load: Load,
    },
    /// The call failed before its answer was complete: the backend server ended it or became
    /// unreachable.
    Failed {
        /// Whether the request ran.
        ran: Ran,
        /// Description of the failure.
        problem: String,
        /// Current load of the backend server.
        load: Load,
    },
}
