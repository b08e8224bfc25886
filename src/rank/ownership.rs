//! Ownership of a group's map: decides whether this agent is the owner, when the map changes, and
//! to which map.
//!
//! Every agent has this state; the one that receives the heartbeats of most ranks is the owner. Two
//! owners that act at the same time are harmless, see [`change`].

use std::{collections::BTreeMap, time};

use super::{
    Member, OrderOutcome, Status,
    change::{self, Change, End, Plan, Statuses},
    message::{Heartbeat, RankOrder},
    pass_times::PassTimes,
    popularity::Popularity,
    relay,
};
use crate::{
    balance::capacity,
    group::{
        rebalance::{self, LayerMap, SharedMap},
        straggler,
    },
    site::catalog::{ExpertShape, PassCost},
};

/// Age above which a rank's status is too old for decisions.
const MAX_STATUS_AGE: time::Duration = time::Duration::from_millis(700);
/// Time between receiving the heartbeats of most ranks and acting as the owner. Each rank sends its
/// heartbeats to one process at a time, so a previous owner stops acting within [`MAX_STATUS_AGE`].
/// The rest of the delay is for its last exchanges to end.
const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(1_200);
/// Time after losing ownership within which an owner that regains it may act at once. Another process
/// may have received the heartbeats of most ranks from up to [`MAX_STATUS_AGE`] before the loss.
const MAX_REGAIN_DELAY: time::Duration = TAKEOVER_DELAY.saturating_sub(MAX_STATUS_AGE);
/// Time for which an edit of the map is expected to pay: popularity jumps every three to four
/// seconds at the users' sites.
const EDIT_HORIZON: time::Duration = time::Duration::from_millis(2_500);
/// Cost of a copy besides the slowdown of passes, as a fraction of the time that one rank copies,
/// shared among all ranks. The users' prices for moved memory put it at 0.2 on their first sites
/// and at 0.7 on the enlarged ones.
const COPY_COST_FACTOR: f64 = 0.5;
/// Ratio of requests to request slots from which the group counts as fully utilized.
const FULL_UTILIZATION: f64 = 0.6;
/// Rise of the skew since a search that found no edit from which the next one is run at once.
const RETRY_SKEW_RISE: f64 = 0.1;
/// Time after a search that found no edit before the next one, unless the skew rises.
const SEARCH_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);
/// Limit on remembered maps: the one in use and those of the last changes, some of them undone.
const MAX_REMEMBERED_MAPS: usize = 8;
/// Pause after a change that was undone, so that two owners do not keep undoing each other's
/// changes.
const PAUSE_AFTER_UNDO: time::Duration = time::Duration::from_millis(400);

/// Time between two comparisons of the ranks' paces.
const PACE_PERIOD: time::Duration = time::Duration::from_millis(100);

/// State of a rank as its heartbeats show it.
struct Rank {
    status: Status,
    /// Time of the last heartbeat or reply to an order.
    updated_at: time::Duration,
    /// Process that sent the last heartbeat, and the time of that heartbeat.
    agent: Option<(u64, time::Duration)>,
    /// Version of the map in use and the rank's experts by set.
    placement: Option<(u64, Vec<Vec<u16>>)>,
}

impl Rank {
    /// Whether the rank's own agent sent a heartbeat lately, and another process read `status`.
    fn has_newer_agent_status(&self, status: &Status, now: time::Duration) -> bool {
        self.agent.is_some_and(|(agent, heard_at)| {
            agent != status.read_id.0 && heard_at + MAX_STATUS_AGE >= now
        })
    }
}

/// The search for an edit of the map. It takes long in a large group, so it can run on another
/// thread.
#[derive(Clone, Debug)]
pub struct EditSearch {
    epoch: u64,
    /// Version of the map in use.
    version: u64,
    map: SharedMap,
    weights: Vec<Vec<f64>>,
    parameters: rebalance::Parameters,
}

