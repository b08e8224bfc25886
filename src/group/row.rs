//! The group's row in the platform's table: which map it is to use.

use serde::{Deserialize, Serialize};

use crate::group::{map, order};

/// What the table knows of a group's map. Contents stand in the object store by digest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct GroupRow {
    /// Fence of the last writer.
    pub fence: order::Fence,
    /// Highest version ever proposed.
    #[serde(rename = "last")]
    pub last_version: u64,
    /// Map that a group takes when it starts.
    pub current: map::Id,
    /// Map being loaded beside it.
    pub next: Option<map::Id>,
    /// Map before `current`, for undo.
    pub previous: Option<map::Id>,
}

impl GroupRow {
    /// With a map of `digest` proposed under a new version.
    pub fn propose(self, fence: order::Fence, digest: u64) -> Self {
        let next = map::Id { version: self.last_version + 1, digest };
        Self { fence, last_version: next.version, next: Some(next), ..self }
    }

    /// With `id` in use.
    pub fn commit(self, fence: order::Fence, id: map::Id) -> Self {
        let previous = if id == self.current { self.previous } else { Some(self.current) };
        Self { fence, current: id, next: None, previous, ..self }
    }

    /// With nothing proposed.
    pub fn abandon(self, fence: order::Fence) -> Self {
        Self { fence, next: None, ..self }
    }

    /// Whether no group will ever use `id` again, however old this row is.
    pub fn is_dead(&self, id: map::Id) -> bool {
        id.version <= self.last_version && id != self.current && Some(id) != self.next
    }
}
