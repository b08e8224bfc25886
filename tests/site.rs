//! Simulated site under virtual time: state machines of the agreement, a network that loses,
//! duplicates and delays messages, and a platform in memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    net,
    sync::{Mutex, MutexGuard},
    time::{self, Duration},
};

use knapweedford::{
    Error, Result,
    agree::{
        change::{Order, Outcome},
        node::{self, Input, Node, Output},
        record::{Effective, OrderId, Target},
        store,
    },
    cloud, name,
    wire::{frame, gossip},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Platform in memory.
#[derive(Default)]
pub struct Platform {
    state: Mutex<PlatformState>,
}

/// Contents, faults and counters of a [`Platform`].
pub struct PlatformState {
    pub rows: BTreeMap<String, cloud::Row>,
    pub objects: BTreeMap<String, Vec<u8>>,
    pub hosts: Vec<cloud::ListedHost>,
    pub down: bool,
    /// Probability that the answer to a write or delete is lost.
    pub answer_loss: f64,
    /// Probability that a write is lost.
    pub write_loss: f64,
    /// Whether writes ignore their condition, to show that a test detects it.
    pub ignore_conditions: bool,
    pub reads: u64,
    pub writes: u64,
    /// Bytes of the rows that conditional reads returned.
    pub read_bytes: u64,
    rng: Pcg64,
    tag: u64,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            hosts: Vec::new(),
            down: false,
            answer_loss: 0.0,
            write_loss: 0.0,
            ignore_conditions: false,
            reads: 0,
            writes: 0,
            read_bytes: 0,
            rng: Pcg64::seed_from_u64(7),
            tag: 0,
        }
    }
}

fn unavailable() -> Error {
    Error::PlatformUnavailable { service: "table", problem: "simulated outage".into() }
}

impl Platform {
    /// Locks and returns contents, faults and counters.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap()
    }

    fn available_state(&self) -> Result<MutexGuard<'_, PlatformState>> {
        let state = self.state();
        if state.down { Err(unavailable()) } else { Ok(state) }
    }
}

impl PlatformState {
    fn draw(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_bool(p)
    }
}

impl cloud::Table for Platform {
    fn read(&self, key: &str, _: Duration) -> Result<Option<cloud::Row>> {
        self.state().reads += 1;
        Ok(self.available_state()?.rows.get(key).cloned())
    }

    fn read_if_changed(
        &self,
        key: &str,
        known: Option<&cloud::Etag>,
        _: Duration,
    ) -> Result<cloud::ConditionalRead> {
        self.state().reads += 1;
        let mut state = self.available_state()?;
        let row = state.rows.get(key).cloned();
        if known.is_some() && row.as_ref().map(|row| &row.etag) == known {
            return Ok(cloud::ConditionalRead::Unchanged);
        }
        state.read_bytes += row.as_ref().map_or(0, |row| row.value.len() as u64);
        Ok(cloud::ConditionalRead::Row(row))
    }

    fn write(
        &self,
        key: &str,
        value: &str,
        when: &cloud::Precondition,
        _: Duration,
    ) -> Result<cloud::WriteOutcome> {
        self.state().writes += 1;
        let mut state = self.available_state()?;
        let p = state.write_loss;
        if state.draw(p) {
            return Err(unavailable());
        }
        let holds = match (when, state.rows.get(key)) {
            _ if state.ignore_conditions => true,
            (cloud::Precondition::Absent, None) => true,
            (cloud::Precondition::Unchanged(etag), Some(row)) => row.etag == *etag,
            _ => false,
        };
        let p = state.answer_loss;
        let lost = state.draw(p);
        if !holds {
            return if lost { Err(unavailable()) } else { Ok(cloud::WriteOutcome::Refused) };
        }
        state.tag += 1;
        let etag = cloud::Etag(state.tag.to_string());
        let row = cloud::Row { etag: etag.clone(), value: value.into() };
        state.rows.insert(key.into(), row);
        if lost { Err(unavailable()) } else { Ok(cloud::WriteOutcome::Done(etag)) }
    }

    fn delete(&self, key: &str, etag: &cloud::Etag, _: Duration) -> Result<bool> {
        self.state().writes += 1;
        let mut state = self.available_state()?;
        let held = state.rows.get(key).is_some_and(|row| row.etag == *etag);
        if held {
            state.rows.remove(key);
        }
        let p = state.answer_loss;
        if state.draw(p) { Err(unavailable()) } else { Ok(held) }
    }
}

impl cloud::Hosts for Platform {
    fn list(&self, _: Duration) -> Result<Vec<cloud::ListedHost>> {
        self.state().reads += 1;
        Ok(self.available_state()?.hosts.clone())
    }
}

impl cloud::Objects for Platform {
    fn get(&self, key: &str, _: Duration) -> Result<Option<Vec<u8>>> {
        Ok(self.available_state()?.objects.get(key).cloned())
    }

