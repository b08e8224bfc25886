//! Test harness for changes of the map: a group whose engines follow the platform's description, and
//! a process that acts as the owner of its map.

use std::{
    collections::{BTreeMap, VecDeque},
    time,
};

use knapweedford::{
    group::rebalance::SharedMap,
    rank::{
        Action, MapSwitch, Member, Order, OrderOutcome, Status,
        change::{self, Change, Plan, Statuses},
    },
};
use rand::RngExt;
use rand_pcg::Pcg64;

/// Number of ranks.
pub const RANKS: usize = 3;
/// Number of reads after which a status is read once more, at most.
const MAX_REPEATED_AFTER: usize = 10;
/// Time between two steps of an owner.
pub const TICK: time::Duration = time::Duration::from_millis(10);

/// State of one engine.
#[derive(Clone, Default)]
pub struct Engine {
    /// Version and map in use.
    pub map: (u64, SharedMap),
    /// Version and map that are copied and not yet in use.
    pub prepared: Option<(u64, SharedMap)>,
    /// Switch that the engine makes when the pass starts.
    pub armed: Option<MapSwitch>,
    /// Pass that does not start before it is released.
    pub held: Option<u64>,
    /// Highest version that was ordered to be copied in this epoch.
    highest_version: u64,
}

/// A simulated group whose engines follow the platform's description.
#[derive(Clone)]
pub struct Group {
    /// Engines by rank.
    pub engines: Vec<Engine>,
    /// Number of times that the group has formed.
    pub epoch: u64,
    /// Last pass that started.
    pub pass: u64,
}

impl Group {
    /// Forms a group that uses the first map.
    pub fn new() -> Self {
        let first = Engine { map: (0, map_with(0)), ..Engine::default() };
        Self { engines: vec![first; RANKS], epoch: 1, pass: 0 }
    }

    /// Carries out an order at the engine of `rank`.
    pub fn apply(&mut self, rank: usize, order: &Order) -> OrderOutcome {
        let refused = |why: &str| OrderOutcome::Refused(why.into());
        if order.epoch != self.epoch {
            return refused("another epoch");
        }
        let pass = self.pass;
        let engine = &mut self.engines[rank];
        match &order.action {
            Action::Prepare { version, .. }
                if engine.prepared.as_ref().is_some_and(|(prepared, _)| prepared == version) =>
            {
                OrderOutcome::Applied
            }
            Action::Prepare { version, .. } if *version <= engine.highest_version => {
                refused("old version")
            }
            Action::Prepare { .. } if engine.armed.is_some() => refused("armed"),
            Action::Prepare { version, map } => {
                engine.highest_version = *version;
                engine.prepared = Some((*version, map.clone()));
                OrderOutcome::Started
            }
            Action::Arm(switch) if engine.armed == Some(*switch) => OrderOutcome::Applied,
            Action::Arm(_) if engine.armed.is_some() => refused("armed for another switch"),
            Action::Arm(switch) => {
                let ready = engine
                    .prepared
                    .as_ref()
                    .is_some_and(|(prepared, _)| *prepared == switch.version);
                if !ready || switch.pass <= pass {
                    return refused("not prepared, or the pass has started");
                }
                engine.armed = Some(*switch);
                OrderOutcome::Applied
            }
            Action::Disarm { version } if engine.map.0 == *version => refused("in use"),
            Action::Disarm { version } => {
                engine.armed = engine.armed.filter(|switch| switch.version != *version);
                OrderOutcome::Applied
            }
            Action::Hold { pass: held } if *held <= pass => refused("the pass has started"),
            Action::Hold { pass: held } if engine.held.is_some_and(|other| other != *held) => {
                refused("another pass is held")
            }
            Action::Hold { pass: held } => {
                engine.held = Some(*held);
                OrderOutcome::Applied
            }
            Action::Release { pass: held } => {
                engine.held = engine.held.filter(|other| other != held);
                OrderOutcome::Applied
            }
        }
    }

    /// Starts the next pass unless a rank holds it; fails if the ranks' maps differ.
    pub fn try_start_pass(&mut self) -> Result<(), String> {
        let next = self.pass + 1;
        if self.engines.iter().any(|engine| engine.held == Some(next)) {
            return Ok(());
        }
        self.pass = next;
        for engine in &mut self.engines {
            if engine.armed.is_some_and(|switch| switch.pass == next) {
                engine.armed = None;
                engine.map = engine.prepared.take().expect("an armed rank has a prepared map");
            }
        }
        let first = &self.engines[0].map;
        match self.engines.iter().all(|engine| engine.map == *first) {
            true => Ok(()),
            false => Err(format!("pass {next} started with two maps")),
        }
    }

    /// Starts the next pass unless a rank holds it; panics if the ranks' maps differ.
    pub fn start_pass(&mut self, trace: &[String]) {
        if let Err(problem) = self.try_start_pass() {
            panic!("{problem}:\n{}", trace.join("\n"));
        }
    }

    /// Re-forms the group, as after the crash of a rank; nothing of the previous state is left.
    pub fn reform(&mut self) {
        *self = Self { epoch: self.epoch + 1, ..Self::new() };
    }

