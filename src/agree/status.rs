//! What operators see of the agreement at one process.

use std::time;

use serde::{Deserialize, Serialize};

use crate::{
    agree::{
        membership::{LastReport, Membership},
        overlay::Overlay,
        record::{Change, Record, Target},
    },
    name,
    wire::gossip::Health,
};

/// The state of the agreement, as one process sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The process's host.
    pub host: name::Host,
    /// Committed version in force here.
    pub version: u64,
    /// Whether the platform's table answered the last poll.
    pub table_answers: bool,
    /// Whether the platform's host list has been read since the process started.
    pub hosts_listed: bool,
    /// What is out by commit.
    pub out: Vec<Target>,
    /// Orders to take out that are not yet durable.
    pub not_durable: Vec<NotDurable>,
    /// Processes not known to have the version, with what they had when last heard.
    pub behind: Vec<Behind>,
    /// Processes by health.
    pub members: Members,
}

/// An order to take out that is not yet in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct NotDurable {
    /// What is out.
    pub target: Target,
    /// Host whose operators' port took the order.
    pub by: name::Host,
    /// Processes known to hold it.
    pub held_by: usize,
}

/// A process that is not known to have the version in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Behind {
    /// Its host.
    pub host: name::Host,
    /// Version that it had when last heard; `None` if never.
    pub version: Option<u64>,
    /// Time since it was last heard, in milliseconds.
    pub heard_ms_ago: Option<u64>,
    /// Whether it answers.
    pub health: Health,
}

/// Counts of processes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Members {
    /// In service.
    pub alive: usize,
    /// Not answering lately.
    pub suspect: usize,
    /// Not answering for long.
    pub dead: usize,
    /// About to leave.
    pub leaving: usize,
}

/// Changes that the row still keeps, oldest first.
pub fn history(record: &Record) -> &[Change] {
    &record.history
}

/// Puts the status together.
pub fn collect(
    now: time::Duration,
    record: &Record,
    overlay: &Overlay,
    roster: &Membership,
    failing: bool,
) -> Status {
    Status {
        host: roster.me().host.clone(),
        version: record.version,
        table_answers: !failing,
        hosts_listed: roster.has_host_list(),
        out: targets(record),
        not_durable: not_durable(overlay),
        behind: behind(now, record, roster),
        members: count_members(roster),
    }
}

fn targets(record: &Record) -> Vec<Target> {
    let zones = record.out.zones.iter().cloned().map(Target::Zone);
    zones.chain(record.out.servers.iter().cloned().map(Target::Server)).collect()
}

fn not_durable(overlay: &Overlay) -> Vec<NotDurable> {
    overlay
        .pending_orders()
        .into_iter()
        .map(|pending| NotDurable {
            held_by: overlay.held_by(pending.op),
            target: pending.target,
            by: pending.by,
        })
        .collect()
}

fn behind(now: time::Duration, record: &Record, roster: &Membership) -> Vec<Behind> {
    let is_behind =
        |heard: Option<LastReport>| heard.is_none_or(|heard| heard.version < record.version);
    roster
        .others()
        .filter(|(_, heard)| is_behind(*heard))
        .map(|(member, heard)| Behind {
            host: member.host.clone(),
            version: heard.map(|heard| heard.version),
            heard_ms_ago: heard.map(|heard| now.saturating_sub(heard.at).as_millis() as u64),
            health: member.health,
        })
        .collect()
}

fn count_members(roster: &Membership) -> Members {
    let mut members = Members::default();
    for member in roster.members() {
        match (member.health, member.leaving) {
            (Health::Dead, _) => members.dead += 1,
            (_, true) => members.leaving += 1,
            (Health::Suspect, _) => members.suspect += 1,
            (Health::Alive, _) => members.alive += 1,
        }
    }
    members
}
