//! Bounded request queue, fair by workspace, with interactive requests before batch requests.
//!
//! Batch requests are guaranteed a minimum share. Each of the two classes uses
//! start-time fair queueing: every workspace with queued requests has a start
//! tag, the workspace with the lowest tag is served next, and each request
//! advances the tag of its workspace by the request's cost divided by the
//! workspace's weight. The state of a workspace without queued requests is
//! dropped as soon as its tag is the lowest.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time,
};

use crate::{config, name};

/// Fixed-point scale of start tags; integer tags make the order independent of rounding errors.
const TAG_SCALE: u64 = 1 << 16;

/// Queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
    /// Workspace of the request.
    pub workspace: name::Workspace,
    /// Priority of the request.
    pub priority: config::Priority,
    /// Cost of the request, in tokens.
    pub cost: u64,
    /// Arrival time of the request.
    pub arrived_at: time::Duration,
    /// Cost queued ahead of the request on arrival, from [`FairQueue::cost_ahead`].
    pub cost_ahead: u64,
    /// Time at which the caller stops waiting.
    pub deadline: time::Duration,
    /// The request itself, or a key to it.
    pub value: T,
}

/// Result of [`FairQueue::push`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PushOutcome<T> {
    /// The item was queued.
    Queued,
    /// The item was queued and displaced this one: the last of the workspace with
    /// the largest queued cost for its weight. The caller must refuse it.
    Displaced(Item<T>),
    /// The item was not queued: the queue is full, and no workspace has a larger share of it.
    Full(Item<T>),
}

#[derive(Debug)]
struct Flow<T> {
    weight: u64,
    start_tag: u64,
    cost: u64,
    queue: VecDeque<Item<T>>,
}

#[derive(Debug)]
struct Class<T> {
    flows: BTreeMap<name::Workspace, Flow<T>>,
    /// Start tags of all flows, including those without queued requests.
    by_start_tag: BTreeSet<(u64, name::Workspace)>,
    virtual_time: u64,
    len: usize,
    cost: u64,
}

/// Fair queue of one service at one entry.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    floor_percent: u64,
    started: VecDeque<Item<T>>,
    interactive: Class<T>,
    batch: Class<T>,
    /// Cost that batch is still owed by its guaranteed share, in hundredths of a token.
    batch_deficit: u64,
}

impl<T> FairQueue<T> {
    /// Creates a queue of at most `limit` requests. While batch requests are queued,
    /// their served cost is at least `floor_percent` of the interactive served cost.
    pub fn new(limit: usize, floor_percent: u32) -> Self {
        Self {
            limit,
            floor_percent: u64::from(floor_percent.min(100)),
            started: VecDeque::new(),
            interactive: Class::new(),
            batch: Class::new(),
            batch_deficit: 0,
        }
    }

    /// Changes the bounds; requests already queued beyond the new limit stay queued.
    pub fn set_limits(&mut self, limit: usize, floor_percent: u32) {
        self.limit = limit;
        self.floor_percent = u64::from(floor_percent.min(100));
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.started.len() + self.interactive.len + self.batch.len
    }

    /// Whether no requests are queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of workspaces with state in the queue, over both classes.
    pub fn active_workspaces(&self) -> usize {
        self.interactive.flows.len() + self.batch.flows.len()
    }

    /// Returns the total cost of the queued requests, in tokens, except those resubmitted by
    /// [`FairQueue::push_started`].
    pub fn queued_cost(&self) -> u64 {
        self.interactive.cost + self.batch.cost
    }

    /// Returns the cost that will be dispatched before a new request of `workspace`, in
    /// tokens: the workspace's own queue and the fair share of the others in that time.
    pub fn cost_ahead(
        &self,
        workspace: &name::Workspace,
        weight: u32,
        priority: config::Priority,
    ) -> u64 {
        let share = |class: &Class<T>| class.cost_ahead(workspace, u64::from(weight.max(1)));
        match priority {
            config::Priority::Interactive => share(&self.interactive),
            config::Priority::Batch => share(&self.batch) + self.interactive.cost,
        }
    }