    fn put(&self, key: &str, data: &[u8], _: Duration) -> Result {
        self.available_state()?.objects.insert(key.into(), data.into());
        Ok(())
    }
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize, u64),
    /// Recipient, message, and whether it is an answer on the recipient's own connection.
    Deliver(usize, gossip::Message, bool),
    Store(usize, u64, store::Call),
}

/// Resources that one process used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Number of messages sent.
    pub messages_sent: u64,
    /// Number of exchanges started or accepted, each on its own connection.
    pub exchanges: u64,
    /// Bytes of the frames sent and received.
    pub bytes: u64,
    /// Wall-clock time spent in the state machine.
    pub handler_time: Duration,
}

/// Process of the site.
pub struct Process {
    /// State machine; `None` while the process is dead.
    pub node: Option<Node>,
    /// Configurations that the process put in force since its start, with the time of each.
    pub adopted: Vec<(Duration, Effective)>,
    /// Resources used so far.
    pub cost: Cost,
    boot: u64,
    paused_until: Duration,
}

/// Simulated site: processes, network, platform and virtual time.
pub struct Site {
    /// Current virtual time.
    pub now: Duration,
    /// Platform of the site.
    pub platform: Platform,
    /// Processes by index.
    pub processes: Vec<Process>,
    /// Outcomes of operators' orders.
    pub answers: BTreeMap<OrderId, Outcome>,
    /// Probability that a message is lost.
    pub message_loss: f64,
    /// Probability that a message is delivered a second time, up to a minute late.
    pub duplication: f64,
    /// Partition of each process; only processes with the same number reach each other.
    pub partition: Vec<u8>,
    /// Whether frames are encoded to count their bytes, and handler time is measured.
    pub count_cost: bool,
    /// Peer whose message is being handled; messages to it are answers on its connection.
    answering: Option<net::SocketAddr>,
    queue: BTreeMap<(Duration, u64), Event>,
    serial: u64,
    rng: Pcg64,
}

/// One-way latency of the network.
const LATENCY_MS: std::ops::Range<u64> = 1..20;

/// Delay of the second delivery of a duplicated message.
const DUPLICATE_DELAY_MS: std::ops::Range<u64> = 20..60_000;

/// Maximum duration of a call to the platform.
const MAX_STORE_CALL_MS: u64 = 10;

pub fn host(i: usize) -> name::Host {
    name::Host::new(format!("h{i:03}"))
}

pub fn address(i: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7))
}

pub fn zone_target(name: &str) -> Target {
    Target::Zone(name.into())
}

fn listed(i: usize) -> cloud::ListedHost {
    cloud::ListedHost {
        host: host(i),
        zone: name::Zone::new(format!("z{}", i % 3)),
        peers: address(i),
        server: (!i.is_multiple_of(3)).then(|| name::Server::new(format!("s{i}"))),
        state: cloud::HostState::Live,
    }
}

impl Site {
    /// Creates a site of `count` processes that have just started and are all in the host list.
    pub fn new(count: usize) -> Self {
        let mut site = Self {
            now: Duration::ZERO,
            platform: Platform::default(),
            processes: Vec::new(),
            answers: BTreeMap::new(),
            message_loss: 0.0,
            duplication: 0.0,
            partition: vec![0; count],
            count_cost: false,
            answering: None,
            queue: BTreeMap::new(),
            serial: 0,
            rng: Pcg64::seed_from_u64(11),
        };
        site.platform.state().hosts = (0..count).map(listed).collect();
        for i in 0..count {
            site.processes.push(Process {
                node: None,
                adopted: Vec::new(),
                cost: Cost::default(),
                boot: 0,
                paused_until: Duration::ZERO,
            });
            site.start(i);
        }
        site
    }

    /// Creates a site whose processes know each other, with the text `one` committed.
    pub fn settled(count: usize) -> Self {
        let mut site = Self::new(count);
        site.run(secs(15));
        site.submit_order(0, 1, apply_order("one"));
        site.run(secs(10));
        site
    }

    /// Starts or restarts process `i`, which knows only processes 0 and 1, as its seeds.
    pub fn start(&mut self, i: usize) {
        let boot = self.processes[i].boot + 1;
        let listed = listed(i);
        let me = gossip::Member {
            host: listed.host,
            zone: listed.zone,
            peers: listed.peers,
            server: listed.server,
            incarnation: 1 + self.now.as_millis() as u64,
            boot,
            leaving: false,
            health: gossip::Health::Alive,
        };
        let seeds = vec![address(0), address(1)];
        let start = node::Start { me, seeds, seed: 100 * boot + i as u64 };
        let process = &mut self.processes[i];
        process.boot = boot;
        process.adopted.clear();
        process.node = Some(Node::new(start, self.now));
        let first = self.now + ms(self.rng.random_range(0..100));
        self.schedule(first, Event::Tick(i, boot));
    }

    /// Kills process `i`.
    pub fn kill(&mut self, i: usize) {
        self.processes[i].node = None;
    }

