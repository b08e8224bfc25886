//! What processes tell each other of the configuration and of each other.
//!
//! Every message carries a digest and a few news of members, so that each
//! contact teaches both ends; only [`Body::Configuration`] and [`Body::Members`]
//! grow with the site.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{
    agree::{edit, record},
    name,
};

/// One message between two processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// What the sender knows.
    pub digest: Digest,
    /// News of members, bounded by [`MAX_UPDATES`].
    pub updates: Vec<Member>,
    /// What the message is for.
    pub body: Body,
}

/// Most news of members on one message.
pub const MAX_UPDATES: usize = 8;

/// Parts of the roster that are compared by checksum.
pub const MEMBERSHIP_BUCKETS: usize = 64;

/// What a process knows, in short.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Highest committed configuration version.
    pub version: u64,
    /// Checksum of the members it believes in service.
    pub membership_checksum: u64,
    /// Orders to take something out that are not yet durable.
    pub pending: Vec<record::Pending>,
}

/// What a message is for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Are you there?
    Ping {
        /// Comes back with the answer.
        seq: u64,
    },
    /// Yes.
    Ack {
        /// From the ping.
        seq: u64,
    },
    /// Ask another whether it is there.
    IndirectPing {
        /// Comes back with the answer.
        seq: u64,
        /// Whom to ask.
        target: net::SocketAddr,
    },
    /// The digest says it all.
    DigestOnly,
    /// Send the configuration.
    RequestConfiguration {
        /// Whether edits of the text that the sender has will not do.
        full: bool,
    },
    /// The configuration as committed.
    Configuration(Box<record::Record>),
    /// The configuration as committed, for a process that has a text before it.
    ConfigurationEdits {
        /// What leads from the receiver's text to the latest.
        edits: Vec<edit::Edit>,
        /// Everything else; its text is empty.
        rest: Box<record::Record>,
    },
    /// Send everything; the sender has just started.
    Join,
    /// Checksums of the parts of the sender's roster.
    BucketChecksums(Vec<u32>),
    /// Members of parts that differed.
    Members {
        /// The members.
        members: Vec<Member>,
        /// Parts that the sender wants back.
        requested_buckets: Vec<u8>,
    },
}

/// One process as its peers know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its address for other processes.
    pub peers: net::SocketAddr,
    /// The backend server beside it; `None` for entries.
    pub server: Option<name::Server>,
    /// Grows with each restart and each refutation; 0 if only listed by the platform.
    pub incarnation: u64,
    /// Drawn at start; a change means a restart, not a pause.
    pub boot: u64,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// Whether it answers.
    pub health: Health,
}

/// Whether a process answers, as its peers see it. The order is that of precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It did not answer for long.
    Dead,
}
