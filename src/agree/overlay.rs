//! Orders to take something out that are in force but not yet in the table.

use std::{
    collections::{BTreeMap, BTreeSet},
    time,
};

use rand_pcg::Pcg64;

use crate::{
    agree::{
        record::{OrderId, Pending, Record, Target},
        store,
    },
    name,
};

/// Most orders held at once.
pub const MAX_ORDERS: usize = 64;

/// Time between tries of the process that took the order to make it durable.
const OWN_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Time until another process tries, and what each process of the site adds.
const OTHERS_RETRY_DELAY: time::Duration = time::Duration::from_secs(6);
const OTHERS_RETRY_DELAY_PER_PROCESS: time::Duration = time::Duration::from_millis(100);

#[derive(Clone, Debug)]
struct HeldOrder {
    pending: Pending,
    retry_at: time::Duration,
    holders: BTreeSet<name::Host>,
}

/// The orders that this process holds.
#[derive(Clone, Debug)]
pub struct Overlay {
    me: name::Host,
    orders: BTreeMap<OrderId, HeldOrder>,
}

impl Overlay {
    /// Holds nothing yet.
    pub fn new(me: name::Host) -> Self {
        Self { me, orders: BTreeMap::new() }
    }

    /// Holds `pending` until it is settled; `false` if it was held already or there is no room.
    pub fn insert(
        &mut self,
        now: time::Duration,
        pending: &Pending,
        site: usize,
        rng: &mut Pcg64,
    ) -> bool {
        if self.orders.contains_key(&pending.op) || self.is_full() {
            return false;
        }
        let retry_at = now + self.retry_delay(pending, site, rng);
        let held = HeldOrder { pending: pending.clone(), retry_at, holders: BTreeSet::new() };
        self.orders.insert(pending.op, held);
        true
    }

    /// Whether no further order can be held.
    pub fn is_full(&self) -> bool {
        self.orders.len() >= MAX_ORDERS
    }

    /// Lets go of what `record` has settled; `true` if that was anything.
    pub fn remove_settled(&mut self, record: &Record) -> bool {
        let before = self.orders.len();
        self.orders.retain(|op, _| !record.is_settled(*op));
        self.orders.len() < before
    }

    /// Notes that `host` holds the orders in `theirs`.
    pub fn record_holder(&mut self, host: &name::Host, theirs: &[Pending]) {
        for pending in theirs {
            if let Some(held) = self.orders.get_mut(&pending.op) {
                held.holders.insert(host.clone());
            }
        }
    }

    /// Whether `theirs` lacks an order held here.
    pub fn has_more_than(&self, theirs: &[Pending]) -> bool {
        self.orders.keys().any(|op| theirs.iter().all(|pending| pending.op != *op))
    }

    /// The orders held.
    pub fn pending_orders(&self) -> Vec<Pending> {
        self.orders.values().map(|held| held.pending.clone()).collect()
    }

    /// Processes known to hold the order, with this one; 0 if it is not held here.
    pub fn held_by(&self, op: OrderId) -> usize {
        self.orders.get(&op).map_or(0, |held| 1 + held.holders.len())
    }

    /// The orders on `target`.
    pub fn orders_on(&self, target: &Target) -> Vec<OrderId> {
        let held = self.orders.values().filter(|held| held.pending.target == *target);
        held.map(|held| held.pending.op).collect()
    }

    /// An order that is to be made durable now.
    pub fn take_due(
        &mut self,
        now: time::Duration,
        site: usize,
        rng: &mut Pcg64,
    ) -> Option<Pending> {
        let held = self.orders.values().find(|held| now >= held.retry_at)?;
        let pending = held.pending.clone();
        let retry_at = now + self.retry_delay(&pending, site, rng);
        self.orders.get_mut(&pending.op)?.retry_at = retry_at;
        Some(pending)
    }

    fn retry_delay(&self, pending: &Pending, site: usize, rng: &mut Pcg64) -> time::Duration {
        let period = match pending.by == self.me {
            true => OWN_RETRY_DELAY,
            false => OTHERS_RETRY_DELAY + OTHERS_RETRY_DELAY_PER_PROCESS * site as u32,
        };
        store::jitter(period, rng)
    }
}
