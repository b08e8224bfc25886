//! A change of a group's expert map, from the first copy to the pass that uses it.
//!
//! All ranks copy the map. One rank holds a pass ahead, so that the group cannot begin it. All
//! ranks are armed for that pass; only once each of them has said so is the pass released. A
//! change that cannot go on is undone before the pass is released.
//!
//! An order without an answer may be carried out seconds later, and another owner may act at the
//! same time. What makes that harmless:
//!
//! - An arm has effect only while its version is the one prepared, and a rank never prepares a
//!   version twice. A rank that is not armed and has prepared another version is therefore out of
//!   the change for good, whatever is still under way. A change is undone once all ranks are.
//! - An owner disarms and outdates only while a pass is held that comes no later than the change's
//!   and that no other owner releases: its own, or for a change left behind a guard at every rank,
//!   as a release may still be under way to the rank of the owner before. It releases those only
//!   when the change is undone.
//! - No owner holds a pass twice, so a release that arrives late finds nothing to release. A hold
//!   that arrives late is seen in the rank's status and settled like a change left behind.
//!
//! State and decisions only: [`Change::step`] gives the orders to send.

use std::{
    collections::{BTreeMap, BTreeSet},
    time,
};

use crate::{
    group::rebalance::LayerMap,
    rank::{Action, MapSwitch, Order, OrderOutcome, Status},
};

/// Passes between the newest one seen and the one that is held: the first may begin before the
/// hold arrives.
const AHEAD: u64 = 2;
/// Passes that are added while orders go unanswered, so that the group waits less for those that
/// are sent again.
const AHEAD_OF_TROUBLE: u64 = 3;
/// Longest time from the first arm to the last; then the change is undone. Five tries of one
/// order.
const ARMING: time::Duration = time::Duration::from_millis(1_250);
/// Refusals of one kind of order at one rank after which a change is given up.
const REFUSALS: u32 = 4;
/// Time for which a released change may stay out while another rank holds its pass.
const FOREIGN_HOLD: time::Duration = time::Duration::from_millis(500);
/// Pause before an order that had no effect is sent again: the time of a few exchanges.
const AGAIN: time::Duration = time::Duration::from_millis(15);
/// Time for which a rank may copy before it is told again, besides the time that copying takes.
const COPY_SLACK: time::Duration = time::Duration::from_millis(500);

/// Newest status of each rank, by rank.
pub type Statuses = BTreeMap<usize, Status>;

/// How a change ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The group uses the new map.
    Changed,
    /// The group uses the old map; no order of the change has effect any more.
    Undone(&'static str),
    /// The group formed anew; all that belonged to the change is gone.
    Lost,
}

/// How far a change is.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Prepare,
    Hold {
        pass: u64,
    },
    Arm {
        pass: u64,
        since: time::Duration,
    },
    Release {
        pass: u64,
    },
    Await {
        pass: u64,
        since: time::Duration,
    },
    /// A pass is to be held at every rank, to undo under it what was left behind.
    Guard {
        pass: u64,
    },
    /// What of `versions` is armed or could still be is undone; `pass` is held meanwhile.
    Undo {
        why: &'static str,
        pass: u64,
        versions: BTreeSet<u64>,
        newer: u64,
    },
    ReleaseUndone {
        why: &'static str,
        pass: u64,
    },
    Over(End),
}

impl Phase {
    /// Its name, for logs.
    fn label(&self) -> &'static str {
        match self {
            Self::Prepare => "prepare",
            Self::Hold { .. } => "hold",
            Self::Arm { .. } => "arm",
            Self::Release { .. } => "release",
            Self::Await { .. } => "await",
            Self::Guard { .. } => "guard",
            Self::Undo { .. } => "undo",
            Self::ReleaseUndone { .. } => "release-undone",
            Self::Over(_) => "over",
        }
    }
}

/// One change of map. The type is the owner's; another owner's change meets it only through the
/// ranks' statuses.
#[derive(Clone, Debug)]
pub struct Change {
    epoch: u64,
    ranks: usize,
    /// Rank that holds the pass.
    own: usize,
    version: u64,
    map: Vec<LayerMap>,
    /// Map in use, prepared once more to outdate orders under way.
    old: Vec<LayerMap>,
    copying: time::Duration,
    phase: Phase,
    /// Phases so far and when each began.
    past: Vec<(&'static str, time::Duration)>,
    /// Newest pass that was held.
    held: u64,
    /// When each rank may get the next order; `None` while one is under way.
    next: BTreeMap<usize, Option<time::Duration>>,
    /// Ranks that have begun to copy, and when.
    copying_since: BTreeMap<usize, time::Duration>,
    refusals: BTreeMap<usize, u32>,
    /// Whether an order went unanswered.
    troubled: bool,
}

/// What a change is about.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Epoch of the group.
    pub epoch: u64,
    /// Rank that holds the pass: the one beside this process.
    pub own: usize,
    /// Ranks of the group.
    pub ranks: usize,
    /// Version of the new map, above all that any rank has had.
    pub version: u64,
    /// Map to go to.
    pub map: Vec<LayerMap>,
    /// Map in use.
    pub old: Vec<LayerMap>,
    /// Time that the copies take.
    pub copying: time::Duration,
    /// Newest pass of the epoch that was held.
    pub held: u64,
}