    /// Pauses process `i` for `time`; its events are delayed until then.
    pub fn pause(&mut self, i: usize, time: Duration) {
        self.processes[i].paused_until = self.now + time;
    }

    /// Submits an operator's order at process `i`.
    pub fn submit_order(&mut self, i: usize, op: u64, order: Order) {
        self.handle_input(i, Input::Operator { op: OrderId(op), order });
    }

    /// Advances the virtual time by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(((at, _), event)) = self.next_event_until(end) {
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Returns the outcome of an order, if its operator has been answered.
    pub fn answer(&self, op: u64) -> Option<&Outcome> {
        self.answers.get(&OrderId(op))
    }

    /// Returns the state machine of process `i`, which must be alive.
    pub fn node(&self, i: usize) -> &Node {
        self.processes[i].node.as_ref().unwrap()
    }

    /// Returns the versions in force at the live processes.
    pub fn versions(&self) -> BTreeSet<u64> {
        self.live_nodes().map(|node| node.record().version).collect()
    }

    /// Returns the state machines of the live processes.
    pub fn live_nodes(&self) -> impl Iterator<Item = &Node> {
        self.processes.iter().filter_map(|process| process.node.as_ref())
    }

    /// Whether the zone is out at every live process.
    pub fn is_out_everywhere(&self, zone: &str) -> bool {
        self.live_nodes().all(|node| node.effective().out().zones.contains(zone))
    }

    /// Passes `input` to process `i` now.
    pub fn handle_input(&mut self, i: usize, input: Input) {
        let now = self.now;
        let process = &mut self.processes[i];
        let Some(node) = &mut process.node else { return };
        let started_at = time::Instant::now();
        let outputs = node.handle(now, input);
        if self.count_cost {
            process.cost.handler_time += started_at.elapsed();
        }
        for output in outputs {
            self.handle_output(i, output);
        }
    }

    fn handle_output(&mut self, i: usize, output: Output) {
        match output {
            Output::Store(call) => {
                let boot = self.processes[i].boot;
                let at = self.now + ms(self.rng.random_range(1..MAX_STORE_CALL_MS));
                self.schedule(at, Event::Store(i, boot, call));
            }
            Output::Send { to, message } => self.send(i, to, message),
            Output::Adopt(effective) => {
                let now = self.now;
                self.processes[i].adopted.push((now, effective));
            }
            Output::Members => {}
            Output::Answer { op, outcome } => {
                self.answers.insert(op, outcome);
            }
        }
    }

    fn send(&mut self, i: usize, to: net::SocketAddr, message: gossip::Message) {
        let net::IpAddr::V4(ip) = to.ip() else { panic!("simulated addresses are IPv4") };
        let target = usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]);
        self.processes[i].cost.messages_sent += 1;
        let is_answer = self.answering == Some(to);
        if !is_answer {
            self.processes[i].cost.exchanges += 1;
            self.processes[target].cost.exchanges += 1;
        }
        if self.count_cost {
            let size = frame::encode(&message).unwrap().len() as u64;
            self.processes[i].cost.bytes += size;
            self.processes[target].cost.bytes += size;
        }
        if self.partition[i] != self.partition[target] || self.rng.random_bool(self.message_loss) {
            return;
        }
        if self.duplication > 0.0 && self.rng.random_bool(self.duplication) {
            let duplicate_at = self.now + ms(self.rng.random_range(DUPLICATE_DELAY_MS));
            self.schedule(duplicate_at, Event::Deliver(target, message.clone(), is_answer));
        }
        let at = self.now + ms(self.rng.random_range(LATENCY_MS));
        self.schedule(at, Event::Deliver(target, message, is_answer));
    }

    fn handle_event(&mut self, event: Event) {
        let i = match &event {
            Event::Tick(i, _) | Event::Deliver(i, _, _) | Event::Store(i, _, _) => *i,
        };
        let paused_until = self.processes[i].paused_until;
        if self.now < paused_until {
            return self.schedule(paused_until, event);
        }
        match event {
            Event::Tick(_, boot) if boot != self.processes[i].boot => {}
            Event::Tick(_, boot) => {
                self.schedule(self.now + node::TICK, Event::Tick(i, boot));
                self.handle_input(i, Input::Tick);
            }
            Event::Deliver(_, message, is_answer) => {
                self.answering = (!is_answer).then_some(message.from.peers);
                self.handle_input(i, Input::Message(message));
                self.answering = None;
            }
            Event::Store(_, boot, call) => {
                let answer = store::execute(&call, &self.platform, &self.platform);
                if boot == self.processes[i].boot {
                    self.handle_input(i, Input::Store(answer));
                }
            }
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.queue.insert((at, self.serial), event);
    }

    fn next_event_until(&mut self, end: Duration) -> Option<((Duration, u64), Event)> {
        let first = self.queue.first_entry()?;
        (first.key().0 <= end).then(|| first.remove_entry())
    }
}

pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn apply_order(text: &str) -> Order {
    Order::Apply { text: text.into(), base: None }
}
