//! The configuration row of the platform's table and the changes to it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{cloud, config, name};

/// Key of the row in the platform's table.
pub const KEY: &str = "config";

/// Maximum number of changes in the row's history.
const MAX_HISTORY: usize = 64;

/// Maximum number of settled orders that the row lists in addition to its history.
const MAX_SETTLED: usize = 256;

/// Id of one operator's order, drawn at random.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// Zone or server that operators take out of service or bring back.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// An availability zone.
    Zone(name::Zone),
    /// A backend server.
    Server(name::Server),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(zone) => write!(f, "zone {zone}"),
            Self::Server(server) => write!(f, "server {server}"),
        }
    }
}

/// Order to take something out that is in force but not yet in the table.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pending {
    /// Id of the order.
    pub op: OrderId,
    /// Zone or server that is out.
    pub target: Target,
    /// Host whose operators' port received the order.
    pub by: name::Host,
}

/// Kind of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A new configuration text was put in force.
    Apply,
    /// The target was taken out of service.
    Out(Target),
    /// The target was brought back into service.
    In(Target),
}

/// Committed change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Version that the change created.
    pub version: u64,
    /// Id of the order that made the change.
    pub op: OrderId,
    /// Host whose operators' port received the order.
    pub by: name::Host,
    /// Kind and target of the change.
    pub what: ChangeKind,
}

/// The configuration row. A serialized [`config::Committed`] also parses as one, without a history.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Record {
    /// Version, increased by one with each commit; 0 means that nothing has been committed.
    pub version: u64,
    /// Version in which the text last changed.
    pub text_version: u64,
    /// The operators' text, unchanged.
    pub text: String,
    /// Zones and servers that operators have taken out.
    pub out: config::OutOfService,
    /// Latest changes, oldest first.
    pub history: Vec<Change>,
    /// Settled orders to take something out, oldest first.
    pub settled: Vec<OrderId>,
    /// Tag of this row in the table, if known; `None` in the row's own text.
    pub tag: Option<cloud::Etag>,
}

impl Record {
    /// Returns the part that is in force.
    pub fn committed(&self) -> config::Committed {
        config::Committed { version: self.version, text: self.text.clone(), out: self.out.clone() }
    }

    /// Returns the row with an empty text.
    pub fn without_text(&self) -> Self {
        Self {
            text: String::new(),
            out: self.out.clone(),
            history: self.history.clone(),
            settled: self.settled.clone(),
            tag: self.tag.clone(),
            ..*self
        }
    }

    /// Returns the version in which `op` was committed, if the history still contains it.
    pub fn version_of(&self, op: OrderId) -> Option<u64> {
        self.history.iter().find(|change| change.op == op).map(|change| change.version)
    }

    /// Returns the version that introduced the text of `version`, if the history still contains it.
    pub fn text_version_at(&self, version: u64) -> Option<u64> {
        if version >= self.text_version {
            return Some(self.text_version);
        }
        let changes = self.history.iter().rev().filter(|change| change.version <= version);
        changes
            .into_iter()
            .find(|change| change.what == ChangeKind::Apply)
            .map(|change| change.version)
    }

    /// Whether the order to take something out is in the row, or overridden by a later one.
    pub fn is_settled(&self, op: OrderId) -> bool {
        self.settled.contains(&op) || self.version_of(op).is_some()
    }

    /// Returns the latest change to `target` after version `since`.
    pub fn last_change_to(&self, target: &Target, since: u64) -> Option<&Change> {
        self.history.iter().rev().take_while(|change| change.version > since).find(
            |change| matches!(&change.what, ChangeKind::Out(t) | ChangeKind::In(t) if t == target),
        )
    }

    /// Returns the next row, with a new text.
    pub fn apply(&self, op: OrderId, by: &name::Host, text: &str) -> Self {
        let mut next = self.next_version(op, by, ChangeKind::Apply);
        next.text = text.into();
        next.text_version = next.version;
        next
    }

    /// Returns the next row, with `target` out.
    pub fn take_out(&self, op: OrderId, by: &name::Host, target: &Target) -> Self {
        let mut next = self.next_version(op, by, ChangeKind::Out(target.clone()));
        add_target(&mut next.out, target);
        next.add_settled([op]);
        next
    }

    /// Returns the next row, with `target` back in service and the `overridden` orders to take it
    /// out settled.
    pub fn bring_in(
        &self,
        op: OrderId,
        by: &name::Host,
        target: &Target,
        overridden: impl IntoIterator<Item = OrderId>,
    ) -> Self {
        let mut next = self.next_version(op, by, ChangeKind::In(target.clone()));
        match target {
            Target::Zone(zone) => next.out.zones.remove(zone),
            Target::Server(server) => next.out.servers.remove(server),
        };
        next.add_settled(overridden);
        next
    }

    fn next_version(&self, op: OrderId, by: &name::Host, what: ChangeKind) -> Self {
        let mut next = self.clone();
        next.version += 1;
        next.tag = None;
        next.history.push(Change { version: next.version, op, by: by.clone(), what });
        let excess = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..excess);
        next
    }

    fn add_settled(&mut self, ops: impl IntoIterator<Item = OrderId>) {
        self.settled.extend(ops);
        let excess = self.settled.len().saturating_sub(MAX_SETTLED);
        self.settled.drain(..excess);
    }
}

/// Adds `target` to `out`.
pub fn add_target(out: &mut config::OutOfService, target: &Target) {
    match target {
        Target::Zone(zone) => out.zones.insert(zone.clone()),
        Target::Server(server) => out.servers.insert(server.clone()),
    };
}

/// Configuration in force at one process: the committed row and the orders not yet durable.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Effective {
    /// Committed part.
    pub committed: config::Committed,
    /// Orders to take something out that are not yet in the table.
    pub pending: Vec<Pending>,
}

impl Effective {
    /// Returns everything that is out, durable or not.
    pub fn out(&self) -> config::OutOfService {
        let mut out = self.committed.out.clone();
        self.pending.iter().for_each(|pending| add_target(&mut out, &pending.target));
        out
    }
}
