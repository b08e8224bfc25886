//! A change of a group's expert map, from the first copy to the pass that uses the new map.
//!
//! All ranks copy the new map. One rank holds a future pass, so that the group cannot start it. All
//! ranks are then armed to switch at that pass, and the pass is released only once the status of
//! every rank shows that it is armed. A change that cannot complete is undone before the pass is
//! released.
//!
//! No pass may start while ranks use different maps. An order without an answer may be carried out
//! seconds later, and another owner may act at the same time. Three rules make that safe:
//!
//! - An arm order takes effect only while its version is the prepared one, and a rank never
//!   prepares a version twice. A rank that is not armed and has prepared another version has
//!   therefore left the change for good, and a change is undone once all ranks have left it. This
//!   guards against an arm order that arrives after the change was undone and makes a single rank
//!   switch.
//! - A change holds a pass that no owner has held before, so that a release that arrives late finds
//!   nothing to release. Owners hold passes up to [`MAX_HOLD_AHEAD_PASSES`] ahead only; one that
//!   takes over skips all passes that earlier ones may have held, see [`last_reachable_pass`]. While
//!   ranks are being armed, no release of the pass is under way.
//! - An owner disarms ranks only while the earliest pass for which a rank is armed is held by a hold
//!   that no release under way can end. Until all ranks are armed this is the hold at the owner's
//!   rank. Afterwards a release may be under way to that rank, also from a previous owner, so the
//!   pass is held at two ranks or more. This guards against a pass that starts when some ranks are
//!   disarmed and others are still armed for it.
//!
//! A hold that arrives late shows in the rank's status and is undone like a leftover change. Each
//! phase has a time limit, after which the change is undone or its leftovers are dealt with anew.
//!
//! This module does no I/O: [`Change::step`] returns the orders to send.

use std::{
    collections::{BTreeMap, BTreeSet},
    time,
};

use crate::{
    group::rebalance::{LayerMap, SharedMap},
    rank::{Action, MapSwitch, Order, OrderOutcome, Status},
};

/// Distance from the newest known pass to the pass to hold: the next pass may start before the hold
/// arrives.
const HOLD_AHEAD_PASSES: u64 = 2;
/// Passes added to [`HOLD_AHEAD_PASSES`] after an order went unanswered, so that the group waits
/// less at the held pass for orders that are sent again.
const EXTRA_HOLD_AHEAD_PASSES: u64 = 3;
/// Largest distance from the newest known pass to a pass that an owner holds.
pub const MAX_HOLD_AHEAD_PASSES: u64 = HOLD_AHEAD_PASSES + EXTRA_HOLD_AHEAD_PASSES + 1;
/// Number of versions between two that the agent of one rank may use: no group has more ranks.
const VERSION_STRIDE: u64 = 1 << 12;
/// Largest number of strides from the highest version to that of the next change. It is chosen at
/// random, as an agent that was restarted does not know which versions it has used.
const MAX_VERSION_STRIDES: u64 = 1 << 12;
/// Number of ranks at which a pass has to be held so that releases to one rank cannot start it.
const MIN_GUARDS: usize = 2;
/// Time limit of a phase in which ranks are held, armed or released. It allows for sending an order
/// five times.
const ORDERS_TIMEOUT: time::Duration = time::Duration::from_millis(1_250);
/// Time limit for copying and holding, besides twice the expected copy time.
const PREPARE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time limit for disarming all ranks and superseding their versions.
const UNDO_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time without a new pass after which a change that waits for its pass is undone.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time limit for all statuses to show the switch once its pass has started.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Refusals by one rank in one phase that end a change while it prepares, places its hold or places
/// a guard. A change that is being undone tries a newer version instead.
const MAX_REFUSALS: u32 = 4;
/// Time for which the switch may be delayed because a rank holds a pass that the change did not hold.
const FOREIGN_HOLD_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Delay before an order that had no effect is sent again; it covers a few exchanges.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(15);
/// Time added to the expected copy time before the order to copy is sent to a rank again.
const COPY_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Newest status of each rank, by rank.
pub type Statuses = BTreeMap<usize, Status>;

