//! The duty for one group: when its map changes, and to what.
//!
//! Every agent holds one of these; the one that gets the pulses of most ranks acts. Two that act
//! at once are harmless, see [`change`].

use std::{collections::BTreeMap, time};

use super::{
    OrderOutcome, Status,
    change::{self, Change, End, Plan, Statuses},
    message::{Heartbeat, RankOrder},
    popularity::Popularity,
};
use crate::{
    balance::capacity,
    group::rebalance::{self, LayerMap},
    site::catalog::{ExpertShape, PassCost},
};

/// Age at which a rank's status is too old to decide on.
const FRESH: time::Duration = time::Duration::from_millis(700);
/// Time between getting the pulses of most ranks and acting on them. Each rank sends its pulses to
/// one process at a time, so another one that had them has by then not been acting for [`FRESH`]
/// less, and its last exchanges are over.
const QUIET: time::Duration = time::Duration::from_millis(1_200);
/// Time for which an edit of the map is expected to pay; popularity is known to jump every three
/// to four seconds at the users' sites.
const HORIZON: time::Duration = time::Duration::from_millis(2_500);
/// Part of the time of one rank's copying, shared out over all ranks, that a copy costs besides:
/// by the users' prices of memory moved, 0.2 on their first sites and 0.7 on the grown ones.
const PER_COPY: f64 = 0.5;
/// Requests of a rank, over its slots, from which the group counts as wholly busy.
const BUSY_AT: f64 = 0.6;
/// Rise of a planned map's skew, over what was expected of it, from which it is planned anew.
const OUTDATED: f64 = 0.6;
/// Rise of the skew over that for which no edit paid from which an edit may pay again.
const RISEN: f64 = 0.1;
/// Time after which an edit that did not pay is looked for again.
const LOOK_AGAIN: time::Duration = time::Duration::from_millis(1_000);
/// Maps that are remembered: the one in use and those of the last changes, some of them undone.
const MAPS_KEPT: usize = 8;
/// Pause after a change that was undone, so that two owners do not undo each other's for long.
const AFTER_UNDO: time::Duration = time::Duration::from_millis(400);
/// Span from which a version's increment is drawn, so that two owners do not use the same one.
const VERSION_SPAN: u64 = 1 << 12;

/// A rank as its pulses show it.
struct Rank {
    status: Status,
    at: time::Duration,
    placed: Option<(u64, Vec<Vec<u16>>)>,
}

/// What an edit of the map is decided on.
#[derive(Clone, Debug)]
pub struct EditSearch {
    epoch: u64,
    /// Version of the map.
    version: u64,
    map: Vec<LayerMap>,
    weights: Vec<Vec<f64>>,
    terms: rebalance::Parameters,
}

impl EditSearch {
    /// The edit that saves most, if one pays.
    pub fn answer(&self) -> Option<rebalance::Edit> {
        rebalance::best_edit(&self.map, &self.weights, &self.terms)
    }
}

/// State of the duty at one agent.
pub struct Ownership {
    shape: ExpertShape,
    /// Cost of passes, where operators state it.
    cost: Option<PassCost>,
    own: Option<usize>,
    epoch: u64,
    ranks: BTreeMap<usize, Rank>,
    size: usize,
    popularity: Popularity,
    change: Option<Change>,
    began: time::Duration,
    pause_until: time::Duration,
    /// Newest version that this process had in this epoch; ranks do not show one that they copy.
    last: u64,
    /// Newest pass that was held in this epoch. None is held twice, so that a release that
    /// arrives late finds nothing to release.
    held: u64,
    /// Skew expected after the change under way.
    expected: f64,
    /// Whether choices came since the change under way was last compared with them.
    chosen: bool,
    /// Skew for which no edit paid, and when that was.
    unpaid: Option<(f64, time::Duration)>,
    acting: bool,
    /// When this process may act, since it has the pulses of most ranks.
    acts_from: time::Duration,
    /// When the duty was lost last, if this process acted and has not stood still since.
    lost_at: Option<time::Duration>,
    /// Newest maps that the engine beside this process was told to copy, by epoch and version.
    maps: BTreeMap<(u64, u64), Vec<LayerMap>>,
}