    /// Returns the status of the engine of `rank`, as the read with the number `read` shows it.
    pub fn status(&self, rank: usize, read: u64) -> Status {
        let engine = &self.engines[rank];
        let member =
            Member { group: "g".into(), epoch: self.epoch, rank, ranks: RANKS, open: true };
        Status {
            read_id: (0, read),
            queued: 0,
            running: 4,
            member: Some(member),
            pass: self.pass,
            map_version: engine.map.0,
            prepared: engine.prepared.as_ref().map(|(version, _)| *version),
            armed: engine.armed,
            held: engine.held,
            pace: 1.0,
        }
    }
}

/// Returns a map that differs for each `number`.
pub fn map_with(number: u16) -> SharedMap {
    SharedMap::new(vec![(0..RANKS as u16).map(|rank| vec![rank, number]).collect()])
}

/// A process that acts as the owner.
#[derive(Clone)]
pub struct Owner {
    /// Rank of the engine next to the process.
    pub own_rank: usize,
    statuses: Statuses,
    epoch: u64,
    /// Change under way.
    pub change: Option<Change>,
    /// Whether to begin changes, besides undoing those that are left over.
    pub begins_changes: bool,
    /// Newest pass that any owner may have held; `None` before the first step.
    last_held_pass: Option<u64>,
    /// Newest version that the process has used.
    last_version: u64,
    maps: BTreeMap<u64, SharedMap>,
    /// Last statuses of each rank.
    earlier: BTreeMap<usize, VecDeque<Status>>,
}

impl Owner {
    /// Starts an owner that knows nothing yet, next to the engine of `own_rank`.
    pub fn new(own_rank: usize) -> Self {
        let maps = BTreeMap::from([(0, map_with(0))]);
        Self {
            own_rank,
            statuses: Statuses::new(),
            epoch: 0,
            change: None,
            begins_changes: true,
            last_held_pass: None,
            last_version: 0,
            maps,
            earlier: BTreeMap::new(),
        }
    }

    /// Reads the status of `rank`.
    pub fn read_status(&mut self, rank: usize, group: &Group, read: u64) {
        if group.epoch != self.epoch {
            *self = Self {
                epoch: group.epoch,
                begins_changes: self.begins_changes,
                ..Self::new(self.own_rank)
            };
        }
        self.maps.insert(group.engines[rank].map.0, group.engines[rank].map.1.clone());
        self.statuses.insert(rank, group.status(rank, read));
    }

    /// Like [`read_status`](Self::read_status), but a status of before may be read once more.
    pub fn read_repeated(&mut self, rank: usize, group: &Group, read: u64, is_repeated: bool) {
        self.read_status(rank, group, read);
        let earlier = self.earlier.entry(rank).or_default();
        let repeated = earlier.front().filter(|_| is_repeated).cloned();
        match repeated {
            Some(status) => {
                self.statuses.insert(rank, status);
            }
            None => earlier.push_back(self.statuses[&rank].clone()),
        }
        if earlier.len() > MAX_REPEATED_AFTER {
            earlier.pop_front();
        }
    }

    /// Begins a change, or undoes a leftover one, and returns the orders to send.
    pub fn step(&mut self, now: time::Duration, rng: &mut Pcg64) -> Vec<(usize, Order)> {
        if self.statuses.len() < RANKS {
            return Vec::new();
        }
        let reachable = change::last_reachable_pass(&self.statuses);
        let last_held_pass = *self.last_held_pass.get_or_insert(reachable);
        let leftover = change::has_leftover(&self.statuses);
        let can_begin = self.begins_changes && change::can_hold(last_held_pass, &self.statuses);
        if self.change.is_none() && (leftover || can_begin) {
            let highest = change::highest_version(&self.statuses).max(self.last_version);
            let version = change::next_version(highest, self.own_rank, rng.random());
            self.last_version = version;
            let version_in_use = self.statuses[&0].map_version;
            let Some(current_map) = self.maps.get(&version_in_use).cloned() else {
                return Vec::new();
            };
            let plan = Plan {
                epoch: self.epoch,
                own_rank: self.own_rank,
                ranks: RANKS,
                version,
                new_map: map_with(rng.random()),
                current_map,
                copy_time: time::Duration::ZERO,
                last_held_pass,
            };
            self.change = Some(match leftover {
                true => Change::undo_leftover(now, plan, &self.statuses),
                false => Change::new(now, plan),
            });
        }
        let Some(change) = &mut self.change else { return Vec::new() };
        let orders = change.step(now, &self.statuses);
        self.last_held_pass = self.last_held_pass.max(Some(change.last_held_pass()));
        self.last_version = self.last_version.max(change.last_version());
        if change.end().is_some() {
            self.change = None;
        }
        orders
    }

    /// Reads all statuses, makes a step, and passes its orders to `carry_out`, which returns the answer
    /// if there is one. Returns the orders.
    pub fn act(
        &mut self,
        group: &mut Group,
        now: time::Duration,
        rng: &mut Pcg64,
        mut carry_out: impl FnMut(&mut Group, usize, &Order) -> Option<OrderOutcome>,
    ) -> Vec<(usize, Order)> {
        (0..RANKS).for_each(|rank| self.read_status(rank, group, now.as_millis() as u64));
        let orders = self.step(now, rng);
        for (rank, order) in &orders {
            let outcome = carry_out(group, *rank, order);
            if let Some(change) = &mut self.change {
                change.receive_reply(now, *rank, order, outcome.as_ref());
            }
        }
        orders
    }
}
