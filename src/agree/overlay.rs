//! Orders to take something out that are in force but not yet in the table.

use std::{
    collections::{BTreeMap, BTreeSet},
    time,
};

use rand_pcg::Pcg64;

use crate::{
    agree::{
        record::{Op, Pending, Record, Target},
        store,
    },
    name,
};

/// Most orders held at once.
pub const LIMIT: usize = 64;

/// Time between tries of the process that took the order to make it durable.
const OWN_RETRY: time::Duration = time::Duration::from_secs(2);

/// Time until another process tries, and what each process of the site adds.
const OTHERS_RETRY: time::Duration = time::Duration::from_secs(6);
const OTHERS_RETRY_PER_PROCESS: time::Duration = time::Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Held {
    pending: Pending,
    retry_at: time::Duration,
    holders: BTreeSet<name::Host>,
}

/// The orders that this process holds.
#[derive(Clone, Debug)]
pub struct Overlay {
    me: name::Host,
    held: BTreeMap<Op, Held>,
}

impl Overlay {
    /// Holds nothing yet.
    pub fn new(me: name::Host) -> Self {
        Self { me, held: BTreeMap::new() }
    }

    /// Holds `pending` until it is settled; `false` if it was held already or there is no room.
    pub fn insert(
        &mut self,
        now: time::Duration,
        pending: &Pending,
        site: usize,
        rng: &mut Pcg64,
    ) -> bool {
        if self.held.contains_key(&pending.op) || self.is_full() {
            return false;
        }
        let retry_at = now + self.retry(pending, site, rng);
        let held = Held { pending: pending.clone(), retry_at, holders: BTreeSet::new() };
        self.held.insert(pending.op, held);
        true
    }

    /// Whether no further order can be held.
    pub fn is_full(&self) -> bool {
        self.held.len() >= LIMIT
    }

    /// Lets go of what `record` has settled; `true` if that was anything.
    pub fn settle(&mut self, record: &Record) -> bool {
        let before = self.held.len();
        self.held.retain(|op, _| !record.is_settled(*op));
        self.held.len() < before
    }

    /// Notes that `host` holds the orders in `theirs`.
    pub fn note(&mut self, host: &name::Host, theirs: &[Pending]) {
        for pending in theirs {
            if let Some(held) = self.held.get_mut(&pending.op) {
                held.holders.insert(host.clone());
            }
        }
    }

    /// Whether `theirs` lacks an order held here.
    pub fn exceeds(&self, theirs: &[Pending]) -> bool {
        self.held.keys().any(|op| theirs.iter().all(|pending| pending.op != *op))
    }

    /// The orders held.
    pub fn list(&self) -> Vec<Pending> {
        self.held.values().map(|held| held.pending.clone()).collect()
    }

    /// Processes known to hold the order, with this one; 0 if it is not held here.
    pub fn held_by(&self, op: Op) -> usize {
        self.held.get(&op).map_or(0, |held| 1 + held.holders.len())
    }

    /// The orders on `target`.
    pub fn on(&self, target: &Target) -> Vec<Op> {
        let held = self.held.values().filter(|held| held.pending.target == *target);
        held.map(|held| held.pending.op).collect()
    }

    /// An order that is to be made durable now.
    pub fn due(&mut self, now: time::Duration, site: usize, rng: &mut Pcg64) -> Option<Pending> {
        let held = self.held.values().find(|held| now >= held.retry_at)?;
        let pending = held.pending.clone();
        let retry_at = now + self.retry(&pending, site, rng);
        self.held.get_mut(&pending.op)?.retry_at = retry_at;
        Some(pending)
    }

    fn retry(&self, pending: &Pending, site: usize, rng: &mut Pcg64) -> time::Duration {
        let period = match pending.by == self.me {
            true => OWN_RETRY,
            false => OTHERS_RETRY + OTHERS_RETRY_PER_PROCESS * site as u32,
        };
        store::jitter(period, rng)
    }
}