impl Change {
    /// Begins a change.
    pub fn new(now: time::Duration, plan: Plan) -> Self {
        let Plan { epoch, own, ranks, version, map, old, copying, held } = plan;
        Self {
            epoch,
            ranks,
            own,
            version,
            map,
            old,
            copying,
            phase: Phase::Prepare,
            past: vec![(Phase::Prepare.label(), now)],
            held,
            next: BTreeMap::new(),
            copying_since: BTreeMap::new(),
            refusals: BTreeMap::new(),
            troubled: false,
        }
    }

    /// Undoes what another owner, or an order that came late, left behind. `plan.old` is the map
    /// in use. It never goes on with a change: an order to disarm may still be under way.
    pub fn undo_leftover(now: time::Duration, plan: Plan, seen: &Statuses) -> Self {
        let mut change = Self::new(now, plan);
        change.phase = change.guard(seen);
        change
    }

    /// How it ended, once it has.
    pub fn end(&self) -> Option<&End> {
        match &self.phase {
            Phase::Over(end) => Some(end),
            _ => None,
        }
    }

    /// Version of the new map.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The new map.
    pub fn map(&self) -> &[LayerMap] {
        &self.map
    }

    /// Whether ranks only copy so far.
    pub fn is_preparing(&self) -> bool {
        self.phase == Phase::Prepare
    }

    /// Newest pass that was held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Phases so far, each with the time that it took.
    pub fn phases(&self, now: time::Duration) -> Vec<(&'static str, time::Duration)> {
        let ends = self.past.iter().skip(1).map(|(_, at)| *at).chain([now]);
        self.past.iter().zip(ends).map(|((phase, at), end)| (*phase, end - *at)).collect()
    }

    /// Takes the answer to the order at `rank`, `None` if there was none. Then
    /// [`step`](Self::step) goes on with the statuses that followed it.
    pub fn answer(
        &mut self,
        now: time::Duration,
        rank: usize,
        order: &Order,
        got: Option<&OrderOutcome>,
    ) {
        self.next.insert(rank, Some(now + AGAIN));
        self.troubled |= got.is_none();
        match (got, &order.action) {
            (Some(OrderOutcome::Refused(_)), _) => *self.refusals.entry(rank).or_default() += 1,
            (Some(_), Action::Prepare { .. }) => {
                self.copying_since.insert(rank, now);
            }
            _ => {}
        }
    }

    /// Goes as far as `seen` allows; gives the orders to send, each with its rank.
    pub fn step(&mut self, now: time::Duration, seen: &Statuses) -> Vec<(usize, Order)> {
        let mut out = Vec::new();
        loop {
            let before = self.phase.clone();
            self.advance(now, seen, &mut out);
            if self.phase == before {
                return out;
            }
            self.past.push((self.phase.label(), now));
            self.refusals.clear();
            // What a new phase sends needs no pause.
            self.next.retain(|_, next| next.is_none());
        }
    }

    fn advance(&mut self, now: time::Duration, seen: &Statuses, out: &mut Vec<(usize, Order)>) {
        if matches!(self.phase, Phase::Over(_)) {
            return;
        }
        let epoch = |status: &Status| status.member.as_ref().map(|member| member.epoch);
        if seen.values().any(|status| epoch(status).is_some_and(|epoch| epoch > self.epoch)) {
            self.phase = Phase::Over(End::Lost);
            return;
        }
        match self.phase.clone() {
            Phase::Prepare => self.prepare(now, seen, out),
            Phase::Hold { pass } => self.hold(now, pass, seen, out),
            Phase::Arm { pass, since } => {
                self.arm(now, MapSwitch { version: self.version, pass }, since, seen, out);
            }
            Phase::Release { pass } => {
                if self.release(now, pass, &[self.own], seen, out) {
                    self.phase = Phase::Await { pass, since: now };
                }
            }
            Phase::Await { pass, since } => self.wait(now, pass, since, seen),
            Phase::Guard { pass } => self.place_guard(now, pass, seen, out),
            Phase::Undo { why, pass, versions, newer } => {
                self.outdate(now, (why, pass, newer), &versions, seen, out);
            }
            Phase::ReleaseUndone { why, pass } => {
                let all: Vec<usize> = (0..self.ranks).collect();
                if self.release(now, pass, &all, seen, out) {
                    self.phase = Phase::Over(End::Undone(why));
                }
            }
            Phase::Over(_) => {}
        }
    }

