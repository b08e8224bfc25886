//! Ranks, controllers, network and table of one group, with faults.

use std::{collections, time};

use knapweedford::{
    cloud,
    group::{controller, map, order, rank, row},
};

use super::{DEFAULT, Event, LEASE, LOAD_WITHIN, Off, Oracle, RANKS};

#[derive(Clone, Debug)]
enum Packet {
    Order(usize, order::AddressedOrder),
    Answer(usize, order::Answer),
    Read(usize),
    Write(usize, row::GroupRow, cloud::Precondition),
}

struct Node {
    machine: controller::Controller,
    paused: bool,
    /// Counts up with each new controller; answers to an earlier one are lost.
    epoch: usize,
}

pub struct World {
    oracle: Oracle,
    now: time::Duration,
    ranks: Vec<rank::Rank>,
    incarnations: Vec<u64>,
    nodes: Vec<Node>,
    fence: u64,
    net: Vec<(usize, Packet)>,
    table: Option<(row::GroupRow, u64)>,
    store: bool,
    /// Digests of maps that a step used.
    pub used: collections::BTreeSet<u64>,
}

impl World {
    pub fn new(oracle: &Oracle) -> Self {
        let incarnations = vec![1; RANKS];
        let mut ranks: Vec<rank::Rank> =
            (0..RANKS).map(|r| rank::Rank::new(r, 1, DEFAULT, Some(0))).collect();
        ranks.iter_mut().for_each(|rank| rank.form_group(&incarnations, DEFAULT));
        let node =
            |fence| Node { machine: machine(fence, time::Duration::ZERO), paused: false, epoch: 0 };
        Self {
            oracle: oracle.clone(),
            now: time::Duration::ZERO,
            ranks,
            incarnations,
            nodes: vec![node(1), node(2)],
            fence: 2,
            net: Vec::new(),
            table: None,
            store: true,
            used: collections::BTreeSet::new(),
        }
    }

    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Deliver(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.net.swap_remove(i);
                world.deliver(epoch, packet, true);
            }),
            Event::Repeat(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.net[i].clone();
                if let Packet::Order(..) | Packet::Answer(..) = packet {
                    world.net.push((epoch, packet));
                }
            }),
            Event::Lose(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.net.swap_remove(i);
                world.lose(epoch, &packet);
            }),
            Event::LoseAnswer(i) => self.with_packet(i, |world, i| {
                let (epoch, packet) = world.net.swap_remove(i);
                world.deliver(epoch, packet, false);
            }),
            Event::Tick(ms) => self.tick(ms),
            Event::Step => self.step(),
            Event::Restart(rank) => self.restart(rank),
            Event::Pause(c) => self.nodes[c].paused = true,
            Event::Resume(c) => self.nodes[c].paused = false,
            Event::TakeOver(c) => self.take_over(c),
            Event::Propose(c, digest) if !self.nodes[c].paused => {
                self.nodes[c].machine.propose(self.now, digest);
            }
            Event::Abort(c) if !self.nodes[c].paused => self.nodes[c].machine.abort(self.now),
            Event::Store(up) => self.store = up,
            _ => {}
        }
    }

    fn with_packet(&mut self, i: usize, f: impl FnOnce(&mut Self, usize)) {
        match self.net.len() {
            0 => {}
            len => f(self, i % len),
        }
    }

    fn tick(&mut self, ms: u64) {
        self.now += time::Duration::from_millis(ms);
        for c in 0..self.nodes.len() {
            if self.nodes[c].paused {
                continue;
            }
            let epoch = self.nodes[c].epoch;
            for effect in self.nodes[c].machine.poll(self.now) {
                let packet = match effect {
                    controller::Effect::Send(order) => self.tampered(c, order),
                    controller::Effect::Read => Packet::Read(c),
                    controller::Effect::Write(row, when) => Packet::Write(c, row, when),
                };
                self.net.push((epoch, packet));
            }
        }
    }

    fn tampered(&self, c: usize, mut addressed: order::AddressedOrder) -> Packet {
        let made_up = |order: &order::Order, held: Vec<map::Id>| order::Answer {
            rank: addressed.rank,
            incarnation: self.incarnations[addressed.rank],
            order: order.clone(),
            verdict: order::Verdict::Done,
            in_use: DEFAULT,
            held,
            fence: addressed.fence,
        };
        match (&mut addressed.order, self.oracle.off) {
            (order::Order::Load(id), Off::Acks) if addressed.rank != rank::LEADER => {
                Packet::Answer(c, made_up(&order::Order::Load(*id), vec![*id]))
            }
            (order::Order::Abort(id), Off::LeaderFirst) => {
                Packet::Answer(c, made_up(&order::Order::Abort(*id), Vec::new()))
            }
            (order::Order::Switch { loaded, .. }, Off::Incarnations) => {
                loaded.clone_from(&self.incarnations);
                Packet::Order(c, addressed)
            }
            _ => Packet::Order(c, addressed),
        }
    }

    fn deliver(&mut self, epoch: usize, packet: Packet, answered: bool) {
        match packet {
            Packet::Order(c, mut addressed) => {
                if let (order::Order::Switch { loaded, .. }, Off::Incarnations) =
                    (&mut addressed.order, self.oracle.off)
                {
                    loaded.clone_from(&self.incarnations);
                }
                let answer = self.order(&addressed);
                if answered {
                    self.net.push((epoch, Packet::Answer(c, answer)));
                }
            }
            Packet::Answer(c, answer) if self.nodes[c].epoch == epoch => {
                let now = self.now;
                self.nodes[c].machine.on_answer(now, &answer);
            }
            Packet::Read(c) => {
                let read = match self.store && answered {
                    true => Ok(self.table.map(|(row, etag)| (row, tag(etag)))),
                    false => Err(()),
                };
                self.read(epoch, c, read);
            }
            Packet::Write(c, row, when) => {
                let end = self.write(row, &when);
                let end = if answered { end } else { controller::WriteResult::Unknown };
                self.written(epoch, c, end);
            }
            Packet::Answer(..) => {}
        }
    }

    fn lose(&mut self, epoch: usize, packet: &Packet) {
        match packet {
            Packet::Read(c) => self.read(epoch, *c, Err(())),
            Packet::Write(c, ..) => self.written(epoch, *c, controller::WriteResult::Unknown),
            _ => {}
        }
    }

    fn read(
        &mut self,
        epoch: usize,
        c: usize,
        read: Result<Option<(row::GroupRow, cloud::Etag)>, ()>,
    ) {
        if self.nodes[c].epoch == epoch {
            let now = self.now;
            self.nodes[c].machine.on_row_read(now, read);
        }
    }

    fn written(&mut self, epoch: usize, c: usize, end: controller::WriteResult) {
        if self.nodes[c].epoch == epoch {
            let now = self.now;
            self.nodes[c].machine.on_row_written(now, end);
        }
    }

    fn write(&mut self, row: row::GroupRow, when: &cloud::Precondition) -> controller::WriteResult {
        let etag = self.table.map(|(_, etag)| etag);
        let holds = match when {
            cloud::Precondition::Absent => etag.is_none(),
            cloud::Precondition::Unchanged(known) => etag.map(tag).as_ref() == Some(known),
        };
        match () {
            () if !self.store => controller::WriteResult::Unknown,
            () if !holds && self.oracle.off != Off::CompareAndSet => {
                controller::WriteResult::Conflict
            }
            () => {
                let etag = etag.unwrap_or(0) + 1;
                self.table = Some((row, etag));
                controller::WriteResult::Written(tag(etag))
            }
        }
    }

    fn order(&mut self, addressed: &order::AddressedOrder) -> order::Answer {
        let fence = if self.oracle.checks_fences { addressed.fence } else { order::Fence(0) };
        let rank = &mut self.ranks[addressed.rank];
        let answer = rank.handle_order(fence, &addressed.order);
        let forgets = self.oracle.off == Off::Floor && addressed.rank == rank::LEADER;
        if forgets && matches!(addressed.order, order::Order::Abort(_)) {
            let held: Vec<map::Id> = rank.held().iter().copied().collect();
            let using = rank.map_in_use();
            let floor = Some(using.version);
            *rank = rank::Rank::new(addressed.rank, rank.incarnation(), using, floor);
            rank.form_group(&self.incarnations, using);
            held.into_iter().for_each(|id| {
                rank.handle_order(answer.fence, &order::Order::Load(id));
            });
        }
        answer
    }

    fn step(&mut self) {
        if self.store {
            let last = self.table.map_or(0, |(row, _)| row.last_version);
            self.ranks.iter_mut().for_each(|rank| rank.set_last_version(last));
        }
        let step = self.ranks[rank::LEADER].start_pass();
        for (r, rank) in self.ranks.iter_mut().enumerate() {
            assert!(
                rank.run_pass(step),
                "rank {r} cannot run a step with {:?}: {rank:?}",
                step.map
            );
            assert_eq!(rank.map_in_use(), step.map, "rank {r} runs another map");
        }
        self.used.insert(step.map.digest);
    }

    fn restart(&mut self, r: usize) {
        self.incarnations[r] += 1;
        let named = self.table.filter(|_| self.store).map_or(DEFAULT, |(row, _)| row.current);
        let map = if r == rank::LEADER { named } else { self.ranks[rank::LEADER].map_in_use() };
        let own = if self.oracle.off == Off::OneName { named } else { map };
        let last = self.store.then(|| self.table.map_or(0, |(row, _)| row.last_version));
        let last = if self.oracle.off == Off::StartFloor { Some(own.version) } else { last };
        self.ranks[r] = rank::Rank::new(r, self.incarnations[r], own, last);
        for (other, rank) in self.ranks.iter_mut().enumerate() {
            rank.form_group(&self.incarnations, if other == r { own } else { map });
        }
    }

    fn take_over(&mut self, c: usize) {
        self.fence += 1;
        let epoch = self.nodes[c].epoch + 1;
        self.nodes[c] = Node { machine: machine(self.fence, self.now), paused: false, epoch };
    }

    /// Everything heals; one controller is left and must bring all to rest on one map.
    pub fn settle(&mut self) {
        self.store = true;
        self.nodes[1].paused = true;
        self.take_over(0);
        for _ in 0..400 {
            let now = self.now;
            self.nodes[0].machine.renew_lease(now + LEASE);
            self.tick(500);
            while let Some((epoch, packet)) = self.net.pop() {
                self.deliver(epoch, packet, true);
            }
            self.step();
            if self.at_rest() {
                return;
            }
        }
        if matches!(self.oracle.off, Off::Nothing | Off::CompareAndSet) {
            panic!("no rest: {:?} {:?} {:?}", self.table, self.nodes[0].machine, self.ranks);
        }
    }

    fn at_rest(&self) -> bool {
        let using = self.ranks[rank::LEADER].map_in_use();
        let named = self.table.map_or(DEFAULT, |(row, _)| row.current);
        let alone = |rank: &rank::Rank| rank.held().iter().eq([&using]);
        let open = self.table.is_some_and(|(row, _)| row.next.is_some());
        named == using && !open && self.ranks.iter().all(alone) && self.nodes[0].machine.is_idle()
    }
}

fn machine(fence: u64, now: time::Duration) -> controller::Controller {
    let lease = controller::Lease { fence: order::Fence(fence), until: now + LEASE };
    controller::Controller::new(lease, RANKS, LOAD_WITHIN)
}

fn tag(etag: u64) -> cloud::Etag {
    cloud::Etag(etag.to_string())
}