impl Ownership {
    /// A duty for a group of engines of this shape.
    pub fn new(shape: ExpertShape, cost: Option<PassCost>) -> Self {
        Self {
            shape,
            cost,
            own: None,
            epoch: 0,
            ranks: BTreeMap::new(),
            size: 0,
            popularity: Popularity::default(),
            change: None,
            began: time::Duration::ZERO,
            pause_until: time::Duration::ZERO,
            last: 0,
            held: 0,
            expected: 1.0,
            chosen: false,
            unpaid: None,
            acting: false,
            acts_from: time::Duration::ZERO,
            lost_at: None,
            maps: BTreeMap::new(),
        }
    }

    /// Sets the rank beside this process.
    pub fn set_own_rank(&mut self, rank: usize) {
        self.own = Some(rank);
    }

    /// Takes the pulse of a rank; gives whether the next one is to say what its engine holds.
    pub fn receive_heartbeat(&mut self, now: time::Duration, pulse: Heartbeat) -> bool {
        let Some(member) = pulse.status.member.clone() else { return false };
        if member.epoch < self.epoch {
            return false;
        }
        if member.epoch > self.epoch {
            self.form(member.epoch, member.ranks);
        }
        if let Some(choices) = pulse.choices.filter(|choices| choices.epoch == self.epoch) {
            self.popularity.add(now, &choices);
            self.chosen = true;
        }
        self.learn(now, member.rank, pulse.status);
        let Some(rank) = self.ranks.get_mut(&member.rank) else { return false };
        if let Some(placed) = pulse.placement.filter(|placed| placed.epoch == self.epoch) {
            rank.placed = Some((placed.version, placed.experts));
        }
        let version = rank.placed.as_ref().map(|(version, _)| *version);
        version != Some(rank.status.map_version)
    }

    /// Notes a map that the engine beside this process was told to copy: an owner that takes over
    /// needs the map in use, also while a rank cannot say what it holds. Until then it has no
    /// pulses and knows no epoch.
    pub fn remember_map(&mut self, epoch: u64, version: u64, map: Vec<LayerMap>) {
        self.maps.insert((epoch, version), map);
        while self.maps.len() > MAPS_KEPT {
            self.maps.pop_first();
        }
    }

    /// Ranks of which nothing was heard lately, for which their engines are to be asked; none
    /// unless this process acts.
    pub fn silent_ranks(&self, now: time::Duration) -> Vec<usize> {
        let fresh = |rank: &usize| self.ranks.get(rank).is_some_and(|rank| rank.at + FRESH >= now);
        let ranks = if self.acting { self.size } else { 0 };
        (0..ranks).filter(|rank| !fresh(rank)).collect()
    }

    /// Takes the state of an engine whose agent is silent. It does not speak for its agent.
    pub fn receive_polled_status(&mut self, status: Status) {
        let Some(rank) = status.member.as_ref().map(|member| member.rank) else { return };
        let at = self.ranks.get(&rank).map_or(time::Duration::ZERO, |rank| rank.at);
        self.learn(at, rank, status);
    }

    /// Takes the answer to an order; `None` if there was none.
    pub fn answer(
        &mut self,
        now: time::Duration,
        errand: &RankOrder,
        accepted: Option<&OrderOutcome>,
        status: Option<Status>,
    ) {
        let why = match accepted {
            Some(OrderOutcome::Refused(why)) => Some(why.as_str()),
            Some(_) => None,
            None => Some("no answer"),
        };
        if let Some(why) = why {
            let act = errand.order.action.label();
            log::info!(rank = errand.rank, act, epoch = errand.order.epoch, why; "order not taken");
        }
        if let Some(status) = status {
            self.learn(now, errand.rank, status);
        }
        if let Some(change) = &mut self.change {
            change.answer(now, errand.rank, &errand.order, accepted);
        }
    }