    fn prepare(&mut self, now: time::Duration, seen: &Statuses, out: &mut Vec<(usize, Order)>) {
        let mut ready = 0;
        for rank in 0..self.ranks {
            let Some(status) = seen.get(&rank) else { continue };
            let patience = self.copying + COPY_SLACK;
            let copying = self.copying_since.get(&rank).is_some_and(|at| now < *at + patience);
            match status.prepared {
                Some(version) if version == self.version => ready += 1,
                Some(version) if version > self.version => {
                    self.phase = Phase::Over(End::Undone("another owner prepares"));
                    return;
                }
                _ if self.refused_too_often(rank) => {
                    // Nothing is armed or held yet, and nothing under way can arm a rank.
                    self.phase = Phase::Over(End::Undone("refused to prepare"));
                    return;
                }
                _ if copying => {}
                _ => {
                    let act = |change: &Self| Action::Prepare {
                        version: change.version,
                        map: change.map.clone(),
                    };
                    self.send(now, rank, act, out);
                }
            }
        }
        if ready == self.ranks {
            self.phase = Phase::Hold { pass: self.ahead(seen) };
        }
    }

    fn hold(
        &mut self,
        now: time::Duration,
        pass: u64,
        seen: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        let Some(status) = seen.get(&self.own) else { return };
        match status.held {
            Some(held) if held == pass => self.phase = Phase::Arm { pass, since: now },
            // Nothing was armed, so there is nothing to undo.
            Some(_) => self.phase = Phase::Over(End::Undone("another pass is held")),
            None if newest(seen) >= pass => {
                self.phase = Phase::Hold { pass: self.ahead(seen) };
            }
            None if self.refused_too_often(self.own) => {
                self.phase = Phase::Over(End::Undone("refused to hold"));
            }
            None => self.send(now, self.own, |_| Action::Hold { pass }, out),
        }
    }

    fn arm(
        &mut self,
        now: time::Duration,
        step: MapSwitch,
        since: time::Duration,
        seen: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        if all_armed(seen, self.ranks) == Some(step) {
            self.phase = Phase::Release { pass: step.pass };
            return;
        }
        let held = seen.get(&self.own).and_then(|status| status.held);
        let lost =
            |status: &&Status| status.armed.is_none() && status.prepared != Some(step.version);
        let why = match () {
            // Without the hold the pass needs another guard before anything is undone.
            () if held != Some(step.pass) => return self.phase = self.guard(seen),
            () if seen.values().any(|status| lost(&status)) => Some("a copy was lost"),
            () if seen.values().any(|status| status.armed.is_some_and(|armed| armed != step)) => {
                Some("armed by another owner")
            }
            () if now > since + ARMING => Some("arming took too long"),
            () => None,
        };
        if let Some(why) = why {
            let versions = BTreeSet::from([step.version]);
            let newer = highest_version(seen).max(step.version) + 1;
            return self.phase = Phase::Undo { why, pass: step.pass, versions, newer };
        }
        for (&rank, _) in seen.iter().filter(|(_, status)| status.armed.is_none()) {
            self.send(now, rank, |_| Action::Arm(step), out);
        }
    }

    fn wait(&mut self, now: time::Duration, pass: u64, since: time::Duration, seen: &Statuses) {
        let all = seen.len() == self.ranks;
        let changed = seen.values().filter(|status| status.map_version == self.version).count();
        let held_elsewhere = seen.values().any(|status| status.held == Some(pass));
        let armed = seen.values().any(|status| status.armed.is_some());
        match () {
            () if all && changed == self.ranks => self.phase = Phase::Over(End::Changed),
            () if all && changed == 0 && !armed && newest(seen) >= pass => {
                self.phase = Phase::Over(End::Undone("by another owner"));
            }
            () if held_elsewhere && now > since + FOREIGN_HOLD => self.phase = self.guard(seen),
            () => {}
        }
    }

    /// Releases `pass` at the ranks of `at` that hold it; `true` once none of them does.
    fn release(
        &mut self,
        now: time::Duration,
        pass: u64,
        at: &[usize],
        seen: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) -> bool {
        let holding = |rank: &&usize| seen.get(rank).is_none_or(|s| s.held == Some(pass));
        let holding: Vec<usize> = at.iter().filter(holding).copied().collect();
        for rank in &holding {
            self.send(now, *rank, |_| Action::Release { pass }, out);
        }
        holding.is_empty()
    }