impl EditSearch {
    /// Returns the edit that saves the most time; `None` if no edit pays.
    pub fn run(&self) -> Option<rebalance::Edit> {
        rebalance::best_edit(&self.map, &self.weights, &self.parameters)
    }
}

/// The ownership state of one agent.
pub struct Ownership {
    shape: ExpertShape,
    /// Cost of passes, if the configuration states it.
    cost: Option<PassCost>,
    own_rank: Option<usize>,
    /// Name of the group that the agent's own engine belongs to.
    group: Option<String>,
    epoch: u64,
    ranks: BTreeMap<usize, Rank>,
    group_size: usize,
    popularity: Popularity,
    change: Option<Change>,
    change_started: time::Duration,
    pause_until: time::Duration,
    /// Newest version that this process used in this epoch. Statuses do not show a version that a
    /// rank is still copying.
    last_version: u64,
    /// Newest pass of this epoch that any owner may have held.
    last_held_pass: u64,
    /// Whether `last_held_pass` covers what previous owners may have held.
    knows_held_passes: bool,
    /// Skew expected after the change under way.
    expected_skew: f64,
    /// Whether choices were received since the change under way was last checked against them.
    has_new_choices: bool,
    /// Skew at the last search that found no edit that pays, and the time of that search.
    failed_search: Option<(f64, time::Duration)>,
    is_owner: bool,
    /// Time from which this process may act as the owner.
    may_act_from: time::Duration,
    /// Time at which ownership was last lost, if this process had been allowed to act and has not
    /// been stalled since.
    lost_at: Option<time::Duration>,
    /// Newest maps that the agent's own engine was ordered to copy, by epoch and version.
    maps: BTreeMap<(u64, u64), SharedMap>,
    passes: PassTimes,
    paces: straggler::Detector,
    /// Ranks that are slow, with their pace over the median.
    slow: BTreeMap<usize, f64>,
    next_pace_period: time::Duration,
}

impl Ownership {
    /// Creates the state for a group of engines of this shape.
    pub fn new(shape: ExpertShape, cost: Option<PassCost>) -> Self {
        Self {
            shape,
            cost,
            own_rank: None,
            group: None,
            epoch: 0,
            ranks: BTreeMap::new(),
            group_size: 0,
            popularity: Popularity::new(time::Duration::ZERO),
            change: None,
            change_started: time::Duration::ZERO,
            pause_until: time::Duration::ZERO,
            last_version: 0,
            last_held_pass: 0,
            knows_held_passes: false,
            expected_skew: 1.0,
            has_new_choices: false,
            failed_search: None,
            is_owner: false,
            may_act_from: time::Duration::ZERO,
            lost_at: None,
            maps: BTreeMap::new(),
            passes: PassTimes::default(),
            paces: straggler::Detector::default(),
            slow: BTreeMap::new(),
            next_pace_period: time::Duration::ZERO,
        }
    }

    /// Sets the group and the rank of the agent's own engine. What is known of another group, such as
    /// its epoch, is dropped.
    pub fn set_own_member(&mut self, member: &Member) {
        self.own_rank = Some(member.rank);
        if self.group.as_deref() != Some(&member.group) {
            self.group = Some(member.group.clone());
            self.reset_for_epoch(member.epoch, member.ranks);
        }
    }