    /// Forgets how recent the pulses are, after the process stood still.
    pub fn reset_after_stall(&mut self) {
        for rank in self.ranks.values_mut() {
            rank.at = time::Duration::ZERO;
        }
        self.acting = false;
        self.lost_at = None;
        self.change = None;
    }

    /// Whether a change of the map is under way.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Requests that each rank runs or has waiting; `None` if this process does not act.
    pub fn requests_by_rank(&self) -> Option<BTreeMap<usize, u32>> {
        let requests = |rank: &Rank| rank.status.running + rank.status.queued;
        self.acting.then(|| self.ranks.iter().map(|(n, rank)| (*n, requests(rank))).collect())
    }

    /// Goes on; gives the orders to send. `draw` is a random number.
    pub fn step(&mut self, now: time::Duration, draw: u64) -> Vec<RankOrder> {
        let Some(seen) = self.seen(now) else { return Vec::new() };
        if self.is_outdated(now) {
            self.over(now, &End::Undone("popularity jumped"));
            self.pause_until = now;
        }
        if self.change.is_none() {
            self.settle(now, &seen, draw);
        }
        let Some(change) = &mut self.change else { return Vec::new() };
        let orders = change.step(now, &seen);
        self.held = self.held.max(change.held());
        if let Some(end) = change.end().cloned() {
            self.over(now, &end);
        }
        orders.into_iter().map(|(rank, order)| RankOrder { rank, order }).collect()
    }

    /// What an edit of the map is to be decided on, if one may pay now. Deciding takes long in a
    /// large group, so it is done elsewhere and comes back by [`begin`](Self::begin).
    pub fn edit_search(&mut self, now: time::Duration) -> Option<EditSearch> {
        if self.change.is_some() || now < self.pause_until {
            return None;
        }
        let seen = self.seen(now)?;
        if !seen.values().all(|status| status.member.as_ref().is_some_and(|m| m.open)) {
            return None;
        }
        let weights = self.popularity.weights(now)?;
        let copy = self.shape.copy_time;
        let terms = rebalance::Parameters {
            slots: self.shape.experts_per_rank,
            max_copies_per_layer: self.shape.max_copies,
            copy_time: copy,
            expert_part: self.expert_part(&seen),
            interference: capacity::COPY_SLOWDOWN,
            horizon: HORIZON,
            copy_cost: copy.mul_f64(PER_COPY) / self.size.max(1) as u32,
            utilization: self.busy(&seen),
        };
        let map = self.map()?;
        let skew = rebalance::mean_skew(&map, &weights);
        let unpaid =
            self.unpaid.is_some_and(|(unpaid, at)| skew < unpaid + RISEN && now < at + LOOK_AGAIN);
        let pays = !unpaid && rebalance::could_pay(skew, &terms);
        let version = self.ranks.values().next()?.status.map_version;
        pays.then_some(EditSearch { epoch: self.epoch, version, map, weights, terms })
    }

    /// Begins the edit that was decided on, unless the group has moved on meanwhile. `None` says
    /// that none pays.
    pub fn begin_change(
        &mut self,
        now: time::Duration,
        question: &EditSearch,
        edit: Option<rebalance::Edit>,
        draw: u64,
    ) {
        let Some(edit) = edit else {
            self.unpaid = Some((rebalance::mean_skew(&question.map, &question.weights), now));
            return;
        };
        let Some(seen) = self.seen(now) else { return };
        let used = self.ranks.values().next().map(|rank| rank.status.map_version);
        let same = self.epoch == question.epoch && used == Some(question.version);
        if self.change.is_some() || !same {
            return;
        }
        let weights = self.popularity.weights(now);
        let skew = weights.map(|weights| rebalance::mean_skew(&edit.map, &weights));
        if skew.is_some_and(|skew| skew > edit.skew.1 + OUTDATED) {
            log::info!(epoch = self.epoch; "map change not begun: popularity jumped");
            return;
        }
        let copying = self.shape.copy_time * edit.copies_per_rank as u32;
        let Some(plan) = self.plan(&seen, edit.map, &question.map, copying, draw) else { return };
        log::info!(
            epoch = self.epoch,
            version = plan.version,
            skew_before = format!("{:.2}", edit.skew.0),
            skew_after = format!("{:.2}", edit.skew.1),
            copies = edit.copies_per_rank,
            net_ms = (edit.net_s * 1000.0) as u64;
            "map change begins"
        );
        (self.began, self.expected) = (now, edit.skew.1);
        self.last = plan.version;
        self.change = Some(Change::new(now, plan));
    }

