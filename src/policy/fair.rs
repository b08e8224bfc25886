//! A bounded queue that is fair by workspace, interactive before batch with a floor for batch.
//!
//! Start-time fair queueing in each class: every workspace with something
//! queued has a start tag, the least tag goes next, and a request moves its
//! workspace's tag by its cost over the workspace's weight. A workspace that
//! has nothing queued is forgotten as soon as its tag lies in the past.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time,
};

use crate::{config, name};

/// Fixed-point scale of tags, so that order does not depend on rounding.
const SCALE: u64 = 1 << 16;

/// One queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
    /// Its workspace.
    pub workspace: name::Workspace,
    /// Interactive or batch.
    pub priority: config::Priority,
    /// What it costs, in tokens.
    pub cost: u64,
    /// When it came.
    pub at: time::Duration,
    /// Cost queued before it when it came, as [`Fair::ahead`] told.
    pub ahead: u64,
    /// When its caller stops waiting.
    pub deadline: time::Duration,
    /// The request, or a key to it.
    pub value: T,
}

/// What [`Fair::push`] did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Pushed<T> {
    /// Queued.
    Queued,
    /// Queued in place of this one, the last of the workspace with the longest
    /// queue for its weight. Answer it now.
    Displaced(Item<T>),
    /// Not queued: the queue is full and no workspace has more of it.
    Full(Item<T>),
}

#[derive(Debug)]
struct Flow<T> {
    weight: u64,
    tag: u64,
    cost: u64,
    queue: VecDeque<Item<T>>,
}

#[derive(Debug)]
struct Class<T> {
    flows: BTreeMap<name::Workspace, Flow<T>>,
    /// Tags of all flows, those with nothing queued included.
    order: BTreeSet<(u64, name::Workspace)>,
    clock: u64,
    len: usize,
    cost: u64,
}

/// The queue of one service at one entry.
#[derive(Debug)]
pub struct Fair<T> {
    limit: usize,
    floor_percent: u64,
    resumed: VecDeque<Item<T>>,
    interactive: Class<T>,
    batch: Class<T>,
    /// Cost of batch owed by the floor, in hundredths of a token.
    owed: u64,
}

impl<T> Fair<T> {
    /// A queue of at most `limit` requests that gives batch at least
    /// `floor_percent` of the cost served while batch is queued.
    pub fn new(limit: usize, floor_percent: u32) -> Self {
        Self {
            limit,
            floor_percent: u64::from(floor_percent.min(100)),
            resumed: VecDeque::new(),
            interactive: Class::new(),
            batch: Class::new(),
            owed: 0,
        }
    }

    /// Sets other bounds; what is queued beyond them stays.
    pub fn bound(&mut self, limit: usize, floor_percent: u32) {
        self.limit = limit;
        self.floor_percent = u64::from(floor_percent.min(100));
    }