    /// Handles a heartbeat. Returns whether the next one of that rank is to include the placement.
    pub fn receive_heartbeat(&mut self, now: time::Duration, heartbeat: Heartbeat) -> bool {
        let Some(member) = heartbeat.status.member.clone() else { return false };
        if self.group.as_ref().is_some_and(|group| *group != member.group) {
            log::info!(group = member.group, rank = member.rank; "heartbeat of another group ignored");
            return false;
        }
        if member.epoch < self.epoch {
            return false;
        }
        if member.epoch > self.epoch {
            self.reset_for_epoch(member.epoch, member.ranks);
        }
        if let Some(choices) = heartbeat.choices.filter(|choices| choices.epoch == self.epoch) {
            self.popularity.add(now, &choices);
            self.has_new_choices = true;
        }
        let (pass, agent) = (heartbeat.status.pass, heartbeat.status.read_id.0);
        if let Some(rank) = self.ranks.get_mut(&member.rank) {
            rank.agent = Some((agent, now));
        }
        self.update_status(now, now, member.rank, heartbeat.status);
        if let Some(rank) = self.ranks.get_mut(&member.rank) {
            rank.agent = Some((agent, now));
        }
        let running: u32 = self.ranks.values().map(|rank| rank.status.running).sum();
        self.passes.record(now, pass, f64::from(running) / self.group_size.max(1) as f64);
        let Some(rank) = self.ranks.get_mut(&member.rank) else { return false };
        if let Some(placement) =
            heartbeat.placement.filter(|placement| placement.epoch == self.epoch)
        {
            rank.placement = Some((placement.version, placement.experts));
        }
        let version = rank.placement.as_ref().map(|(version, _)| *version);
        version != Some(rank.status.map_version)
    }

    /// Remembers a map that the agent's own engine is ordered to copy. An owner that takes over
    /// needs the map in use, also while a rank cannot report its placement. Until it takes over it
    /// receives no heartbeats and knows no epoch, so the map is remembered for any epoch.
    pub fn remember_map(&mut self, epoch: u64, version: u64, map: SharedMap) {
        self.maps.insert((epoch, version), map);
        while self.maps.len() > MAX_REMEMBERED_MAPS {
            self.maps.pop_first();
        }
    }

    /// Returns the ranks without a recent heartbeat, whose engines are to be polled directly; none
    /// unless this process is the owner.
    pub fn silent_ranks(&self, now: time::Duration) -> Vec<usize> {
        let is_recent = |rank: &usize| {
            self.ranks.get(rank).is_some_and(|rank| rank.updated_at + MAX_STATUS_AGE >= now)
        };
        let ranks = if self.is_owner { self.group_size } else { 0 };
        (0..ranks).filter(|rank| !is_recent(rank)).collect()
    }

    /// Handles the status of an engine that was polled because its agent is silent. It does not
    /// count as a heartbeat: the agent remains silent.
    pub fn receive_polled_status(&mut self, now: time::Duration, status: Status) {
        let Some(rank) = status.member.as_ref().map(|member| member.rank) else { return };
        let updated_at = self.ranks.get(&rank).map_or(time::Duration::ZERO, |rank| rank.updated_at);
        self.update_status(now, updated_at, rank, status);
    }

    /// Handles the reply to an order; `outcome` is `None` if there was no answer.
    pub fn receive_reply(
        &mut self,
        now: time::Duration,
        order: &RankOrder,
        outcome: Option<&OrderOutcome>,
        status: Option<Status>,
    ) {
        // The address of a rank may be that of another one by now, whose answer says nothing.
        let answered_by_other = status
            .as_ref()
            .filter(|status| self.is_of_other(status, order.rank))
            .map(|status| OrderOutcome::Refused(format!("answered by {:?}", status.member)));
        let status = status.filter(|_| answered_by_other.is_none());
        let outcome = answered_by_other.as_ref().or(outcome);
        let why = match outcome {
            Some(OrderOutcome::Refused(why)) => Some(why.as_str()),
            Some(_) => None,
            None => Some("no answer"),
        };
        if let Some(why) = why {
            let action = &order.order.action;
            log::info!(
                rank = order.rank,
                action = action.label(),
                version:? = action.version(),
                pass:? = action.pass(),
                epoch = order.order.epoch,
                why;
                "order refused or not answered"
            );
        }
        if let Some(status) = status {
            self.update_status(now, now, order.rank, status);
        }
        if let Some(change) = &mut self.change {
            change.receive_reply(now, order.rank, &order.order, outcome);
        }
    }