/// How a change ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The group uses the new map.
    Changed,
    /// The group uses the old map, and no order of the change can take effect any more.
    Undone(&'static str),
    /// The group re-formed, which discards everything that belonged to the change.
    Lost,
}

/// Phase of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// All ranks copy the new map.
    Prepare,
    /// `pass` is to be held at the owner's rank.
    Hold {
        pass: u64,
    },
    /// All ranks are armed to switch at `pass`.
    Arm {
        pass: u64,
    },
    /// All ranks are armed, so `pass` is released.
    Release {
        pass: u64,
    },
    /// The ranks are to switch as `pass` starts.
    Await {
        pass: u64,
    },
    /// `pass` has started, and all statuses are to show the switch.
    Confirm,
    /// `pass` is to be held at every rank, so that ranks can be disarmed meanwhile.
    Guard {
        why: &'static str,
        pass: u64,
    },
    /// All ranks leave the changes that are under way.
    Undo(Undo),
    /// The changes are undone, so all `passes` are released at every rank.
    ReleaseUndone {
        why: &'static str,
        passes: BTreeSet<u64>,
    },
    Ended(End),
}

/// Ranks that are armed for a version up to `newest`, or could still be, leave that change.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Undo {
    why: &'static str,
    /// Highest version that a rank had copied or was armed for.
    newest: u64,
    /// Version that supersedes those of the ranks.
    newer: u64,
    /// Pass that the owner's rank has held from before the first rank was armed.
    own_hold: Option<u64>,
    /// Passes that were held.
    held: BTreeSet<u64>,
}

impl Phase {
    /// Name of the phase, for logs.
    fn label(&self) -> &'static str {
        match self {
            Self::Prepare => "prepare",
            Self::Hold { .. } => "hold",
            Self::Arm { .. } => "arm",
            Self::Release { .. } => "release",
            Self::Await { .. } => "await",
            Self::Confirm => "confirm",
            Self::Guard { .. } => "guard",
            Self::Undo(_) => "undo",
            Self::ReleaseUndone { .. } => "release-undone",
            Self::Ended(_) => "over",
        }
    }
}

/// State of one change of the map at its owner. Changes of other owners are visible only through
/// the statuses of the ranks.
#[derive(Clone, Debug)]
pub struct Change {
    epoch: u64,
    ranks: usize,
    /// Rank that holds the pass.
    own_rank: usize,
    version: u64,
    new_map: SharedMap,
    /// Map in use, which is prepared again under a newer version to make late orders ineffective.
    current_map: SharedMap,
    copy_time: time::Duration,
    phase: Phase,
    /// Phases so far and the time at which each started.
    phase_starts: Vec<(&'static str, time::Duration)>,
    /// Newest pass that any owner may have held.
    last_held_pass: u64,
    /// Newest version that the change used.
    last_version: u64,
    /// Newest pass that a status showed, and when it was first seen.
    newest_pass: (u64, time::Duration),
    /// Order that is under way to each rank.
    under_way: BTreeMap<usize, Order>,
    /// Time from which each rank may get an order again.
    next_order_at: BTreeMap<usize, time::Duration>,
    /// Ranks that have started to copy, and when.
    copy_started: BTreeMap<usize, time::Duration>,
    /// Number of refusals by each rank in this phase.
    refusals: BTreeMap<usize, u32>,
    /// Whether an order went unanswered.
    had_unanswered: bool,
}

/// Parameters of a change.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Epoch of the group.
    pub epoch: u64,
    /// Rank that holds the pass: that of the agent's own engine.
    pub own_rank: usize,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Version of the new map, higher than any version that a rank has had.
    pub version: u64,
    /// Map to switch to.
    pub new_map: SharedMap,
    /// Map in use.
    pub current_map: SharedMap,
    /// Expected time to copy the new experts of a rank.
    pub copy_time: time::Duration,
    /// Newest pass of the epoch that any owner may have held.
    pub last_held_pass: u64,
}

