//! Status of the agreement at one process, as operators see it.

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

/// State of the agreement as one process sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Host of the process.
    pub host: name::Host,
    /// Committed version in force at the process.
    pub version: u64,
    /// Whether the platform's table answered the last poll.
    pub table_answers: bool,
    /// Whether the platform's host list has been read since the process started.
    pub hosts_listed: bool,
    /// Zones and servers that are out by a committed order.
    pub out: Vec<Target>,
    /// Orders to take out that are not yet durable.
    pub not_durable: Vec<NotDurable>,
    /// Processes not known to have the version, with the version that each last reported.
    pub behind: Vec<Behind>,
    /// Number of processes by health.
    pub members: Members,
}

/// An order to take out that is not yet in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct NotDurable {
    /// Zone or server that is out.
    pub target: Target,
    /// Host whose operators' port received the order.
    pub by: name::Host,
    /// Number of processes known to hold the order.
    pub held_by: usize,
}

/// A process that is not known to have the version in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Behind {
    /// Host of the process.
    pub host: name::Host,
    /// Version that the process last reported; `None` if it never reported one.
    pub version: Option<u64>,
    /// Time since its last report, in milliseconds.
    pub heard_ms_ago: Option<u64>,
    /// Health of the process, as seen by its peers.
    pub health: Health,
}

/// Number of processes by state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Members {
    /// Processes in service.
    pub alive: usize,
    /// Processes that did not answer the latest probe.
    pub suspect: usize,
    /// Processes that have not answered for longer than the suspicion timeout.
    pub dead: usize,
    /// Processes that have announced that they are leaving.
    pub leaving: usize,
}

/// Returns the changes that the row still contains, oldest first.
pub fn history(record: &Record) -> &[Change] {
    &record.history
}

/// Collects the status; `table_failing` says whether the last poll of the table failed.
pub fn collect(
    now: time::Duration,
    record: &Record,
    overlay: &Overlay,
    membership: &Membership,
    table_failing: bool,
) -> Status {
    Status {
        host: membership.me().host.clone(),
        version: record.version,
        table_answers: !table_failing,
        hosts_listed: membership.has_host_list(),
        out: targets_out(record),
        not_durable: not_durable(overlay),
        behind: behind(now, record, membership),
        members: count_members(membership),
    }
}

fn targets_out(record: &Record) -> Vec<Target> {
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

fn behind(now: time::Duration, record: &Record, membership: &Membership) -> Vec<Behind> {
    let is_behind =
        |report: Option<LastReport>| report.is_none_or(|report| report.version < record.version);
    membership
        .others()
        .filter(|(_, report)| is_behind(*report))
        .map(|(member, report)| Behind {
            host: member.host.clone(),
            version: report.map(|report| report.version),
            heard_ms_ago: report.map(|report| now.saturating_sub(report.at).as_millis() as u64),
            health: member.health,
        })
        .collect()
}

fn count_members(membership: &Membership) -> Members {
    let mut members = Members::default();
    for member in membership.members() {
        match (member.health, member.leaving) {
            (Health::Dead, _) => members.dead += 1,
            (_, true) => members.leaving += 1,
            (Health::Suspect, _) => members.suspect += 1,
            (Health::Alive, _) => members.alive += 1,
        }
    }
    members
}