    /// Whether `status` is that of another engine than the one of `rank` in this group.
    fn is_of_other(&self, status: &Status, rank: usize) -> bool {
        status.member.as_ref().is_some_and(|member| {
            member.rank != rank || self.group.as_ref().is_some_and(|group| *group != member.group)
        })
    }

    /// Drops the change under way and makes all statuses stale, after the process was stalled.
    pub fn reset_after_stall(&mut self) {
        for rank in self.ranks.values_mut() {
            rank.updated_at = time::Duration::ZERO;
        }
        self.is_owner = false;
        self.lost_at = None;
        self.change = None;
        self.passes = PassTimes::default();
    }

    /// Whether a change of the map is under way.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Returns the number of running and queued requests of each rank; `None` if this process is
    /// not the owner.
    pub fn requests_by_rank(&self) -> Option<BTreeMap<usize, u32>> {
        let requests = |rank: &Rank| rank.status.running + rank.status.queued;
        self.is_owner.then(|| self.ranks.iter().map(|(n, rank)| (*n, requests(rank))).collect())
    }

    /// Returns the ranks that are slow, with their pace over the median.
    pub fn slow_ranks(&self) -> impl Iterator<Item = (usize, f64)> {
        self.slow.iter().map(|(rank, pace)| (*rank, *pace))
    }

    /// Returns the measured passes of the group; `None` unless this process is the owner and the
    /// group makes passes.
    pub fn pass_estimate(&self, now: time::Duration) -> Option<capacity::PassEstimate> {
        let cost = self.cost.as_ref().filter(|_| self.is_owner)?;
        // A rank without requests has no part of its own in a pass.
        let busy = self.ranks.values().filter(|rank| rank.status.running > 0);
        let slowest = busy.map(|rank| rank.status.pace).fold(1.0, f64::max);
        self.passes.estimate(now, capacity::pass_duration(cost, 0.0, 1.0), slowest)
    }

    /// Compares the paces of the ranks at regular intervals.
    fn update_slow_ranks(&mut self, now: time::Duration) {
        if now < self.next_pace_period || self.ranks.len() != self.group_size {
            return;
        }
        self.next_pace_period = now + PACE_PERIOD;
        let sample = |rank: &Rank| straggler::Sample { tokens: 1.0, busy_s: rank.status.pace };
        let samples: Vec<straggler::Sample> = self.ranks.values().map(sample).collect();
        let found = self.paces.add_period(&samples);
        let slow: BTreeMap<usize, f64> = found.iter().map(|s| (s.rank, s.factor)).collect();
        let is_new = |rank: &usize| !self.slow.contains_key(rank);
        for (rank, factor) in slow.iter().filter(|(rank, _)| is_new(rank)) {
            let (pace, factor) = (samples[*rank].busy_s, format!("{factor:.2}"));
            log::info!(rank, pace, factor, epoch = self.epoch; "rank is slow; relieving it");
        }
        for rank in self.slow.keys().filter(|rank| !slow.contains_key(rank)) {
            let pace = samples[*rank].busy_s;
            log::info!(rank, pace, epoch = self.epoch; "rank is no longer slow");
        }
        if slow.keys().ne(self.slow.keys()) {
            // The search that found no edit was for other ranks.
            self.failed_search = None;
        }
        self.slow = slow;
    }

    /// Returns the slowness of each rank.
    fn slowness(&self) -> Vec<f64> {
        (0..self.group_size).map(|rank| self.slow.get(&rank).copied().unwrap_or(1.0)).collect()
    }

