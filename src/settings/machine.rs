//! Size of the machine that a process runs on, and the limits that follow from it.

use crate::yaml::{Findings, MapReader, Node, Read};

/// Default memory of a machine, in megabytes: that of the smallest machine of any site.
const DEFAULT_MEMORY_MB: u64 = 112;
/// Default number of descriptors of a process: that of the smallest machine of any site.
const DEFAULT_DESCRIPTORS: u32 = 2_870;
/// Smallest memory with which a process serves the largest request, in megabytes.
const MIN_MEMORY_MB: u64 = 32;
/// Smallest number of descriptors that leaves some for clients.
const MIN_DESCRIPTORS: u32 = 512;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u32 = 200;

/// Part of the clients' memory that bodies and answers may take; the rest is for connections, so that
/// their requests can be refused with an answer.
const CONTENT_SHARE: f64 = 0.75;

/// Memory and descriptors that the machine gives to the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Descriptors, including those for files.
    pub descriptors: u32,
}

impl Machine {
    /// Memory that may be held for clients, in bytes. The other half is for the process itself, for
    /// connections that are idle, and for what the allocator cannot reuse.
    pub fn client_memory_bytes(&self) -> usize {
        usize::try_from(self.memory_mb).unwrap_or(usize::MAX).saturating_mul(1_000_000) / 2
    }

    /// Memory that bodies and answers of clients may take, in bytes.
    pub fn client_content_bytes(&self) -> usize {
        (self.client_memory_bytes() as f64 * CONTENT_SHARE) as usize
    }

    /// Largest number of connections of clients.
    pub fn client_connections(&self) -> usize {
        self.sockets() * 5 / 8
    }

    /// Largest number of connections to backend servers, with idle ones.
    pub fn server_connections(&self) -> usize {
        self.sockets() / 4
    }

    fn sockets(&self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS) as usize
    }

    /// Adds a finding for each value with which a process cannot serve clients.
    pub(super) fn check(&self, node: &Node, findings: &mut Findings) {
        if self.memory_mb < MIN_MEMORY_MB {
            let problem =
                format!("{} MB of memory do not hold the largest request", self.memory_mb);
            let remedy = format!("Write `memory-mb` of at least {MIN_MEMORY_MB}");
            findings.add(node.mark_at(&["machine", "memory-mb"]), problem, remedy);
        }
        if self.descriptors < MIN_DESCRIPTORS {
            let problem = format!("{} descriptors leave too few for clients", self.descriptors);
            let remedy = format!("Write `descriptors` of at least {MIN_DESCRIPTORS}");
            findings.add(node.mark_at(&["machine", "descriptors"]), problem, remedy);
        }
    }
}

impl Default for Machine {
    fn default() -> Self {
        Self { memory_mb: DEFAULT_MEMORY_MB, descriptors: DEFAULT_DESCRIPTORS }
    }
}

impl Read for Machine {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["memory-mb", "descriptors"], findings)?;
        let memory_mb = table.optional("memory-mb", DEFAULT_MEMORY_MB, findings);
        let descriptors = table.optional("descriptors", DEFAULT_DESCRIPTORS, findings);
        Some(Self { memory_mb: memory_mb?, descriptors: descriptors? })
    }
}