    /// Requests queued.
    pub fn len(&self) -> usize {
        self.resumed.len() + self.interactive.len + self.batch.len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Workspaces of which something is remembered.
    pub fn active(&self) -> usize {
        self.interactive.flows.len() + self.batch.flows.len()
    }

    /// Cost queued in total, in tokens.
    pub fn cost(&self) -> u64 {
        self.interactive.cost + self.batch.cost
    }

    /// Cost that will be sent before a new request of `workspace`, in tokens:
    /// its own queue and as much of the others' as fairness gives them meanwhile.
    pub fn ahead(
        &self,
        workspace: &name::Workspace,
        weight: u32,
        priority: config::Priority,
    ) -> u64 {
        let share = |class: &Class<T>| class.ahead(workspace, u64::from(weight.max(1)));
        match priority {
            config::Priority::Interactive => share(&self.interactive),
            config::Priority::Batch => share(&self.batch) + self.interactive.cost,
        }
    }

    /// Queues `item` of a workspace with `weight`.
    pub fn push(&mut self, item: Item<T>, weight: u32) -> Pushed<T> {
        let weight = u64::from(weight.max(1));
        if self.len() < self.limit {
            self.class(item.priority).push(item, weight);
            return Pushed::Queued;
        }
        let mine = self.class(item.priority).backlog(&item.workspace, weight);
        let victim = self.longest().filter(|victim| {
            let batch_yields = victim.priority > item.priority;
            let longer = victim.priority == item.priority && victim.backlog > mine;
            batch_yields || longer
        });
        match victim.and_then(|victim| self.class(victim.priority).drop_last(&victim.workspace)) {
            Some(old) => {
                self.class(item.priority).push(item, weight);
                Pushed::Displaced(old)
            }
            None => Pushed::Full(item),
        }
    }

    /// The request that goes next; the same that [`Fair::pop`] takes.
    pub fn peek(&mut self) -> Option<&Item<T>> {
        match self.turn() {
            _ if !self.resumed.is_empty() => self.resumed.front(),
            config::Priority::Interactive => self.interactive.peek(),
            config::Priority::Batch => self.batch.peek(),
        }
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<Item<T>> {
        if let Some(item) = self.resumed.pop_front() {
            return Some(item);
        }
        let turn = self.turn();
        let item = self.class(turn).pop()?;
        match turn {
            _ if self.batch.len == 0 => self.owed = 0,
            config::Priority::Batch => self.owed = self.owed.saturating_sub(item.cost * 100),
            config::Priority::Interactive => self.owed += item.cost * self.floor_percent,
        }
        Some(item)
    }

    /// Puts a request back to the front of its workspace, such as one that a
    /// server refused; it is not charged again.
    pub fn put_back(&mut self, item: Item<T>, weight: u32) {
        let weight = u64::from(weight.max(1));
        self.class(item.priority).put_back(item, weight);
    }

    /// Queues a request that a server had begun and broke off before all
    /// others: it was charged, and its caller has a part of the answer.
    pub fn resume(&mut self, item: Item<T>) {
        self.resumed.push_back(item);
    }

    fn turn(&mut self) -> config::Priority {
        let owed = self.owed / 100;
        match self.batch.head_cost() {
            Some(cost) if self.interactive.len == 0 || cost <= owed => config::Priority::Batch,
            _ => config::Priority::Interactive,
        }
    }

    /// Takes out every request for which `gone` holds, such as those whose
    /// deadline cannot be met any more or whose caller has gone.
    pub fn sweep(&mut self, mut gone: impl FnMut(&Item<T>) -> bool) -> Vec<Item<T>> {
        let (mut swept, kept): (Vec<_>, Vec<_>) = self.resumed.drain(..).partition(&mut gone);
        self.resumed = kept.into();
        swept.extend(self.interactive.sweep(&mut gone));
        swept.extend(self.batch.sweep(&mut gone));
        swept
    }

    fn class(&mut self, priority: config::Priority) -> &mut Class<T> {
        match priority {
            config::Priority::Interactive => &mut self.interactive,
            config::Priority::Batch => &mut self.batch,
        }
    }

    fn longest(&self) -> Option<Victim> {
        let batch = self.batch.longest(config::Priority::Batch);
        batch.or_else(|| self.interactive.longest(config::Priority::Interactive))
    }
}

struct Victim {
    workspace: name::Workspace,
    priority: config::Priority,
    backlog: u64,
}

impl<T> Class<T> {
    fn new() -> Self {
        Self { flows: BTreeMap::new(), order: BTreeSet::new(), clock: 0, len: 0, cost: 0 }
    }

    fn push(&mut self, item: Item<T>, weight: u64) {
        self.len += 1;
        self.cost += item.cost;
        let clock = self.clock;
        let flow = self.flows.entry(item.workspace.clone()).or_insert_with(|| Flow {
            weight,
            tag: clock,
            cost: 0,
            queue: VecDeque::new(),
        });
        flow.weight = weight;
        if flow.queue.is_empty() {
            self.order.remove(&(flow.tag, item.workspace.clone()));
            flow.tag = flow.tag.max(clock);
            self.order.insert((flow.tag, item.workspace.clone()));
        }
        flow.cost += item.cost;
        flow.queue.push_back(item);
    }

    /// The first flow in order that has something queued; forgets idle ones before it.
    fn head(&mut self) -> Option<name::Workspace> {
        while let Some((tag, workspace)) = self.order.first().cloned() {
            if !self.flows[&workspace].queue.is_empty() {
                self.clock = self.clock.max(tag);
                return Some(workspace);
            }
            self.forget(tag, &workspace);
        }
        None
    }

    fn head_cost(&mut self) -> Option<u64> {
        let head = self.head()?;
        self.flows[&head].queue.front().map(|item| item.cost)
    }

    fn peek(&mut self) -> Option<&Item<T>> {
        let workspace = self.head()?;
        self.flows[&workspace].queue.front()
    }

    fn put_back(&mut self, item: Item<T>, weight: u64) {
        let (workspace, cost) = (item.workspace.clone(), item.cost);
        self.push(item, weight);
        if let Some(flow) = self.flows.get_mut(&workspace) {
            flow.queue.rotate_right(1);
            self.order.remove(&(flow.tag, workspace.clone()));
            flow.tag = flow.tag.saturating_sub(cost * SCALE / flow.weight);
            self.order.insert((flow.tag, workspace));
        }
    }

    fn pop(&mut self) -> Option<Item<T>> {
        let workspace = self.head()?;
        let flow = self.flows.get_mut(&workspace)?;
        let item = flow.queue.pop_front()?;
        self.order.remove(&(flow.tag, workspace.clone()));
        flow.tag += (item.cost * SCALE / flow.weight).max(1);
        flow.cost -= item.cost;
        self.order.insert((flow.tag, workspace));
        self.len -= 1;
        self.cost -= item.cost;
        Some(item)
    }

    fn drop_last(&mut self, workspace: &name::Workspace) -> Option<Item<T>> {
        let flow = self.flows.get_mut(workspace)?;
        let item = flow.queue.pop_back()?;
        flow.cost -= item.cost;
        self.len -= 1;
        self.cost -= item.cost;
        Some(item)
    }

    fn sweep(&mut self, gone: &mut impl FnMut(&Item<T>) -> bool) -> Vec<Item<T>> {
        let mut swept = Vec::new();
        for flow in self.flows.values_mut() {
            let (out, kept): (VecDeque<_>, VecDeque<_>) =
                flow.queue.drain(..).partition(&mut *gone);
            flow.queue = kept;
            flow.cost = flow.queue.iter().map(|item| item.cost).sum();
            swept.extend(out);
        }
        self.len -= swept.len();
        self.cost -= swept.iter().map(|item| item.cost).sum::<u64>();
        self.head();
        swept
    }

    fn forget(&mut self, tag: u64, workspace: &name::Workspace) {
        self.order.remove(&(tag, workspace.clone()));
        self.flows.remove(workspace);
    }

    fn backlog(&self, workspace: &name::Workspace, weight: u64) -> u64 {
        self.flows.get(workspace).map_or(0, |flow| flow.cost) / weight
    }

    fn ahead(&self, workspace: &name::Workspace, weight: u64) -> u64 {
        let mine = self.backlog(workspace, weight) + 1;
        let others = self.flows.iter().filter(|(name, _)| *name != workspace);
        let theirs: u64 = others.map(|(_, flow)| flow.cost.min(mine * flow.weight)).sum();
        theirs + mine * weight
    }

    fn longest(&self, priority: config::Priority) -> Option<Victim> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.queue.is_empty())
            .max_by_key(|(_, flow)| flow.cost / flow.weight)
            .map(|(workspace, flow)| Victim {
                workspace: workspace.clone(),
                priority,
                backlog: flow.cost / flow.weight,
            })
    }
}