    /// Queues `item` of a workspace with `weight`.
    ///
    /// If the queue is full, an interactive item displaces a batch item, and an item displaces
    /// one of its own class from a workspace with a larger queued cost for its weight.
    pub fn push(&mut self, item: Item<T>, weight: u32) -> PushOutcome<T> {
        let weight = u64::from(weight.max(1));
        if self.len() < self.limit {
            self.class_mut(item.priority).push(item, weight);
            return PushOutcome::Queued;
        }
        let own_backlog = self.class_mut(item.priority).weighted_backlog(&item.workspace, weight);
        let victim = self.longest_backlog().filter(|victim| {
            let batch_yields = victim.priority > item.priority;
            let longer = victim.priority == item.priority && victim.backlog > own_backlog;
            batch_yields || longer
        });
        match victim
            .and_then(|victim| self.class_mut(victim.priority).remove_last(&victim.workspace))
        {
            Some(old) => {
                self.class_mut(item.priority).push(item, weight);
                PushOutcome::Displaced(old)
            }
            None => PushOutcome::Full(item),
        }
    }

    /// Returns the next request without removing it; [`FairQueue::pop`] returns the same one.
    pub fn peek(&mut self) -> Option<&Item<T>> {
        match self.next_priority() {
            _ if !self.started.is_empty() => self.started.front(),
            config::Priority::Interactive => self.interactive.peek(),
            config::Priority::Batch => self.batch.peek(),
        }
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<Item<T>> {
        if let Some(item) = self.started.pop_front() {
            return Some(item);
        }
        let priority = self.next_priority();
        let item = self.class_mut(priority).pop()?;
        match priority {
            _ if self.batch.len == 0 => self.batch_deficit = 0,
            config::Priority::Batch => {
                self.batch_deficit = self.batch_deficit.saturating_sub(item.cost * 100)
            }
            config::Priority::Interactive => self.batch_deficit += item.cost * self.floor_percent,
        }
        Some(item)
    }

    /// Returns a request to the front of its workspace's queue, for example after a
    /// server refused it. The workspace is not charged again.
    pub fn put_back(&mut self, item: Item<T>, weight: u32) {
        let weight = u64::from(weight.max(1));
        self.class_mut(item.priority).put_back(item, weight);
    }

    /// Queues a request that a server may have started before it failed, ahead of all
    /// others: its workspace was charged, and its caller may have a part of the answer.
    pub fn push_started(&mut self, item: Item<T>) {
        self.started.push_back(item);
    }

    fn next_priority(&mut self) -> config::Priority {
        let deficit = self.batch_deficit / 100;
        match self.batch.head_cost() {
            Some(cost) if self.interactive.len == 0 || cost <= deficit => config::Priority::Batch,
            _ => config::Priority::Interactive,
        }
    }

    /// Removes and returns every request for which `matches` returns true, for example
    /// requests that cannot meet their deadline or whose caller has disconnected.
    pub fn remove_matching(&mut self, mut matches: impl FnMut(&Item<T>) -> bool) -> Vec<Item<T>> {
        let (mut removed, kept): (Vec<_>, Vec<_>) = self.started.drain(..).partition(&mut matches);
        self.started = kept.into();
        removed.extend(self.interactive.remove_matching(&mut matches));
        removed.extend(self.batch.remove_matching(&mut matches));
        removed
    }

    fn class_mut(&mut self, priority: config::Priority) -> &mut Class<T> {
        match priority {
            config::Priority::Interactive => &mut self.interactive,
            config::Priority::Batch => &mut self.batch,
        }
    }

    fn longest_backlog(&self) -> Option<Victim> {
        let batch = self.batch.longest_backlog(config::Priority::Batch);
        batch.or_else(|| self.interactive.longest_backlog(config::Priority::Interactive))
    }
}

struct Victim {
    workspace: name::Workspace,
    priority: config::Priority,
    backlog: u64,
}

impl<T> Class<T> {
    fn new() -> Self {
        Self {
            flows: BTreeMap::new(),
            by_start_tag: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
            cost: 0,
        }
    }