    /// Logs the passes, requests and skew of the group; nothing unless this process is the owner.
    pub fn log_summary(&mut self, now: time::Duration) {
        if !self.is_owner {
            return;
        }
        let requests = self.ranks.values().map(|rank| rank.status.running + rank.status.queued);
        let weights = self.popularity.weights(now);
        let skew = weights
            .zip(self.map_in_use())
            .map(|(weights, map)| rebalance::mean_skew(&map, &weights, &self.slowness()));
        let passes = self.pass_estimate(now);
        log::info!(
            epoch = self.epoch,
            pass = self.ranks.values().map(|rank| rank.status.pass).max(),
            pass_ms:? = passes.map(|passes| passes.pass_ms(passes.requests).round()),
            fixed_ms:? = passes.map(|passes| passes.fixed_ms.round()),
            requests = requests.clone().sum::<u32>(),
            busiest_rank = requests.max(),
            slow_ranks:? = self.slow.keys().collect::<Vec<_>>(),
            skew:? = skew.map(|skew| format!("{skew:.2}"));
            "group state"
        );
    }

    /// Advances the change under way, or undoes a leftover one, and returns the orders to send.
    /// `random` is a random number.
    pub fn step(&mut self, now: time::Duration, random: u64) -> Vec<RankOrder> {
        let Some(statuses) = self.statuses_to_act_on(now) else { return Vec::new() };
        self.update_slow_ranks(now);
        if self.is_change_outdated(now)
            && let Some(change) = self.change.take()
        {
            self.finish_change(now, &change, &End::Undone("popularity jumped"));
            self.pause_until = now;
        }
        if self.change.is_none() {
            self.undo_leftover(now, &statuses, random);
        }
        let Some(mut change) = self.change.take() else { return Vec::new() };
        let phase = change.phase();
        let orders = change.step(now, &statuses);
        if change.phase() != phase {
            self.log_phase(now, &change, &statuses);
        }
        self.last_held_pass = self.last_held_pass.max(change.last_held_pass());
        self.last_version = self.last_version.max(change.last_version());
        match change.end().cloned() {
            Some(end) => self.finish_change(now, &change, &end),
            None => self.change = Some(change),
        }
        orders.into_iter().map(|(rank, order)| RankOrder { rank, order }).collect()
    }

    /// Returns the search for an edit of the map to run, if an edit may pay now. The caller runs it
    /// and passes the result to [`begin_change`](Self::begin_change).
    pub fn edit_search(&mut self, now: time::Duration) -> Option<EditSearch> {
        if self.change.is_some() || now < self.pause_until {
            return None;
        }
        let statuses = self.statuses_to_act_on(now)?;
        if !change::can_hold(self.last_held_pass, &statuses) {
            return None;
        }
        if !statuses.values().all(|status| status.member.as_ref().is_some_and(|m| m.open)) {
            return None;
        }
        let weights = self.popularity.weights(now)?;
        let copy_time = self.shape.copy_time;
        let parameters = rebalance::Parameters {
            slots: self.shape.experts_per_rank,
            max_copies_per_layer: self.shape.max_copies,
            copy_time,
            expert_part: self.expert_part(&statuses),
            interference: capacity::COPY_SLOWDOWN,
            horizon: EDIT_HORIZON,
            copy_cost: copy_time.mul_f64(COPY_COST_FACTOR) / self.group_size.max(1) as u32,
            utilization: self.utilization(&statuses),
            slowness: self.slowness(),
        };
        let map = self.map_in_use()?;
        let skew = rebalance::mean_skew(&map, &weights, &parameters.slowness);
        let too_soon = self.failed_search.is_some_and(|(failed_skew, at)| {
            skew < failed_skew + RETRY_SKEW_RISE && now < at + SEARCH_RETRY_DELAY
        });
        let may_pay = !too_soon && rebalance::could_pay(skew, &parameters);
        let version = self.ranks.values().next()?.status.map_version;
        may_pay.then_some(EditSearch { epoch: self.epoch, version, map, weights, parameters })
    }

