//! What processes of the system say to each other: bincode frames on h2 streams.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{config, name};

pub mod frame;
pub mod gossip;

/// Version of these messages; both ends must have the same.
pub const VERSION: u32 = 1;

/// Path of the exchange that carries a [`Call`] and its [`Reply`] frames.
pub const CALL_PATH: &str = "/call";

/// Path of the exchange that carries one [`gossip::Message`] and the answers to it.
pub const GOSSIP_PATH: &str = "/gossip";

/// Identity of one caller's request, unique over all entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A request as the entry hands it to the sidecar of the chosen backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// The request.
    pub id: RequestId,
    /// Counts up with each attempt at the same request.
    pub attempt: u32,
    /// The backend server meant; a sidecar of another refuses.
    pub server: name::Server,
    /// Service called.
    pub service: name::Service,
    /// What kind of back end serves it; a model engine's stream must end with `[DONE]`.
    pub kind: config::Kind,
    /// Caller's workspace.
    pub workspace: name::Workspace,
    /// Interactive or batch.
    pub priority: config::Priority,
    /// Time left to the caller's deadline, in milliseconds.
    pub left_ms: u64,
    /// Whether the call may be sent again.
    pub repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers passed through.
    pub headers: Vec<Header>,
    /// Whole request body.
    pub body: Vec<u8>,
    /// Where to go on in a stream that another server began.
    pub resume: Option<Resume>,
    /// Highest configuration version the entry knows.
    pub version: u64,
}

/// One HTTP header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Where a stream goes on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resume {
    /// Events that the caller already has.
    pub events: u64,
    /// Bytes that the caller already has.
    pub bytes: u64,
}

/// Load of one backend server, carried on every reply.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Incarnation of the backend server; a change means it restarted.
    pub incarnation: u64,
    /// Requests in flight at the server.
    pub in_flight: u32,
    /// Most requests the gate admits now.
    pub limit: u32,
    /// Tokens in flight, as the engine last reported.
    pub tokens: u64,
    /// Whether the server is past its cold start.
    pub warm: bool,
    /// Whether the server is leaving or out.
    pub leaving: bool,
}

/// Why a sidecar refused a call; the call did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The gate is at its limit.
    Full,
    /// The zone or server is out of service, or the sidecar is leaving.
    Leaving,
    /// The call names another server.
    WrongServer,
    /// The deadline cannot be met.
    TooLate,
    /// The backend server did not take a connection, or no configuration is known yet.
    Unreachable,
}

/// Whether a request ran at a backend server, as far as is known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ran {
    /// It provably did not run.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

/// What a sidecar answers to a [`Call`], frame by frame.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Not admitted; nothing was sent to the backend server.
    Refused {
        /// Why.
        why: Refusal,
        /// When trying again makes sense, in milliseconds.
        retry_after_ms: u64,
        /// Load now.
        load: Load,
        /// Highest configuration version the sidecar knows.
        version: u64,
    },
    /// The gate took the call; the backend server is asked next.
    Admitted {
        /// Load now.
        load: Load,
        /// Highest configuration version the sidecar knows.
        version: u64,
    },
    /// The sidecar still waits for the backend server.
    Alive {
        /// Load now.
        load: Load,
    },
    /// Status line and headers of the backend server's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers passed through.
        headers: Vec<Header>,
    },
    /// A piece of the answer's body.
    Piece {
        /// The request it belongs to.
        id: RequestId,
        /// Where it starts in the body, in bytes.
        offset: u64,
        /// Whole events up to the end of this piece; 0 for plain bodies.
        events: u64,
        /// The bytes.
        data: Vec<u8>,
    },
    /// The whole answer was sent.
    End {
        /// The request it belongs to.
        id: RequestId,
        /// Body length, in bytes, with what an earlier attempt sent.
        total: u64,
        /// xxh3 of the bytes that this attempt sent.
        checksum: u64,
        /// Load now.
        load: Load,
    },
    /// The backend server broke off.
    Broken {
        /// Whether the request ran.
        ran: Ran,
        /// What was seen.
        problem: String,
        /// Load now.
        load: Load,
    },
}
