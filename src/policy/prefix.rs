//! Hashes of a prompt's beginnings, by which requests with a common prefix are brought together.

use xxhash_rust::xxh3;

use crate::name;

/// Lengths of body beginnings that are hashed, in bytes.
const PREFIX_LENGTHS_BYTES: [usize; 5] = [512, 1024, 2048, 4096, 8192];

/// Keys of a request's prefixes, shortest first; empty for short bodies.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixKeys {
    keys: Vec<u64>,
}

impl PrefixKeys {
    /// Keys of the beginnings of `body`. Workspaces never share a key, so
    /// that one cannot learn of another's prompts from its latency.
    pub fn from_body(workspace: &name::Workspace, body: &[u8]) -> Self {
        let seed = xxh3::xxh3_64(workspace.as_str().as_bytes());
        let keys = PREFIX_LENGTHS_BYTES
            .iter()
            .take_while(|length| **length <= body.len())
            .map(|length| xxh3::xxh3_64_with_seed(&body[..*length], seed))
            .collect();
        Self { keys }
    }

    /// A chain of known keys, shortest prefix first.
    pub fn new(keys: Vec<u64>) -> Self {
        Self { keys }
    }

    /// Keys, shortest prefix first.
    pub fn keys(&self) -> &[u64] {
        &self.keys
    }

    /// Key of the shortest prefix: what most requests of a workspace share.
    pub fn shortest(&self) -> Option<u64> {
        self.keys.first().copied()
    }
}