    /// Starts a change to the map of `edit`, unless the group's epoch or map has changed since the
    /// search. `edit` is `None` if no edit pays.
    pub fn begin_change(
        &mut self,
        now: time::Duration,
        search: &EditSearch,
        edit: Option<rebalance::Edit>,
        random: u64,
    ) {
        let Some(edit) = edit else {
            let slowness = &search.parameters.slowness;
            let skew = rebalance::mean_skew(&search.map, &search.weights, slowness);
            self.failed_search = Some((skew, now));
            return;
        };
        let Some(statuses) = self.statuses_to_act_on(now) else { return };
        let version = self.ranks.values().next().map(|rank| rank.status.map_version);
        let unchanged = self.epoch == search.epoch && version == Some(search.version);
        if self.change.is_some() || !unchanged {
            return;
        }
        if self.popularity.weights(now).is_some_and(|weights| {
            rebalance::is_outdated(&edit.map, &search.map, edit.skew.1, &weights, &self.slowness())
        }) {
            log::info!(epoch = self.epoch; "map change not started: popularity jumped");
            return;
        }
        let copy_time = self.shape.copy_time * edit.copies_per_rank as u32;
        let Some(plan) = self.plan(
            &statuses,
            SharedMap::new(edit.map),
            SharedMap::clone(&search.map),
            copy_time,
            random,
        ) else {
            return;
        };
        log::info!(
            epoch = self.epoch,
            version = plan.version,
            skew_before = format!("{:.2}", edit.skew.0),
            skew_after = format!("{:.2}", edit.skew.1),
            copies = edit.copies_per_rank,
            net_ms = (edit.net_s * 1000.0) as u64;
            "map change started"
        );
        (self.change_started, self.expected_skew) = (now, edit.skew.1);
        self.last_version = plan.version;
        self.change = Some(Change::new(now, plan));
    }

    /// Starts to undo a change that another owner left armed or held, if there is one.
    fn undo_leftover(&mut self, now: time::Duration, statuses: &Statuses, random: u64) {
        if !change::has_leftover(statuses) {
            return;
        }
        let Some(map) = self.map_in_use() else { return };
        let Some(plan) =
            self.plan(statuses, SharedMap::clone(&map), map, time::Duration::ZERO, random)
        else {
            return;
        };
        log::warn!(epoch = self.epoch, version = plan.version; "undoing a leftover map change");
        self.change_started = now;
        self.last_version = plan.version;
        let change = Change::undo_leftover(now, plan, statuses);
        self.log_phase(now, &change, statuses);
        self.change = Some(change);
    }

    fn plan(
        &self,
        statuses: &Statuses,
        new_map: SharedMap,
        current_map: SharedMap,
        copy_time: time::Duration,
        random: u64,
    ) -> Option<Plan> {
        let own_rank = self.own_rank?;
        let highest = change::highest_version(statuses).max(self.last_version);
        Some(Plan {
            epoch: self.epoch,
            own_rank,
            ranks: self.group_size,
            version: change::next_version(highest, own_rank, random),
            new_map,
            current_map,
            copy_time,
            last_held_pass: self.last_held_pass,
        })
    }

    /// Drops the state of the previous epoch, as the group has re-formed.
    fn reset_for_epoch(&mut self, epoch: u64, size: usize) {
        log::info!(epoch, previous_epoch = self.epoch, size; "group formed");
        (self.epoch, self.group_size) = (epoch, size);
        self.ranks.clear();
        let experts = self.shape.layer_sets * self.shape.experts_per_set;
        self.popularity = Popularity::new(relay::choices_interval(size, experts));
        self.change = None;
        (self.last_held_pass, self.last_version) = (0, 0);
        self.failed_search = None;
        (self.passes, self.paces, self.slow) = Default::default();
        self.maps.retain(|(map_epoch, _), _| *map_epoch >= epoch);
    }

