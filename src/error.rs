//! Every error of the crate, each with a message that names the remedy.

use std::{io, net};

use crate::yaml;

/// A typed failure; the message is a full sentence that says what to do.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read or written.
    #[error("Could not use the file {path}: {source}. Check that it exists and is readable.")]
    File {
        /// The file, as the user named it.
        path: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// A YAML file does not say what it must.
    #[error("{}", place(path, findings))]
    InvalidFile {
        /// The file, as the user named it.
        path: String,
        /// Every fault in it.
        findings: yaml::Findings,
    },
    /// A frame on a peer connection was larger than allowed.
    #[error("A peer sent a frame of {size} bytes, over the limit of {limit}; upgrade both ends.")]
    FrameTooLarge {
        /// Size that the peer announced, in bytes.
        size: usize,
        /// Largest size taken, in bytes.
        limit: usize,
    },
    /// A frame on a peer connection could not be decoded.
    #[error("A peer sent a frame that does not decode ({problem}); run one version everywhere.")]
    Frame {
        /// What the decoder said.
        problem: String,
    },
    /// A connection to a peer or a caller broke.
    #[error("The connection to {peer} broke: {problem}. Check that the process is running.")]
    Connection {
        /// The other end.
        peer: String,
        /// What the transport said.
        problem: String,
    },
    /// A port could not be opened.
    #[error("Could not listen on {address}: {source}. Choose a free address in the settings.")]
    Listen {
        /// The address from the settings.
        address: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// The platform's service did not answer in time or was unreachable.
    #[error("The platform's {service} is not available: {problem}. Try again when it is back.")]
    PlatformUnavailable {
        /// Which service: table, object store, host list or weight store.
        service: &'static str,
        /// What the client saw.
        problem: String,
    },
    /// A conditional write lost against another writer.
    #[error("The row {key} was changed by another writer; read it again and reapply the change.")]
    Conflict {
        /// The row's key.
        key: String,
    },
    /// The command line could not be understood.
    #[error("{problem}. See --help for usage.")]
    Usage {
        /// What is wrong with the arguments.
        problem: String,
    },
    /// A process did not take the operator's token.
    #[error(
        "The process at {address} does not take the token; \
         set KNAPWEEDFORD_TOKEN_FILE to a file with the token of its settings."
    )]
    TokenRejected {
        /// The process.
        address: net::SocketAddr,
    },
    /// A process refused an operator's request.
    #[error("The process at {address} refused with status {status}: {problem}")]
    Refused {
        /// The process.
        address: net::SocketAddr,
        /// HTTP status.
        status: u16,
        /// What it said, with the remedy.
        problem: String,
    },
    /// An order carried a fence older than one already seen.
    #[error("The order's fence {fence} is older than {highest}; another holds the lease now.")]
    StaleFence {
        /// Fence of the order.
        fence: u64,
        /// Highest fence seen.
        highest: u64,
    },
    /// An order arrived after its lease had lapsed.
    #[error("The order's lease has lapsed; renew it and decide again.")]
    ExpiredLease,
    /// The lease's row has not been read since this process started.
    #[error("The fence of {lease} has not been read from the table yet; send the order again.")]
    UnknownFence {
        /// The lease's name.
        lease: String,
    },
    /// An idempotency key is empty or too long.
    #[error("The idempotency key has {size} bytes; use 1 to {limit}.")]
    InvalidIdempotencyKey {
        /// Its size.
        size: usize,
        /// Largest size.
        limit: usize,
    },
    /// A thread or a signal handler could not be started.
    #[error("Could not start a thread: {source}. Raise the limits of the process.")]
    Thread {
        /// What the operating system said.
        source: io::Error,
    },
    /// A thread ended by a panic.
    #[error("A thread of the process panicked; report the log, and restart the process.")]
    ThreadPanicked,
    /// The settings do not fit the role.
    #[error("{problem}; add it to the settings.")]
    Settings {
        /// What is missing.
        problem: &'static str,
    },
}

/// Each finding on a line of its own, after the file it is in.
fn place(path: &str, findings: &yaml::Findings) -> String {
    findings.iter().map(|finding| format!("{path}:{finding}")).collect::<Vec<_>>().join("\n")
}
