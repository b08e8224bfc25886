//! Overlay of orders to take a zone or server out that are in force but not yet in the table.

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

/// Maximum number of orders in the overlay.
pub const MAX_ORDERS: usize = 64;

/// Delay between attempts to commit an order, at the process that received it.
const OWN_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Delay between attempts to commit an order, at any other process that holds it.
const OTHERS_RETRY_DELAY: time::Duration = time::Duration::from_secs(6);

/// Time that each process of the site adds to [`OTHERS_RETRY_DELAY`].
const OTHERS_RETRY_DELAY_PER_PROCESS: time::Duration = time::Duration::from_millis(100);

#[derive(Clone, Debug)]
struct HeldOrder {
    pending: Pending,
    retry_at: time::Duration,
    holders: BTreeSet<name::Host>,
}

/// Orders that this process holds.
#[derive(Clone, Debug)]
pub struct Overlay {
    me: name::Host,
    orders: BTreeMap<OrderId, HeldOrder>,
}

impl Overlay {
    /// Creates an empty overlay for host `me`.
    pub fn new(me: name::Host) -> Self {
        Self { me, orders: BTreeMap::new() }
    }

    /// Adds `pending` until it is settled; `false` if it is already held or the overlay is full.
    pub fn insert(
        &mut self,
        now: time::Duration,
        pending: &Pending,
        site_size: usize,
        rng: &mut Pcg64,
    ) -> bool {
        if self.orders.contains_key(&pending.op) || self.is_full() {
            return false;
        }
        let retry_at = now + self.retry_delay(pending, site_size, rng);
        let held = HeldOrder { pending: pending.clone(), retry_at, holders: BTreeSet::new() };
        self.orders.insert(pending.op, held);
        true
    }

    /// Whether no further order can be added.
    pub fn is_full(&self) -> bool {
        self.orders.len() >= MAX_ORDERS
    }

    /// Removes the orders that `record` has settled; `true` if any was removed.
    pub fn remove_settled(&mut self, record: &Record) -> bool {
        let before = self.orders.len();
        self.orders.retain(|op, _| !record.is_settled(*op));
        self.orders.len() < before
    }

    /// Records that `host` holds the orders in `theirs`.
    pub fn record_holder(&mut self, host: &name::Host, theirs: &[Pending]) {
        for pending in theirs {
            if let Some(held) = self.orders.get_mut(&pending.op) {
                held.holders.insert(host.clone());
            }
        }
    }

    /// Whether an order of this overlay is missing in `theirs`.
    pub fn has_more_than(&self, theirs: &[Pending]) -> bool {
        self.orders.keys().any(|op| theirs.iter().all(|pending| pending.op != *op))
    }

    /// Orders in the overlay.
    pub fn pending_orders(&self) -> Vec<Pending> {
        self.orders.values().map(|held| held.pending.clone()).collect()
    }

    /// Number of processes known to hold the order, including this one; 0 if this process does not
    /// hold it.
    pub fn held_by(&self, op: OrderId) -> usize {
        self.orders.get(&op).map_or(0, |held| 1 + held.holders.len())
    }

    /// Orders on `target`.
    pub fn orders_on(&self, target: &Target) -> Vec<OrderId> {
        let held = self.orders.values().filter(|held| held.pending.target == *target);
        held.map(|held| held.pending.op).collect()
    }

    /// Returns an order that is due to be committed, and schedules its next attempt.
    pub fn take_due(
        &mut self,
        now: time::Duration,
        site_size: usize,
        rng: &mut Pcg64,
    ) -> Option<Pending> {
        let held = self.orders.values().find(|held| now >= held.retry_at)?;
        let pending = held.pending.clone();
        let retry_at = now + self.retry_delay(&pending, site_size, rng);
        self.orders.get_mut(&pending.op)?.retry_at = retry_at;
        Some(pending)
    }

    fn retry_delay(&self, pending: &Pending, site_size: usize, rng: &mut Pcg64) -> time::Duration {
        let delay = match pending.by == self.me {
            true => OWN_RETRY_DELAY,
            false => OTHERS_RETRY_DELAY + OTHERS_RETRY_DELAY_PER_PROCESS * site_size as u32,
        };
        store::jitter(delay, rng)
    }
}