    /// Records the status of a rank as of `updated_at`, unless it is of another engine or epoch or may
    /// be older than the known one.
    fn update_status(
        &mut self,
        now: time::Duration,
        updated_at: time::Duration,
        rank: usize,
        status: Status,
    ) {
        let epoch = status.member.as_ref().map(|member| member.epoch);
        if epoch != Some(self.epoch) || self.is_of_other(&status, rank) {
            return;
        }
        match self.ranks.get_mut(&rank) {
            // A heartbeat may arrive after the reply to an order that has a newer status.
            Some(known) if is_older(&status, &known.status) => {}
            // An engine answers other hosts with values that are some hundred milliseconds old, so
            // such a status must not replace that of the rank's own agent.
            Some(known) if known.has_newer_agent_status(&status, now) => {}
            Some(known) => (known.status, known.updated_at) = (status, updated_at),
            None => {
                self.ranks.insert(rank, Rank { status, updated_at, agent: None, placement: None });
            }
        }
    }

    /// Returns the newest statuses if this process may act on them as the owner: it has recent
    /// heartbeats of most ranks, its own among them, and the status of every rank in this epoch,
    /// and its takeover delay is over.
    fn statuses_to_act_on(&mut self, now: time::Duration) -> Option<Statuses> {
        let is_recent = |rank: &&Rank| rank.updated_at + MAX_STATUS_AGE >= now;
        let recent = self.ranks.values().filter(is_recent).count();
        let own_is_recent = self
            .own_rank
            .and_then(|own_rank| self.ranks.get(&own_rank))
            .is_some_and(|rank| is_recent(&rank));
        let is_owner = self.group_size > 0 && recent * 2 > self.group_size && own_is_recent;
        if is_owner != self.is_owner {
            self.is_owner = is_owner;
            match is_owner {
                // This process acted so recently that any other owner is still in its takeover
                // delay.
                true if self.lost_at.is_some_and(|at| now < at + MAX_REGAIN_DELAY) => {}
                true => {
                    self.may_act_from = now + TAKEOVER_DELAY;
                    self.knows_held_passes = false;
                }
                false => self.lost_at = (now >= self.may_act_from).then_some(now),
            }
            log::info!(
                epoch = self.epoch, is_owner, heartbeats = recent, ranks = self.group_size;
                "map ownership changed"
            );
        }
        if !is_owner && self.change.take().is_some() {
            // The next owner undoes what this change has left armed or held.
            log::warn!(epoch = self.epoch; "map change dropped: ownership lost");
        }
        let complete = self.ranks.len() == self.group_size;
        if !is_owner || !complete || now < self.may_act_from {
            return None;
        }
        let statuses =
            self.ranks.iter().map(|(rank, known)| (*rank, known.status.clone())).collect();
        if !std::mem::replace(&mut self.knows_held_passes, true) {
            self.last_held_pass = self.last_held_pass.max(change::last_reachable_pass(&statuses));
        }
        Some(statuses)
    }

    /// Whether popularity has jumped since the change under way was planned, while ranks still only
    /// copy. Nothing is armed or held then, so the change can be dropped; the next one has a higher
    /// version.
    fn is_change_outdated(&mut self, now: time::Duration) -> bool {
        let has_new_choices = std::mem::take(&mut self.has_new_choices);
        let Some(change) =
            self.change.as_ref().filter(|change| has_new_choices && change.is_preparing())
        else {
            return false;
        };
        let Some(weights) = self.popularity.weights(now) else { return false };
        let (planned, present) = (change.new_map(), change.current_map());
        rebalance::is_outdated(planned, present, self.expected_skew, &weights, &self.slowness())
    }

    /// Returns the utilization of the group, from 0 to 1.
    fn utilization(&self, statuses: &Statuses) -> f64 {
        let requests: u32 = statuses.values().map(|status| status.running + status.queued).sum();
        let full = f64::from(self.shape.slots) * self.group_size as f64 * FULL_UTILIZATION;
        (f64::from(requests) / full.max(1.0)).clamp(0.0, 1.0)
    }

