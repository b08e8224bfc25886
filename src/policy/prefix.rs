//! Hashes of a prompt's prefixes, used to route requests with a common prefix to the same server.

use xxhash_rust::xxh3;

use crate::name;

/// Lengths of the hashed body prefixes, in bytes.
const PREFIX_LENGTHS_BYTES: [usize; 5] = [512, 1024, 2048, 4096, 8192];

/// Keys of a request's prefixes, shortest first; empty for a body shorter than 512 bytes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixKeys {
    keys: Vec<u64>,
}

impl PrefixKeys {
    /// Computes the keys of the prefixes of `body`. Workspaces never share a key, so
    /// that no workspace can detect another's prompts by their latency.
    pub fn from_body(workspace: &name::Workspace, body: &[u8]) -> Self {
        let seed = xxh3::xxh3_64(workspace.as_str().as_bytes());
        let keys = PREFIX_LENGTHS_BYTES
            .iter()
            .take_while(|length| **length <= body.len())
            .map(|length| xxh3::xxh3_64_with_seed(&body[..*length], seed))
            .collect();
        Self { keys }
    }

    /// Wraps known keys, shortest prefix first.
    pub fn new(keys: Vec<u64>) -> Self {
        Self { keys }
    }

    /// Returns the keys, shortest prefix first.
    pub fn keys(&self) -> &[u64] {
        &self.keys
    }

    /// Returns the key of the shortest prefix, which most requests of a workspace share.
    pub fn shortest(&self) -> Option<u64> {
        self.keys.first().copied()
    }
}