    fn push(&mut self, item: Item<T>, weight: u64) {
        self.len += 1;
        self.cost += item.cost;
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(item.workspace.clone()).or_insert_with(|| Flow {
            weight,
            start_tag: virtual_time,
            cost: 0,
            queue: VecDeque::new(),
        });
        flow.weight = weight;
        if flow.queue.is_empty() {
            self.by_start_tag.remove(&(flow.start_tag, item.workspace.clone()));
            flow.start_tag = flow.start_tag.max(virtual_time);
            self.by_start_tag.insert((flow.start_tag, item.workspace.clone()));
        }
        flow.cost += item.cost;
        flow.queue.push_back(item);
    }

    /// Returns the workspace with the lowest start tag among those with queued requests, and
    /// removes idle workspaces with lower tags.
    fn head_workspace(&mut self) -> Option<name::Workspace> {
        while let Some((tag, workspace)) = self.by_start_tag.first().cloned() {
            if !self.flows[&workspace].queue.is_empty() {
                self.virtual_time = self.virtual_time.max(tag);
                return Some(workspace);
            }
            self.remove_flow(tag, &workspace);
        }
        None
    }

    fn head_cost(&mut self) -> Option<u64> {
        let head = self.head_workspace()?;
        self.flows[&head].queue.front().map(|item| item.cost)
    }

    fn peek(&mut self) -> Option<&Item<T>> {
        let workspace = self.head_workspace()?;
        self.flows[&workspace].queue.front()
    }

    fn put_back(&mut self, item: Item<T>, weight: u64) {
        let (workspace, cost) = (item.workspace.clone(), item.cost);
        self.push(item, weight);
        if let Some(flow) = self.flows.get_mut(&workspace) {
            flow.queue.rotate_right(1);
            self.by_start_tag.remove(&(flow.start_tag, workspace.clone()));
            flow.start_tag = flow.start_tag.saturating_sub(cost * TAG_SCALE / flow.weight);
            self.by_start_tag.insert((flow.start_tag, workspace));
        }
    }

    fn pop(&mut self) -> Option<Item<T>> {
        let workspace = self.head_workspace()?;
        let flow = self.flows.get_mut(&workspace)?;
        let item = flow.queue.pop_front()?;
        self.by_start_tag.remove(&(flow.start_tag, workspace.clone()));
        flow.start_tag += (item.cost * TAG_SCALE / flow.weight).max(1);
        flow.cost -= item.cost;
        self.by_start_tag.insert((flow.start_tag, workspace));
        self.len -= 1;
        self.cost -= item.cost;
        Some(item)
    }

    fn remove_last(&mut self, workspace: &name::Workspace) -> Option<Item<T>> {
        let flow = self.flows.get_mut(workspace)?;
        let item = flow.queue.pop_back()?;
        flow.cost -= item.cost;
        self.len -= 1;
        self.cost -= item.cost;
        Some(item)
    }

    fn remove_matching(&mut self, matches: &mut impl FnMut(&Item<T>) -> bool) -> Vec<Item<T>> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            let (taken, kept): (VecDeque<_>, VecDeque<_>) =
                flow.queue.drain(..).partition(&mut *matches);
            flow.queue = kept;
            flow.cost = flow.queue.iter().map(|item| item.cost).sum();
            removed.extend(taken);
        }
        self.len -= removed.len();
        self.cost -= removed.iter().map(|item| item.cost).sum::<u64>();
        self.head_workspace();
        removed
    }

    fn remove_flow(&mut self, tag: u64, workspace: &name::Workspace) {
        self.by_start_tag.remove(&(tag, workspace.clone()));
        self.flows.remove(workspace);
    }

    fn weighted_backlog(&self, workspace: &name::Workspace, weight: u64) -> u64 {
        self.flows.get(workspace).map_or(0, |flow| flow.cost) / weight
    }

    fn cost_ahead(&self, workspace: &name::Workspace, weight: u64) -> u64 {
        let own_backlog = self.weighted_backlog(workspace, weight) + 1;
        let others = self.flows.iter().filter(|(name, _)| *name != workspace);
        let others_cost: u64 =
            others.map(|(_, flow)| flow.cost.min(own_backlog * flow.weight)).sum();
        others_cost + own_backlog * weight
    }

    fn longest_backlog(&self, priority: config::Priority) -> Option<Victim> {
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