    /// Returns the fraction of a balanced pass that is spent in experts. An engine with few
    /// requests spends most of a pass on work that does not depend on the map.
    fn expert_part(&self, statuses: &Statuses) -> f64 {
        let Some(cost) = &self.cost else { return self.shape.expert_share };
        let running: u32 = statuses.values().map(|status| status.running).sum();
        let requests = f64::from(running) / self.group_size.max(1) as f64;
        let idle_pass = capacity::pass_duration(cost, 0.0, 1.0).as_secs_f64();
        let busy_pass = capacity::pass_duration(cost, requests, 1.0).as_secs_f64();
        self.shape.expert_share * (1.0 - idle_pass / busy_pass)
    }

    /// Returns the map in use, by set and rank, if all ranks use the same version and this process
    /// remembers it or every rank has reported its placement.
    fn map_in_use(&self) -> Option<SharedMap> {
        let version = self.ranks.values().next()?.status.map_version;
        if let Some(map) = self.maps.get(&(self.epoch, version)) {
            return self
                .ranks
                .values()
                .all(|rank| rank.status.map_version == version)
                .then(|| map.clone());
        }
        let experts_of = |rank: &Rank| {
            let (placed_version, experts) = rank.placement.as_ref()?;
            (rank.status.map_version == version && *placed_version == version)
                .then(|| experts.clone())
        };
        let by_rank: Vec<Vec<Vec<u16>>> =
            self.ranks.values().map(experts_of).collect::<Option<_>>()?;
        let layer = |set: usize| by_rank.iter().map(|sets| sets.get(set).cloned()).collect();
        let map: Option<Vec<LayerMap>> = (0..self.shape.layer_sets).map(layer).collect();
        map.map(SharedMap::new)
    }

    /// Logs the phase that `change` has come to, with the statuses that it follows from.
    fn log_phase(&self, now: time::Duration, change: &Change, statuses: &Statuses) {
        let oldest = self.ranks.values().map(|rank| rank.updated_at).min().unwrap_or_default();
        log::info!(
            epoch = self.epoch,
            version = change.version(),
            phase = change.phase(),
            newest_pass = change::newest_pass(statuses),
            held:? = count_ranks(statuses, |status| status.held),
            armed:? = count_ranks(statuses, |status| status.armed.map(|s| (s.version, s.pass))),
            prepared:? = count_ranks(statuses, |status| status.prepared),
            oldest_status_ms = now.saturating_sub(oldest).as_millis() as u64;
            "map change entered a phase"
        );
    }

    /// Logs how `change` ended, and applies the result.
    fn finish_change(&mut self, now: time::Duration, change: &Change, end: &End) {
        let took_ms = now.saturating_sub(self.change_started).as_millis() as u64;
        log::info!(
            epoch = self.epoch,
            version = change.version(),
            end:? = end,
            took_ms,
            phases = format_phases(change, now);
            "map change finished"
        );
        match end {
            End::Changed => {
                for (rank, known) in &mut self.ranks {
                    let experts = change.new_map().iter().map(|layer| layer[*rank].clone());
                    known.placement = Some((change.version(), experts.collect()));
                }
            }
            End::Undone(_) => self.pause_until = now + PAUSE_AFTER_UNDO,
            End::Lost => {}
        }
    }
}

/// Returns the number of ranks with each value that `field` returns.
fn count_ranks<T: Ord>(
    statuses: &Statuses,
    field: impl Fn(&Status) -> Option<T>,
) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    for value in statuses.values().filter_map(field) {
        *counts.entry(value).or_default() += 1;
    }
    counts
}

/// Formats the time that each phase of a change took, in milliseconds, for the log.
fn format_phases(change: &Change, now: time::Duration) -> String {
    let phases = change.phases(now).into_iter();
    let each = phases.map(|(phase, took)| format!("{phase}={}", took.as_millis()));
    each.collect::<Vec<_>>().join(",")
}

/// Whether `status` and `known` were read by the same process and `status` first.
fn is_older(status: &Status, known: &Status) -> bool {
    status.read_id.0 == known.read_id.0 && status.read_id.1 < known.read_id.1
}
