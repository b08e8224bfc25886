//! Simulation of one group: its ranks, two controllers, the network and the table, with faults.

use std::{collections, time};

use knapweedford::{
    cloud,
    group::{controller, map, order, rank, row},
};

use super::{DEFAULT, Disabled, Event, LEASE, LOAD_TIMEOUT, Oracle, RANKS};

#[derive(Clone, Debug)]
enum Packet {
    Order(usize, order::AddressedOrder),
    Answer(usize, order::Answer),
    Read(usize),
    Write(usize, row::GroupRow, cloud::Precondition),
}

struct Node {
    controller: controller::Controller,
    paused: bool,
    /// Raised with each new controller; answers to an earlier one are dropped.
    epoch: usize,
}

pub struct World {
    oracle: Oracle,
    now: time::Duration,
    ranks: Vec<rank::Rank>,
    incarnations: Vec<u64>,
    nodes: Vec<Node>,
    fence: u64,
    packets: Vec<(usize, Packet)>,
    table: Option<(row::GroupRow, u64)>,
    store_available: bool,
    /// Digests of the maps that passes used.
    pub used: collections::BTreeSet<u64>,
}

impl World {
    pub fn new(oracle: &Oracle) -> Self {
        let incarnations = vec![1; RANKS];
        let mut ranks: Vec<rank::Rank> =
            (0..RANKS).map(|r| rank::Rank::new(r, 1, DEFAULT, Some(0))).collect();
        ranks.iter_mut().for_each(|rank| rank.form_group(&incarnations, DEFAULT));
        let new_node = |fence| Node {
            controller: new_controller(fence, time::Duration::ZERO),
            paused: false,
            epoch: 0,
        };
        Self {
            oracle: oracle.clone(),
            now: time::Duration::ZERO,
            ranks,
            incarnations,
            nodes: vec![new_node(1), new_node(2)],
            fence: 2,
            packets: Vec::new(),
            table: None,
            store_available: true,
            used: collections::BTreeSet::new(),
        }
    }

    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Deliver(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.packets.swap_remove(i);
                world.deliver(epoch, packet, true);
            }),
            Event::Duplicate(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.packets[i].clone();
                if let Packet::Order(..) | Packet::Answer(..) = packet {
                    world.packets.push((epoch, packet));
                }
            }),
            Event::Drop(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.packets.swap_remove(i);
                world.drop_packet(epoch, &packet);
            }),
            Event::DropAnswer(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.packets.swap_remove(i);
                world.deliver(epoch, packet, false);
            }),
            Event::Tick(ms) => self.tick(ms),
            Event::Pass => self.run_pass(),
            Event::Restart(rank) => self.restart(rank),
            Event::Pause(node) => self.nodes[node].paused = true,
            Event::Resume(node) => self.nodes[node].paused = false,
            Event::TakeOver(node) => self.take_over(node),
            Event::Propose(node, digest) if !self.nodes[node].paused => {
                self.nodes[node].controller.propose(self.now, digest);
            }
            Event::Abort(node) if !self.nodes[node].paused => {
                self.nodes[node].controller.abort(self.now)
            }
            Event::SetStore(available) => self.store_available = available,
            _ => {}
        }
    }

    fn with_packet(&mut self, i: usize, f: impl FnOnce(&mut Self, usize)) {
        match self.packets.len() {
            0 => {}
            len => f(self, i % len),
        }
    }

    fn tick(&mut self, ms: u64) {
        self.now += time::Duration::from_millis(ms);
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused {
                continue;
            }
            let epoch = self.nodes[node].epoch;
            for effect in self.nodes[node].controller.poll(self.now) {
                let packet = match effect {
                    controller::Effect::Send(order) => self.order_packet(node, order),
                    controller::Effect::Read => Packet::Read(node),
                    controller::Effect::Write(row, precondition) => {
                        Packet::Write(node, row, precondition)
                    }
                };
                self.packets.push((epoch, packet));
            }
        }
    }

    /// Returns the packet of an order, changed or answered according to the disabled mechanism.
    fn order_packet(&self, node: usize, mut addressed: order::AddressedOrder) -> Packet {
        let forged_answer = |order: &order::Order, held: Vec<map::Id>| order::Answer {
            rank: addressed.rank,
            incarnation: self.incarnations[addressed.rank],
            order: order.clone(),
            verdict: order::Verdict::Done,
            in_use: DEFAULT,
            held,
            fence: addressed.fence,
        };
        match (&mut addressed.order, self.oracle.disabled) {
            (order::Order::Load(id), Disabled::Acks) if addressed.rank != rank::LEADER => {
                Packet::Answer(node, forged_answer(&order::Order::Load(*id), vec![*id]))
            }
            (order::Order::Abort(id), Disabled::LeaderFirst) => {
                Packet::Answer(node, forged_answer(&order::Order::Abort(*id), Vec::new()))
            }
            (order::Order::Switch { loaded, .. }, Disabled::Incarnations) => {
                loaded.clone_from(&self.incarnations);
                Packet::Order(node, addressed)
            }
            _ => Packet::Order(node, addressed),
        }
    }

    fn deliver(&mut self, epoch: usize, packet: Packet, answered: bool) {
        match packet {
            Packet::Order(node, mut addressed) => {
                if let (order::Order::Switch { loaded, .. }, Disabled::Incarnations) =
                    (&mut addressed.order, self.oracle.disabled)
                {
                    loaded.clone_from(&self.incarnations);
                }
                let answer = self.handle_order(&addressed);
                if answered {
                    self.packets.push((epoch, Packet::Answer(node, answer)));
                }
            }
            Packet::Answer(node, answer) if self.nodes[node].epoch == epoch => {
                let now = self.now;
                self.nodes[node].controller.on_answer(now, &answer);
            }
            Packet::Read(node) => {
                let read = match self.store_available && answered {
                    true => Ok(self.table.map(|(row, etag)| (row, to_etag(etag)))),
                    false => Err(()),
                };
                self.read(epoch, node, read);
            }
            Packet::Write(node, row, precondition) => {
                let result = self.write(row, &precondition);
                let result = if answered { result } else { controller::WriteResult::Unknown };
                self.written(epoch, node, result);
            }
            Packet::Answer(..) => {}
        }
    }

    /// Drops a packet; the controller sees a lost table access as failed or of unknown result.
    fn drop_packet(&mut self, epoch: usize, packet: &Packet) {
        match packet {
            Packet::Read(node) => self.read(epoch, *node, Err(())),
            Packet::Write(node, ..) => self.written(epoch, *node, controller::WriteResult::Unknown),
            _ => {}
        }
    }

    fn read(
        &mut self,
        epoch: usize,
        node: usize,
        read: Result<Option<(row::GroupRow, cloud::Etag)>, ()>,
    ) {
        if self.nodes[node].epoch == epoch {
            let now = self.now;
            self.nodes[node].controller.on_row_read(now, read);
        }
    }

    fn written(&mut self, epoch: usize, node: usize, result: controller::WriteResult) {
        if self.nodes[node].epoch == epoch {
            let now = self.now;
            self.nodes[node].controller.on_row_written(now, result);
        }
    }

    fn write(
        &mut self,
        row: row::GroupRow,
        precondition: &cloud::Precondition,
    ) -> controller::WriteResult {
        let etag = self.table.map(|(_, etag)| etag);
        let matches = match precondition {
            cloud::Precondition::Absent => etag.is_none(),
            cloud::Precondition::Unchanged(known) => etag.map(to_etag).as_ref() == Some(known),
        };
        match () {
            () if !self.store_available => controller::WriteResult::Unknown,
            () if !matches && self.oracle.disabled != Disabled::CompareAndSet => {
                controller::WriteResult::Conflict
            }
            () => {
                let etag = etag.unwrap_or(0) + 1;
                self.table = Some((row, etag));
                controller::WriteResult::Written(to_etag(etag))
            }
        }
    }

    /// Passes an order to its rank. An engine that does not check fences sees the same fence in
    /// each order. With the floor disabled, rank 0 is replaced after each abort by a new rank that
    /// holds the same maps.
    fn handle_order(&mut self, addressed: &order::AddressedOrder) -> order::Answer {
        let fence = if self.oracle.checks_fences { addressed.fence } else { order::Fence(0) };
        let rank = &mut self.ranks[addressed.rank];
        let answer = rank.handle_order(fence, &addressed.order);
        let forgets_floor =
            self.oracle.disabled == Disabled::Floor && addressed.rank == rank::LEADER;
        if forgets_floor && matches!(addressed.order, order::Order::Abort(_)) {
            let held: Vec<map::Id> = rank.held().iter().copied().collect();
            let in_use = rank.map_in_use();
            let floor = Some(in_use.version);
            *rank = rank::Rank::new(addressed.rank, rank.incarnation(), in_use, floor);
            rank.form_group(&self.incarnations, in_use);
            held.into_iter().for_each(|id| {
                rank.handle_order(answer.fence, &order::Order::Load(id));
            });
        }
        answer
    }

    fn run_pass(&mut self) {
        if self.store_available {
            let last_version = self.table.map_or(0, |(row, _)| row.last_version);
            self.ranks.iter_mut().for_each(|rank| rank.set_last_version(last_version));
        }
        let pass = self.ranks[rank::LEADER].start_pass();
        for (r, rank) in self.ranks.iter_mut().enumerate() {
            assert!(
                rank.run_pass(pass),
                "rank {r} cannot run a pass with {:?}: {rank:?}",
                pass.map
            );
            assert_eq!(rank.map_in_use(), pass.map, "rank {r} runs another map");
        }
        self.used.insert(pass.map.digest);
    }

    fn restart(&mut self, restarted: usize) {
        self.incarnations[restarted] += 1;
        let table_map =
            self.table.filter(|_| self.store_available).map_or(DEFAULT, |(row, _)| row.current);
        let leader_map = if restarted == rank::LEADER {
            table_map
        } else {
            self.ranks[rank::LEADER].map_in_use()
        };
        let restarted_map =
            if self.oracle.disabled == Disabled::LeaderMap { table_map } else { leader_map };
        let last_version =
            self.store_available.then(|| self.table.map_or(0, |(row, _)| row.last_version));
        let last_version = if self.oracle.disabled == Disabled::StartFloor {
            Some(restarted_map.version)
        } else {
            last_version
        };
        self.ranks[restarted] =
            rank::Rank::new(restarted, self.incarnations[restarted], restarted_map, last_version);
        for (other, rank) in self.ranks.iter_mut().enumerate() {
            rank.form_group(
                &self.incarnations,
                if other == restarted { restarted_map } else { leader_map },
            );
        }
    }

    fn take_over(&mut self, node: usize) {
        self.fence += 1;
        let epoch = self.nodes[node].epoch + 1;
        self.nodes[node] =
            Node { controller: new_controller(self.fence, self.now), paused: false, epoch };
    }

    /// Ends all faults. The one remaining controller must then bring the group to rest: all
    /// ranks use and hold only the map that the table names, and no change is under way.
    pub fn settle(&mut self) {
        self.store_available = true;
        self.nodes[1].paused = true;
        self.take_over(0);
        for _ in 0..400 {
            let now = self.now;
            self.nodes[0].controller.renew_lease(now + LEASE);
            self.tick(500);
            while let Some((epoch, packet)) = self.packets.pop() {
                self.deliver(epoch, packet, true);
            }
            self.run_pass();
            if self.is_at_rest() {
                return;
            }
        }
        if matches!(self.oracle.disabled, Disabled::Nothing | Disabled::CompareAndSet) {
            panic!(
                "the group does not settle: {:?} {:?} {:?}",
                self.table, self.nodes[0].controller, self.ranks
            );
        }
    }

    fn is_at_rest(&self) -> bool {
        let in_use = self.ranks[rank::LEADER].map_in_use();
        let table_map = self.table.map_or(DEFAULT, |(row, _)| row.current);
        let holds_only_it = |rank: &rank::Rank| rank.held().iter().eq([&in_use]);
        let proposed = self.table.is_some_and(|(row, _)| row.next.is_some());
        table_map == in_use
            && !proposed
            && self.ranks.iter().all(holds_only_it)
            && self.nodes[0].controller.is_idle()
    }
}

fn new_controller(fence: u64, now: time::Duration) -> controller::Controller {
    let lease = controller::Lease { fence: order::Fence(fence), until: now + LEASE };
    controller::Controller::new(lease, RANKS, LOAD_TIMEOUT)
}

fn to_etag(etag: u64) -> cloud::Etag {
    cloud::Etag(etag.to_string())
}