    /// Chooses what to hold to undo what is armed or held: the earliest of those passes. Without
    /// any, all is settled.
    fn guard(&self, seen: &Statuses) -> Phase {
        let armed = seen.values().filter_map(|status| Some(status.armed?.pass));
        let held = seen.values().filter_map(|status| status.held);
        match armed.chain(held).min() {
            Some(pass) if pass > newest(seen) => Phase::Guard { pass },
            Some(_) => Phase::Over(End::Undone("the pass has begun")),
            None => Phase::Over(End::Undone("nothing was left behind")),
        }
    }

    fn place_guard(
        &mut self,
        now: time::Duration,
        pass: u64,
        seen: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        // A rank that holds a later pass cannot hold this one too.
        let free: Vec<usize> =
            seen.iter().filter(|(_, s)| s.held.is_none()).map(|(rank, _)| *rank).collect();
        let placed = seen.values().any(|status| status.held == Some(pass));
        match () {
            () if newest(seen) >= pass => {
                self.phase = Phase::Over(End::Undone("the guard came too late"));
            }
            () if free.is_empty() && placed => {
                let armed = seen.values().filter_map(|status| Some(status.armed?.version));
                let prepared = seen.values().filter_map(|status| status.prepared);
                let versions = armed.chain(prepared).collect();
                let newer = highest_version(seen).max(self.version) + 1;
                self.phase = Phase::Undo { why: "left behind", pass, versions, newer };
            }
            () if free.is_empty() || free.iter().any(|rank| self.refused_too_often(*rank)) => {
                self.phase = Phase::Over(End::Undone("the guard was refused"));
            }
            () => {
                free.iter().for_each(|rank| self.send(now, *rank, |_| Action::Hold { pass }, out))
            }
        }
    }

    /// Disarms every rank that is armed for one of `versions`, and has each that could be armed
    /// for one prepare a newer version of the map in use, which copies nothing.
    fn outdate(
        &mut self,
        now: time::Duration,
        (why, pass, newer): (&'static str, u64, u64),
        versions: &BTreeSet<u64>,
        seen: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        let mut out_of_it = 0;
        for (&rank, status) in seen {
            match (status.armed, status.prepared) {
                (Some(step), _) if versions.contains(&step.version) => {
                    self.send(now, rank, |_| Action::Disarm { version: step.version }, out);
                }
                (None, Some(prepared)) if versions.contains(&prepared) => {
                    let old =
                        |change: &Self| Action::Prepare { version: newer, map: change.old.clone() };
                    self.send(now, rank, old, out);
                }
                _ => out_of_it += 1,
            }
        }
        match () {
            () if out_of_it == self.ranks => self.phase = Phase::ReleaseUndone { why, pass },
            // Another owner has prepared a higher version meanwhile.
            () if (0..self.ranks).any(|rank| self.refused_too_often(rank)) => {
                let newer = highest_version(seen).max(newer) + 1;
                self.phase = Phase::Undo { why, pass, versions: versions.clone(), newer };
            }
            () => {}
        }
    }

    fn refused_too_often(&self, rank: usize) -> bool {
        self.refusals.get(&rank).is_some_and(|refusals| *refusals >= REFUSALS)
    }

    /// The pass to hold.
    fn ahead(&self, seen: &Statuses) -> u64 {
        let trouble = if self.troubled { AHEAD_OF_TROUBLE } else { 0 };
        (newest(seen) + AHEAD + trouble).max(self.held + 1)
    }

    /// Sends what `act` gives, unless an order is under way to `rank`. Maps are large, so it is
    /// not called in vain.
    fn send(
        &mut self,
        now: time::Duration,
        rank: usize,
        act: impl FnOnce(&Self) -> Action,
        out: &mut Vec<(usize, Order)>,
    ) {
        if self.next.get(&rank).is_none_or(|next| next.is_some_and(|at| at <= now)) {
            let act = act(self);
            self.next.insert(rank, None);
            if let Action::Hold { pass } | Action::Release { pass } = act {
                self.held = self.held.max(pass);
            }
            out.push((rank, Order { epoch: self.epoch, action: act }));
        }
    }
}

/// Newest pass that any rank has begun.
fn newest(seen: &Statuses) -> u64 {
    seen.values().map(|status| status.pass).max().unwrap_or_default()
}

/// Highest version that any rank says it has or had.
pub fn highest_version(seen: &Statuses) -> u64 {
    let versions = seen.values().flat_map(|status| {
        let armed = status.armed.map(|step| step.version);
        [Some(status.map_version), status.prepared, armed]
    });
    versions.flatten().max().unwrap_or_default()
}

/// The step that every rank is armed for, if it is the same.
fn all_armed(seen: &Statuses, ranks: usize) -> Option<MapSwitch> {
    let first = seen.values().next()?.armed?;
    let same = seen.len() == ranks && seen.values().all(|status| status.armed == Some(first));
    same.then_some(first)
}
