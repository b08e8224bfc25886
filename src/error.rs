//! The error type of the crate. Each message is a full sentence that names the remedy.

use std::{io, net};

use crate::yaml;

/// An error of this crate; its message says what failed and what to do about it.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read or written.
    #[error("The file {path} cannot be used: {source}. Check its path and permissions.")]
    File {
        /// Path of the file, as the user gave it.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content of a YAML file is invalid.
    #[error("{}", format_findings(path, findings))]
    InvalidFile {
        /// Path of the file, as the user gave it.
        path: String,
        /// All errors in the file.
        findings: yaml::Findings,
    },
    /// A frame on a peer connection was larger than allowed.
    #[error(
        "A peer sent a frame of {size} bytes, over the limit of {limit}; \
         run the same version on all hosts."
    )]
    FrameTooLarge {
        /// Size of the frame, in bytes.
        size: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// A frame on a peer connection could not be decoded.
    #[error(
        "A peer sent a frame that cannot be decoded ({problem}); \
         run the same version on all hosts."
    )]
    Frame {
        /// Error of the decoder.
        problem: String,
    },
    /// A connection to a peer or a caller broke.
    #[error("The connection to {peer} broke: {problem}. Check that the process is running.")]
    Connection {
        /// The other end of the connection.
        peer: String,
        /// Error of the transport.
        problem: String,
    },
    /// A port could not be opened.
    #[error("Cannot listen on {address}: {source}. Choose a free address in the settings.")]
    Listen {
        /// The address from the settings.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A service of the platform was unreachable or did not answer in time.
    #[error("The platform's {service} is not available: {problem}. Retry once it is available.")]
    PlatformUnavailable {
        /// Name of the service: table, object store, host list or weight store.
        service: &'static str,
        /// Failure of the load balancer's request to the service.
        problem: String,
    },
    /// A conditional write failed because another writer had changed the row.
    #[error("The row {key} was changed by another writer; read it again and reapply the change.")]
    Conflict {
        /// Key of the row.
        key: String,
    },
    /// The command line is invalid.
    #[error("{problem}. See --help for usage.")]
    Usage {
        /// Description of the error in the arguments.
        problem: String,
    },
    /// A process rejected the operator's token.
    #[error(
        "The process at {address} rejected the token; \
         set KNAPWEEDFORD_TOKEN_FILE to a file with the token of its settings."
    )]
    TokenRejected {
        /// Address of the process.
        address: net::SocketAddr,
    },
    /// A process refused an operator's request.
    #[error("The process at {address} refused with status {status}: {problem}")]
    Refused {
        /// Address of the process.
        address: net::SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Message of the process, which includes the remedy.
        problem: String,
    },
    /// An order carried a fence that is lower than the highest one seen.
    #[error(
        "The order's fence {fence} is lower than the highest fence seen, {highest}; \
         another process holds the lease now and must send the order."
    )]
    StaleFence {
        /// Fence of the order.
        fence: u64,
        /// Highest fence seen so far.
        highest: u64,
    },
    /// An order arrived after its lease had expired.
    #[error("The order's lease has expired; renew the lease and decide again.")]
    ExpiredLease,
    /// The fence of a lease is unknown, because this process has not read its row since it
    /// started.
    #[error("The fence of {lease} has not been read from the table yet; send the order again.")]
    UnknownFence {
        /// Name of the lease.
        lease: String,
    },
    /// An idempotency key is empty or too long.
    #[error("The idempotency key has {size} bytes; use 1 to {limit}.")]
    InvalidIdempotencyKey {
        /// Size of the key, in bytes.
        size: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// A thread or a signal handler could not be started.
    #[error("Cannot start a thread: {source}. Raise the resource limits of the process.")]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread panicked.
    #[error("A thread of the process panicked; report the log and restart the process.")]
    ThreadPanicked,
    /// The settings lack something that the role needs.
    #[error("{problem}; add it to the settings.")]
    Settings {
        /// Description of what is missing.
        problem: &'static str,
    },
}

/// Formats each finding on a line of its own, prefixed with the path of its file.
fn format_findings(path: &str, findings: &yaml::Findings) -> String {
    findings.iter().map(|finding| format!("{path}:{finding}")).collect::<Vec<_>>().join("\n")
}