impl Change {
    /// Starts a change.
    pub fn new(now: time::Duration, plan: Plan) -> Self {
        let Plan {
            epoch,
            own_rank,
            ranks,
            version,
            new_map,
            current_map,
            copy_time,
            last_held_pass,
        } = plan;
        Self {
            epoch,
            ranks,
            own_rank,
            version,
            new_map,
            current_map,
            copy_time,
            phase: Phase::Prepare,
            phase_starts: vec![(Phase::Prepare.label(), now)],
            last_held_pass,
            last_version: version,
            newest_pass: (0, now),
            under_way: BTreeMap::new(),
            next_order_at: BTreeMap::new(),
            copy_started: BTreeMap::new(),
            refusals: BTreeMap::new(),
            had_unanswered: false,
        }
    }

    /// Starts to undo what another owner or a late order has left armed or held. It never completes
    /// the leftover change instead, as an order to disarm a rank may still be under way.
    pub fn undo_leftover(now: time::Duration, plan: Plan, statuses: &Statuses) -> Self {
        let mut change = Self::new(now, plan);
        change.phase = change.undo_phase("left behind", None, statuses);
        change.phase_starts = vec![(change.phase.label(), now)];
        change
    }

    /// Returns how the change ended, once it has.
    pub fn end(&self) -> Option<&End> {
        match &self.phase {
            Phase::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Returns the version of the new map.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the new map, by set and rank.
    pub fn new_map(&self) -> &[LayerMap] {
        &self.new_map
    }

    /// Returns the map that was in use when the change started, by set and rank.
    pub fn current_map(&self) -> &[LayerMap] {
        &self.current_map
    }

    /// Whether ranks have only been ordered to copy so far.
    pub fn is_preparing(&self) -> bool {
        self.phase == Phase::Prepare
    }

    /// Returns the name of the phase, for logs.
    pub fn phase(&self) -> &'static str {
        self.phase.label()
    }

    /// Returns the newest pass that any owner may have held.
    pub fn last_held_pass(&self) -> u64 {
        self.last_held_pass
    }

    /// Returns the newest version that the change used, also to supersede others.
    pub fn last_version(&self) -> u64 {
        self.last_version
    }

    /// Returns the phases so far, each with the time that it took.
    pub fn phases(&self, now: time::Duration) -> Vec<(&'static str, time::Duration)> {
        let ends = self.phase_starts.iter().skip(1).map(|(_, start)| *start).chain([now]);
        self.phase_starts
            .iter()
            .zip(ends)
            .map(|((phase, start), end)| (*phase, end - *start))
            .collect()
    }

    /// Records the answer to the order at `rank`; `outcome` is `None` if there was none. The next
    /// [`step`](Self::step) goes by the statuses read after the order. An answer to an order of an
    /// earlier change is ignored.
    pub fn receive_reply(
        &mut self,
        now: time::Duration,
        rank: usize,
        order: &Order,
        outcome: Option<&OrderOutcome>,
    ) {
        if self.under_way.get(&rank) != Some(order) {
            return;
        }
        self.under_way.remove(&rank);
        self.next_order_at.insert(rank, now + RESEND_DELAY);
        self.had_unanswered |= outcome.is_none();
        match (outcome, &order.action) {
            (Some(OrderOutcome::Refused(_)), _) => *self.refusals.entry(rank).or_default() += 1,
            (Some(_), Action::Prepare { .. }) => {
                self.copy_started.insert(rank, now);
            }
            _ => {}
        }
    }

    /// Advances the change as far as `statuses` allow and returns the orders to send, each with its
    /// rank.
    pub fn step(&mut self, now: time::Duration, statuses: &Statuses) -> Vec<(usize, Order)> {
        let mut out = Vec::new();
        let newest = newest_pass(statuses);
        if newest > self.newest_pass.0 {
            self.newest_pass = (newest, now);
        }
        loop {
            let before = self.phase.clone();
            self.advance(now, statuses, &mut out);
            if self.phase == before {
                return out;
            }
            // A phase that is repeated with another pass or version keeps its time limit.
            if self.phase_starts.last().is_none_or(|(label, _)| *label != self.phase.label()) {
                self.phase_starts.push((self.phase.label(), now));
            }
            self.refusals.clear();
            // The first orders of a new phase are sent without a delay.
            self.next_order_at.clear();
        }
    }

    fn advance(&mut self, now: time::Duration, statuses: &Statuses, out: &mut Vec<(usize, Order)>) {
        if matches!(self.phase, Phase::Ended(_)) {
            return;
        }
        let epoch = |status: &Status| status.member.as_ref().map(|member| member.epoch);
        if statuses.values().any(|status| epoch(status).is_some_and(|epoch| epoch > self.epoch)) {
            self.phase = Phase::Ended(End::Lost);
            return;
        }
        match self.phase.clone() {
            Phase::Prepare => self.prepare(now, statuses, out),
            Phase::Hold { pass } => self.hold(now, pass, statuses, out),
            Phase::Arm { pass } => {
                self.arm(now, MapSwitch { version: self.version, pass }, statuses, out);
            }
            Phase::Release { pass } => self.release(now, pass, statuses, out),
            Phase::Await { pass } => self.await_switch(now, pass, statuses),
            Phase::Confirm => self.confirm(now, statuses),
            Phase::Guard { why, pass } => self.place_guard(now, why, pass, statuses, out),
            Phase::Undo(undo) => self.undo(now, undo, statuses, out),
            Phase::ReleaseUndone { why, passes } => {
                self.release_undone(now, why, &passes, statuses, out);
            }
            Phase::Ended(_) => {}
        }
    }

    /// Whether the present phase has lasted longer than `limit`.
    fn has_lasted(&self, now: time::Duration, limit: time::Duration) -> bool {
        self.phase_starts.last().is_some_and(|(_, start)| now > *start + limit)
    }

    /// Whether copying and holding have taken too long.
    fn is_prepare_overdue(&self, now: time::Duration) -> bool {
        let limit = self.copy_time * 2 + PREPARE_TIMEOUT;
        self.phase_starts.first().is_some_and(|(_, start)| now > *start + limit)
    }

    fn prepare(&mut self, now: time::Duration, statuses: &Statuses, out: &mut Vec<(usize, Order)>) {
        let mut ready = 0;
        for rank in 0..self.ranks {
            let Some(status) = statuses.get(&rank) else { continue };
            let timeout = self.copy_time + COPY_MARGIN;
            let copying = self.copy_started.get(&rank).is_some_and(|start| now < *start + timeout);
            match status.prepared {
                Some(version) if version == self.version => ready += 1,
                Some(version) if version > self.version => {
                    self.phase = Phase::Ended(End::Undone("another owner prepares"));
                    return;
                }
                _ if self.refused_too_often(rank) => {
                    // Nothing is armed or held yet, and no order under way can arm a rank.
                    self.phase = Phase::Ended(End::Undone("refused to prepare"));
                    return;
                }
                _ if copying => {}
                _ => {
                    let action = |change: &Self| Action::Prepare {
                        version: change.version,
                        map: change.new_map.clone(),
                    };
                    self.send(now, rank, action, out);
                }
            }
        }
        match self.pass_to_hold(statuses) {
            _ if is_pass_held(statuses, None) => {
                self.phase = Phase::Ended(End::Undone("another pass is held"));
            }
            Some(pass) if ready == self.ranks => self.phase = Phase::Hold { pass },
            _ if self.is_prepare_overdue(now) => {
                self.phase = Phase::Ended(End::Undone("preparing took too long"));
            }
            _ => {}
        }
    }

    fn hold(
        &mut self,
        now: time::Duration,
        pass: u64,
        statuses: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        let held = statuses.get(&self.own_rank).and_then(|status| status.held);
        let holds_other = held.is_some_and(|held| held != pass);
        match held {
            // Nothing was armed, so there is nothing to undo.
            _ if holds_other || is_pass_held(statuses, Some(self.own_rank)) => {
                self.phase = Phase::Ended(End::Undone("another pass is held"));
            }
            Some(_) => self.phase = Phase::Arm { pass },
            None if self.is_prepare_overdue(now) => {
                self.phase = Phase::Ended(End::Undone("holding took too long"));
            }
            None if newest_pass(statuses) >= pass => {
                let next = self.pass_to_hold(statuses);
                self.phase = next.map_or(Phase::Prepare, |pass| Phase::Hold { pass });
            }
            None if self.refused_too_often(self.own_rank) => {
                self.phase = Phase::Ended(End::Undone("refused to hold"));
            }
            None => self.send(now, self.own_rank, |_| Action::Hold { pass }, out),
        }
    }

    fn arm(
        &mut self,
        now: time::Duration,
        switch: MapSwitch,
        statuses: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        if common_armed_switch(statuses, self.ranks) == Some(switch) {
            self.phase = Phase::Release { pass: switch.pass };
            return;
        }
        let held = statuses.get(&self.own_rank).and_then(|status| status.held);
        let has_lost_copy =
            |status: &&Status| status.armed.is_none() && status.prepared != Some(switch.version);
        let why = match () {
            // Without the hold at the owner's rank, nothing may be undone before a guard is placed.
            () if held != Some(switch.pass) => {
                return self.phase = Phase::Guard { why: "the hold was lost", pass: switch.pass };
            }
            () if statuses.values().any(|status| has_lost_copy(&status)) => Some("a copy was lost"),
            () if statuses
                .values()
                .any(|status| status.armed.is_some_and(|armed| armed != switch)) =>
            {
                Some("armed by another owner")
            }
            () if self.has_lasted(now, ORDERS_TIMEOUT) => Some("arming took too long"),
            () => None,
        };
        if let Some(why) = why {
            return self.phase = self.undo_phase(why, Some(switch.pass), statuses);
        }
        for (&rank, _) in statuses.iter().filter(|(_, status)| status.armed.is_none()) {
            self.send(now, rank, |_| Action::Arm(switch), out);
        }
    }

    /// Releases `pass` at the owner's rank, as all ranks are armed.
    fn release(
        &mut self,
        now: time::Duration,
        pass: u64,
        statuses: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        match statuses.get(&self.own_rank).is_some_and(|status| status.held != Some(pass)) {
            true => self.phase = Phase::Await { pass },
            false if self.has_lasted(now, ORDERS_TIMEOUT) => {
                self.phase = Phase::Guard { why: "releasing took too long", pass };
            }
            false => self.send(now, self.own_rank, |_| Action::Release { pass }, out),
        }
    }

    /// Waits until `pass` starts.
    fn await_switch(&mut self, now: time::Duration, pass: u64, statuses: &Statuses) {
        let newest = newest_pass(statuses);
        let switch = MapSwitch { version: self.version, pass };
        let is_delayed =
            |status: &Status| status.held.is_some_and(|held| newest < held && held <= pass);
        let is_held_again =
            statuses.get(&self.own_rank).is_some_and(|status| status.held == Some(pass));
        let why = match () {
            () if newest >= pass => return self.phase = Phase::Confirm,
            // The order to hold was carried out once more.
            () if is_held_again && common_armed_switch(statuses, self.ranks) == Some(switch) => {
                return self.phase = Phase::Release { pass };
            }
            () if statuses.values().any(is_delayed)
                && self.has_lasted(now, FOREIGN_HOLD_TIMEOUT) =>
            {
                "another pass is held"
            }
            () if self.has_lasted(now, IDLE_TIMEOUT) && now > self.newest_pass.1 + IDLE_TIMEOUT => {
                "the group is idle"
            }
            () => return,
        };
        self.phase = Phase::Guard { why, pass };
    }

    /// Waits until the statuses of all ranks show the switch.
    fn confirm(&mut self, now: time::Duration, statuses: &Statuses) {
        let all = statuses.len() == self.ranks;
        let switched =
            statuses.values().filter(|status| status.map_version == self.version).count();
        let armed = statuses.values().any(|status| status.armed.is_some());
        match () {
            () if all && switched == self.ranks => self.phase = Phase::Ended(End::Changed),
            () if all && switched == 0 && !armed => {
                self.phase = Phase::Ended(End::Undone("by another owner"));
            }
            () if self.has_lasted(now, CONFIRM_TIMEOUT) => {
                self.phase = Phase::Ended(End::Undone("not all ranks confirmed the switch"));
            }
            () => {}
        }
    }

    /// Returns the phase that starts to undo all that is armed or held, under a guard if a rank is
    /// armed and nothing else keeps its pass from starting. `own_hold` is a pass that the owner's rank
    /// holds and that was never released.
    fn undo_phase(&self, why: &'static str, own_hold: Option<u64>, statuses: &Statuses) -> Phase {
        if let Some(pass) = unguarded_pass(self.own_rank, own_hold, statuses) {
            return Phase::Guard { why, pass };
        }
        let versions = statuses
            .values()
            .flat_map(|status| [status.prepared, status.armed.map(|switch| switch.version)]);
        let newest = versions.flatten().max().unwrap_or_default();
        let newest = own_hold.map_or(newest, |_| newest.max(self.version));
        let newer = next_version(highest_version(statuses).max(self.version), self.own_rank, 0);
        let held = statuses.values().filter_map(|status| status.held).chain(own_hold).collect();
        Phase::Undo(Undo { why, newest, newer, own_hold, held })
    }

    /// Holds `pass` at every rank, then starts to undo what is armed.
    fn place_guard(
        &mut self,
        now: time::Duration,
        why: &'static str,
        pass: u64,
        statuses: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        let free = statuses.iter().filter(|(_, status)| status.held.is_none());
        let free: Vec<usize> = free.map(|(rank, _)| *rank).collect();
        let is_guarded = is_guarded(pass, statuses);
        let is_overdue = self.has_lasted(now, ORDERS_TIMEOUT);
        match () {
            () if newest_pass(statuses) >= pass => {
                self.phase = Phase::Ended(End::Undone("the guard came too late"));
            }
            () if is_guarded && (free.is_empty() || is_overdue) => {
                self.phase = self.undo_phase(why, None, statuses);
            }
            () if is_overdue || free.iter().any(|rank| self.refused_too_often(*rank)) => {
                self.phase = Phase::Ended(End::Undone("the guard was not placed"));
            }
            () if free.is_empty() => self.make_room(now, pass, statuses, out),
            () => {
                free.iter().for_each(|rank| self.send(now, *rank, |_| Action::Hold { pass }, out));
            }
        }
    }

    /// Releases a hold on which nothing armed depends, so that its rank can hold `pass`: a rank holds
    /// one pass at a time.
    fn make_room(
        &mut self,
        now: time::Duration,
        pass: u64,
        statuses: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        let is_armed_for =
            |pass| statuses.values().any(|status| status.armed.is_some_and(|s| s.pass == pass));
        let in_the_way = statuses.iter().find_map(|(rank, status)| {
            let held = status.held.filter(|held| *held != pass && !is_armed_for(*held));
            held.map(|held| (*rank, held))
        });
        if let Some((rank, held)) = in_the_way {
            self.send(now, rank, |_| Action::Release { pass: held }, out);
        }
    }

    /// Disarms every rank that is armed for a version up to the newest one. Each other rank that has
    /// prepared nothing later could still be armed for one of them, and is ordered to prepare the map
    /// in use under a newer version, which copies nothing.
    fn undo(
        &mut self,
        now: time::Duration,
        undo: Undo,
        statuses: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        if let Some(pass) = unguarded_pass(self.own_rank, undo.own_hold, statuses) {
            return self.phase = Phase::Guard { why: undo.why, pass };
        }
        let mut out_of_change = 0;
        // A status may be older than the orders to prepare and to arm: versions of a rank only rise, so
        // that only a later one shows that the rank has left the change.
        for (&rank, status) in statuses {
            match (status.armed, status.prepared) {
                (Some(switch), _) if switch.version <= undo.newest => {
                    self.send(now, rank, |_| Action::Disarm { version: switch.version }, out);
                }
                (None, prepared) if prepared.unwrap_or_default() <= undo.newest => {
                    let supersede = |change: &Self| Action::Prepare {
                        version: undo.newer,
                        map: change.current_map.clone(),
                    };
                    self.send(now, rank, supersede, out);
                }
                _ => out_of_change += 1,
            }
        }
        match () {
            () if out_of_change == self.ranks => {
                self.phase = Phase::ReleaseUndone { why: undo.why, passes: undo.held };
            }
            // A rank is still copying a higher version.
            () if (0..self.ranks).any(|rank| self.refused_too_often(rank)) => {
                let highest = highest_version(statuses).max(undo.newer);
                let newer = next_version(highest, self.own_rank, MAX_VERSION_STRIDES - 1);
                self.phase = Phase::Undo(Undo { newer, ..undo });
            }
            () if self.has_lasted(now, UNDO_TIMEOUT) => {
                self.phase = Phase::Ended(End::Undone("undoing took too long"));
            }
            () => {}
        }
    }

    /// Releases those of `passes` that are held at any rank.
    fn release_undone(
        &mut self,
        now: time::Duration,
        why: &'static str,
        passes: &BTreeSet<u64>,
        statuses: &Statuses,
        out: &mut Vec<(usize, Order)>,
    ) {
        let holds = statuses.iter().filter_map(|(rank, status)| Some((*rank, status.held?)));
        let holds: Vec<(usize, u64)> = holds.filter(|(_, pass)| passes.contains(pass)).collect();
        match () {
            () if holds.is_empty() => self.phase = Phase::Ended(End::Undone(why)),
            () if self.has_lasted(now, ORDERS_TIMEOUT) => {
                self.phase = Phase::Ended(End::Undone("releasing took too long"));
            }
            () => {
                for (rank, pass) in holds {
                    self.send(now, rank, |_| Action::Release { pass }, out);
                }
            }
        }
    }

    fn refused_too_often(&self, rank: usize) -> bool {
        self.refusals.get(&rank).is_some_and(|refusals| *refusals >= MAX_REFUSALS)
    }

    /// Returns the pass to hold: ahead of the newest one, and later than all that were held before.
    /// `None` until the group has made more passes, as a pass must not be too far ahead.
    fn pass_to_hold(&self, statuses: &Statuses) -> Option<u64> {
        let extra = if self.had_unanswered { EXTRA_HOLD_AHEAD_PASSES } else { 0 };
        let pass = (newest_pass(statuses) + HOLD_AHEAD_PASSES + extra).max(self.last_held_pass + 1);
        (pass <= last_reachable_pass(statuses)).then_some(pass)
    }

    /// Adds an order with the action that `action` returns, unless an order to `rank` is under way
    /// or was sent too recently. Maps are large, so `action` is called only if the order is added.
    fn send(
        &mut self,
        now: time::Duration,
        rank: usize,
        action: impl FnOnce(&Self) -> Action,
        out: &mut Vec<(usize, Order)>,
    ) {
        let is_due = self.next_order_at.get(&rank).is_none_or(|at| *at <= now);
        if !is_due || self.under_way.contains_key(&rank) {
            return;
        }
        let action = action(self);
        match action {
            Action::Hold { pass } | Action::Release { pass } => {
                self.last_held_pass = self.last_held_pass.max(pass);
            }
            Action::Prepare { version, .. } => self.last_version = self.last_version.max(version),
            Action::Arm(_) | Action::Disarm { .. } => {}
        }
        let order = Order { epoch: self.epoch, action };
        self.under_way.insert(rank, order.clone());
        out.push((rank, order));
    }
}

/// Returns the last pass that an owner with these statuses could hold. One that takes over has to take
/// it for the newest pass that was held.
pub fn last_reachable_pass(statuses: &Statuses) -> u64 {
    newest_pass(statuses) + MAX_HOLD_AHEAD_PASSES
}

/// Whether a change can hold a pass that has not been held, the newest of which is `last_held_pass`.
pub fn can_hold(last_held_pass: u64, statuses: &Statuses) -> bool {
    last_held_pass < last_reachable_pass(statuses)
}

/// Whether a change has left a rank armed, or a pass held, that has not started.
pub fn has_leftover(statuses: &Statuses) -> bool {
    let newest = newest_pass(statuses);
    let is_armed = |status: &Status| status.armed.is_some_and(|switch| switch.pass > newest);
    is_pass_held(statuses, None) || statuses.values().any(is_armed)
}

/// Returns the earliest pass for which a rank is armed, unless a hold that no release under way can end
/// keeps it from starting. `own_hold` is a pass that `own_rank` holds and that was never released.
fn unguarded_pass(own_rank: usize, own_hold: Option<u64>, statuses: &Statuses) -> Option<u64> {
    let newest = newest_pass(statuses);
    let armed = statuses.values().filter_map(|status| Some(status.armed?.pass));
    let pass = armed.filter(|pass| *pass > newest).min()?;
    let is_own = own_hold == Some(pass)
        && statuses.get(&own_rank).is_some_and(|status| status.held == Some(pass));
    (!is_own && !is_guarded(pass, statuses)).then_some(pass)
}

/// Whether `pass` is held at so many ranks that releases to one of them cannot start it.
fn is_guarded(pass: u64, statuses: &Statuses) -> bool {
    let guards = statuses.values().filter(|status| status.held == Some(pass)).count();
    guards >= MIN_GUARDS.min(statuses.len())
}

/// Whether a rank other than `except` holds a pass that has not started.
fn is_pass_held(statuses: &Statuses, except: Option<usize>) -> bool {
    let newest = newest_pass(statuses);
    statuses.iter().any(|(rank, status)| Some(*rank) != except && status.held > Some(newest))
}

/// Returns the newest pass that any rank has started.
pub fn newest_pass(statuses: &Statuses) -> u64 {
    statuses.values().map(|status| status.pass).max().unwrap_or_default()
}

/// Returns a version above `highest` that the agents of other ranks do not use. `random` is a random
/// number.
pub fn next_version(highest: u64, own_rank: usize, random: u64) -> u64 {
    let strides = highest / VERSION_STRIDE + 1 + random % MAX_VERSION_STRIDES;
    strides * VERSION_STRIDE + own_rank as u64 % VERSION_STRIDE
}

/// Returns the highest version that any rank reports as in use, prepared or armed.
pub fn highest_version(statuses: &Statuses) -> u64 {
    let versions = statuses.values().flat_map(|status| {
        let armed = status.armed.map(|switch| switch.version);
        [Some(status.map_version), status.prepared, armed]
    });
    versions.flatten().max().unwrap_or_default()
}

/// Returns the switch for which all ranks are armed, if it is the same for all of them.
fn common_armed_switch(statuses: &Statuses, ranks: usize) -> Option<MapSwitch> {
    let first = statuses.values().next()?.armed?;
    let same =
        statuses.len() == ranks && statuses.values().all(|status| status.armed == Some(first));
    same.then_some(first)
}
