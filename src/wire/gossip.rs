//! Gossip messages, by which processes exchange the configuration and the membership.
//!
//! Every message carries a digest and a few membership updates, so that each contact
//! brings both ends closer to the same state. Only [`Body::Configuration`] and
//! [`Body::Members`] grow with the size of the site.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{
    agree::{edit, record},
    name,
};

/// One gossip message between two processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// Summary of the sender's state.
    pub digest: Digest,
    /// Membership updates, at most [`MAX_UPDATES`].
    pub updates: Vec<Member>,
    /// Purpose of the message and its content.
    pub body: Body,
}

/// Maximum number of membership updates in one message.
pub const MAX_UPDATES: usize = 8;

/// Number of buckets that the membership is divided into; they are compared by checksum.
pub const MEMBERSHIP_BUCKETS: usize = 64;

/// Summary of a process's state, short enough to go with every message.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Highest committed configuration version that the sender knows.
    pub version: u64,
    /// Checksum of the members that the sender believes to be in service.
    pub membership_checksum: u64,
    /// Orders to take a zone or server out of service that are not durable yet.
    pub pending: Vec<record::Pending>,
}

/// Purpose and content of a gossip message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks the receiver for a [`Body::Ack`], as a check that it is alive.
    Ping {
        /// Sequence number, returned in the acknowledgement.
        seq: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the ping.
        seq: u64,
    },
    /// Asks the receiver to ping a third process on the sender's behalf.
    IndirectPing {
        /// Sequence number, returned in the acknowledgement.
        seq: u64,
        /// Address of the process to ping.
        target: net::SocketAddr,
    },
    /// Carries no content besides the digest and the updates.
    DigestOnly,
    /// Asks the receiver for its configuration.
    RequestConfiguration {
        /// Whether the whole configuration is needed because edits do not apply at the sender.
        full: bool,
    },
    /// The committed configuration.
    Configuration(Box<record::Record>),
    /// The committed configuration, as edits to the version that the receiver has.
    ConfigurationEdits {
        /// Edits that lead from the receiver's configuration text to the latest one.
        edits: Vec<edit::Edit>,
        /// The committed record with an empty configuration text.
        rest: Box<record::Record>,
    },
    /// Asks for the whole state, because the sender has just started.
    Join,
    /// Checksums of the buckets of the sender's membership.
    BucketChecksums(Vec<u32>),
    /// Members of the buckets whose checksums differed.
    Members {
        /// The members.
        members: Vec<Member>,
        /// Buckets whose members the sender asks for in return.
        requested_buckets: Vec<u8>,
    },
}

/// One process as its peers know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Host that the process runs on.
    pub host: name::Host,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// Address at which the process accepts peer connections.
    pub peers: net::SocketAddr,
    /// Backend server that the process is the sidecar of; `None` for entries.
    pub server: Option<name::Server>,
    /// Number that grows with each restart and each refuted suspicion; 0 if the process is known
    /// only from the platform's host list.
    pub incarnation: u64,
    /// Random number drawn at start. A change means that the process restarted; a process that
    /// was only paused keeps it.
    pub boot: u64,
    /// Whether the process has announced that it is leaving.
    pub leaving: bool,
    /// Whether the process answers pings.
    pub health: Health,
}

/// Whether a process answers pings, as its peers see it.
///
/// Of two reports with the same incarnation, the later variant takes precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The process answers.
    Alive,
    /// The process has recently failed to answer.
    Suspect,
    /// The process has not answered for the whole suspicion time.
    Dead,
}