    /// Takes up what was left armed or held, if anything was.
    fn settle(&mut self, now: time::Duration, seen: &Statuses, draw: u64) {
        let left = seen.values().any(|status| status.armed.is_some() || status.held.is_some());
        let Some(map) = self.map().filter(|_| left) else { return };
        let Some(plan) = self.plan(seen, map.clone(), &map, time::Duration::ZERO, draw) else {
            return;
        };
        log::warn!(epoch = self.epoch, version = plan.version; "settling a change left behind");
        self.began = now;
        self.last = plan.version;
        self.change = Some(Change::undo_leftover(now, plan, seen));
    }

    fn plan(
        &self,
        seen: &Statuses,
        map: Vec<LayerMap>,
        old: &[LayerMap],
        copying: time::Duration,
        draw: u64,
    ) -> Option<Plan> {
        Some(Plan {
            epoch: self.epoch,
            own: self.own?,
            ranks: self.size,
            version: change::highest_version(seen).max(self.last) + 1 + draw % VERSION_SPAN,
            map,
            old: old.to_vec(),
            copying,
            held: self.held,
        })
    }

    fn form(&mut self, epoch: u64, size: usize) {
        log::info!(epoch, before = self.epoch, size; "group formed");
        (self.epoch, self.size) = (epoch, size);
        self.ranks.clear();
        self.popularity.clear();
        self.change = None;
        (self.held, self.last) = (0, 0);
        self.unpaid = None;
        self.maps.retain(|(of, _), _| *of >= epoch);
    }

    fn learn(&mut self, now: time::Duration, rank: usize, status: Status) {
        let epoch = status.member.as_ref().map(|member| member.epoch);
        if epoch != Some(self.epoch) {
            return;
        }
        match self.ranks.get_mut(&rank) {
            // A pulse may be overtaken by the answer to an order.
            Some(known) if is_older(&status, &known.status) => {}
            Some(known) => (known.status, known.at) = (status, now),
            None => {
                self.ranks.insert(rank, Rank { status, at: now, placed: None });
            }
        }
    }

    /// The newest statuses, if this process is to act on them: it has the pulses of most ranks, of
    /// its own too, and the state of every rank in this epoch.
    fn seen(&mut self, now: time::Duration) -> Option<Statuses> {
        let fresh = |rank: &&Rank| rank.at + FRESH >= now;
        let lately = self.ranks.values().filter(fresh).count();
        let own = self.own.and_then(|own| self.ranks.get(&own)).is_some_and(|rank| fresh(&rank));
        let acts = self.size > 0 && lately * 2 > self.size && own;
        if acts != self.acting {
            self.acting = acts;
            match acts {
                // It acted so lately that another process is still waiting to act.
                true if self.lost_at.is_some_and(|at| now < at + FRESH) => {}
                true => self.acts_from = now + QUIET,
                false => self.lost_at = (now >= self.acts_from).then_some(now),
            }
            log::info!(epoch = self.epoch, acts, lately, of = self.size; "duty for the map");
        }
        if !acts && self.change.take().is_some() {
            // Whoever acts next settles what was begun.
            log::warn!(epoch = self.epoch; "map change dropped: the duty is lost");
        }
        let whole = self.ranks.len() == self.size;
        (acts && whole && now >= self.acts_from)
            .then(|| self.ranks.iter().map(|(rank, known)| (*rank, known.status.clone())).collect())
    }

