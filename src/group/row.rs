//! The group's row in the platform's table, which names the map that the group uses.

use serde::{Deserialize, Serialize};

use crate::group::{map, order};

/// The maps of a group as the table stores them. Map contents are in the object store, under
/// their digest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct GroupRow {
    /// Fence of the last writer.
    pub fence: order::Fence,
    /// Highest version ever proposed.
    #[serde(rename = "last")]
    pub last_version: u64,
    /// Map that the group uses when it starts.
    pub current: map::Id,
    /// Map that is being loaded while `current` is in use.
    pub next: Option<map::Id>,
    /// Map that was in use before `current`, for undo.
    pub previous: Option<map::Id>,
}

impl GroupRow {
    /// Returns the row with the map of `digest` proposed under a new version.
    pub fn propose(self, fence: order::Fence, digest: u64) -> Self {
        let next = map::Id { version: self.last_version + 1, digest };
        Self { fence, last_version: next.version, next: Some(next), ..self }
    }

    /// Returns the row with `id` in use.
    pub fn commit(self, fence: order::Fence, id: map::Id) -> Self {
        let previous = if id == self.current { self.previous } else { Some(self.current) };
        Self { fence, current: id, next: None, previous, ..self }
    }

    /// Returns the row without a proposal.
    pub fn abandon(self, fence: order::Fence) -> Self {
        Self { fence, next: None, ..self }
    }

    /// Whether no group will ever use `id` again. The answer holds even if this row is out of
    /// date, since versions only grow and are never reused.
    pub fn is_dead(&self, id: map::Id) -> bool {
        id.version <= self.last_version && id != self.current && Some(id) != self.next
    }
}