    /// Whether a change that has only begun to copy is for a popularity that has passed. Nothing
    /// is armed or held then, so it can be dropped; the next one has a higher version.
    fn is_outdated(&mut self, now: time::Duration) -> bool {
        let news = std::mem::take(&mut self.chosen);
        let Some(change) = self.change.as_ref().filter(|change| news && change.is_preparing())
        else {
            return false;
        };
        let weights = self.popularity.weights(now);
        let skew = weights.map(|weights| rebalance::mean_skew(change.map(), &weights));
        skew.is_some_and(|skew| skew > self.expected + OUTDATED)
    }

    /// How busy the group is, from 0 to 1.
    fn busy(&self, seen: &Statuses) -> f64 {
        let requests: u32 = seen.values().map(|status| status.running + status.queued).sum();
        let places = f64::from(self.shape.slots) * self.size as f64 * BUSY_AT;
        (f64::from(requests) / places.max(1.0)).clamp(0.0, 1.0)
    }

    /// Part of a balanced pass that is spent in experts: an engine with few requests spends most
    /// of a pass on what no map changes.
    fn expert_part(&self, seen: &Statuses) -> f64 {
        let Some(cost) = &self.cost else { return self.shape.expert_share };
        let running: u32 = seen.values().map(|status| status.running).sum();
        let requests = f64::from(running) / self.size.max(1) as f64;
        let idle = capacity::pass_duration(cost, 0.0, 1.0).as_secs_f64();
        let whole = capacity::pass_duration(cost, requests, 1.0).as_secs_f64();
        self.shape.expert_share * (1.0 - idle / whole)
    }

    /// The map in use by set and rank, once every rank has said what it holds of the same one.
    fn map(&self) -> Option<Vec<LayerMap>> {
        let version = self.ranks.values().next()?.status.map_version;
        if let Some(map) = self.maps.get(&(self.epoch, version)) {
            return self
                .ranks
                .values()
                .all(|rank| rank.status.map_version == version)
                .then(|| map.clone());
        }
        let own = |rank: &Rank| {
            let (placed, experts) = rank.placed.as_ref()?;
            (rank.status.map_version == version && *placed == version).then(|| experts.clone())
        };
        let by_rank: Vec<Vec<Vec<u16>>> = self.ranks.values().map(own).collect::<Option<_>>()?;
        let layer = |set: usize| by_rank.iter().map(|sets| sets.get(set).cloned()).collect();
        (0..self.shape.layer_sets).map(layer).collect()
    }

    fn over(&mut self, now: time::Duration, end: &End) {
        let Some(change) = self.change.take() else { return };
        let took_ms = now.saturating_sub(self.began).as_millis() as u64;
        log::info!(
            epoch = self.epoch,
            version = change.version(),
            end:? = end,
            took_ms,
            phases = phases(&change, now);
            "map change over"
        );
        match end {
            End::Changed => {
                for (rank, known) in &mut self.ranks {
                    let experts = change.map().iter().map(|layer| layer[*rank].clone());
                    known.placed = Some((change.version(), experts.collect()));
                }
            }
            End::Undone(_) => self.pause_until = now + AFTER_UNDO,
            End::Lost => {}
        }
    }
}

/// How long each phase of a change took, in milliseconds, for the log.
fn phases(change: &Change, now: time::Duration) -> String {
    let phases = change.phases(now).into_iter();
    let each = phases.map(|(phase, took)| format!("{phase}={}", took.as_millis()));
    each.collect::<Vec<_>>().join(",")
}

/// Whether `status` was read before `known` by the same process.
fn is_older(status: &Status, known: &Status) -> bool {
    status.read_id.0 == known.read_id.0 && status.read_id.1 < known.read_id.1
}
