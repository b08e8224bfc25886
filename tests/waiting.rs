//! The order in which requests that found no slot get one. Except for the last tests, no network; each
//! test names its load.

use std::{collections::BTreeMap, io::Write, net, thread, time::Duration};

use knapweedford::{
    balance::{
        WaitQueue,
        wait_queue::{Ticket, Urgency},
    },
    name::Workspace,
};

use crate::{
    gateways::{self, API_KEY, Behavior, Gateway, HOST, Server, config},
    processes::wait_until,
    store::Store,
};

const TARGET: Duration = Duration::from_millis(500);
const URGENT: Urgency = Urgency { priority: 0, is_late: false };
const ORDINARY: Urgency = Urgency { priority: 1, is_late: false };
const LATE: Urgency = Urgency { priority: 1, is_late: true };

/// A gateway at which slots come free at regular intervals, and the requests that wait there.
struct Load {
    queue: WaitQueue,
    now: Duration,
    waiting: BTreeMap<u64, (Ticket, Urgency, Workspace)>,
    arrived: u64,
    /// Urgency and workspace of the requests that got a slot.
    served: Vec<(Urgency, Workspace)>,
    refused: Vec<Urgency>,
    displaced: Vec<Urgency>,
}

impl Load {
    /// Returns a load after a second in which `per_s` requests got slots.
    fn new(per_s: u64) -> Self {
        let mut queue = WaitQueue::default();
        for n in 0..per_s {
            queue.record_grant(None, Duration::from_millis(1_000 + n * 1_000 / per_s));
        }
        Self {
            queue,
            now: Duration::from_secs(2),
            waiting: BTreeMap::new(),
            arrived: 0,
            served: Vec::new(),
            refused: Vec::new(),
            displaced: Vec::new(),
        }
    }

    fn arrive(&mut self, urgency: Urgency, workspace: &str) {
        let workspace = Workspace::new(workspace);
        let max_wait = self.queue.max_wait(TARGET);
        match self.queue.join(urgency, Some(&workspace), max_wait, self.now) {
            Some(ticket) => {
                self.waiting.insert(self.arrived, (ticket, urgency, workspace));
            }
            None => self.refused.push(urgency),
        }
        self.arrived += 1;
        let (queue, displaced) = (&self.queue, &mut self.displaced);
        self.waiting.retain(|_, (ticket, urgency, _)| {
            let waits = queue.contains(*ticket);
            displaced.extend((!waits).then_some(*urgency));
            waits
        });
    }

    /// Gives a free slot to the next request.
    fn free_slot(&mut self) {
        let is_next =
            |(_, (ticket, ..)): &(&u64, &(Ticket, Urgency, Workspace))| self.queue.is_next(*ticket);
        let Some(n) = self.waiting.iter().find(is_next).map(|(n, _)| *n) else { return };
        let (ticket, urgency, workspace) = self.waiting.remove(&n).expect("the request waits");
        self.queue.leave(ticket);
        self.queue.record_grant(Some(&workspace), self.now);
        self.now += Duration::from_millis(20);
        self.served.push((urgency, workspace));
    }

    fn served_of(&self, urgency: Urgency) -> usize {
        self.served.iter().filter(|(served, _)| *served == urgency).count()
    }
}

/// A burst of the least urgent kind while urgent requests arrive as usual: the urgent ones get slots
/// first, and the burst is refused at once as far as it finds no slot in time.
#[test]
fn burst_of_least_urgent() {
    let mut load = Load::new(50);
    for _ in 0..10 {
        (0..5).for_each(|_| load.arrive(ORDINARY, "a"));
        load.arrive(URGENT, "a");
        load.free_slot();
        load.free_slot();
    }
    assert_eq!(load.served_of(URGENT), 10, "{:?}", load.served);
    assert!(load.served_of(ORDINARY) > 5, "the burst got nothing");
    assert!(!load.refused.is_empty(), "more wait than can be served");
    assert!(load.refused.iter().chain(&load.displaced).all(|refused| *refused == ORDINARY));
}

/// Everybody is urgent: the order is that of age, and nobody is displaced.
#[test]
fn burst_of_most_urgent() {
    let mut load = Load::new(50);
    (0..40).for_each(|n| load.arrive(URGENT, &format!("w{n}")));
    assert!(load.displaced.is_empty());
    let waiting: Vec<Workspace> = load.waiting.values().map(|(.., w)| w.clone()).collect();
    assert!((4..=20).contains(&waiting.len()), "{} wait", waiting.len());
    (0..waiting.len()).for_each(|_| load.free_slot());
    let served: Vec<Workspace> = load.served.iter().map(|(_, w)| w.clone()).collect();
    assert_eq!(served, waiting);
}

/// More urgent requests than slots: one slot in eight goes to the oldest, so that the others do not
/// starve.
#[test]
fn nobody_starves() {
    let mut load = Load::new(50);
    load.arrive(ORDINARY, "a");
    for _ in 0..16 {
        load.arrive(URGENT, "a");
        load.free_slot();
    }
    assert_eq!(load.served_of(ORDINARY), 1, "{:?}", load.served);
}

/// A group opens after an outage: callers that return, all of them late, do not keep away those that
/// can still be in time, and get the slots that those leave.
#[test]
fn return_after_outage() {
    let mut load = Load::new(50);
    (0..30).for_each(|_| load.arrive(LATE, "a"));
    for _ in 0..10 {
        load.arrive(ORDINARY, "a");
        load.free_slot();
        load.free_slot();
    }
    assert_eq!(load.served_of(ORDINARY), 10, "{:?}", load.served);
    assert!(load.served_of(LATE) >= 8, "{:?}", load.served);
}

/// One large workspace sends ten times as much as another: both get slots.
#[test]
fn large_workspace() {
    let mut load = Load::new(100);
    for _ in 0..20 {
        (0..10).for_each(|_| load.arrive(ORDINARY, "large"));
        load.arrive(ORDINARY, "small");
        load.free_slot();
        load.free_slot();
    }
    let small = load.served.iter().filter(|(_, w)| w.as_str() == "small").count();
    let refused = load.refused.len() + load.displaced.len();
    assert!(small >= 2, "{small} of 20 requests of the small workspace, {refused} refused");
}

/// An arrival passes waiting requests only if it is more urgent than all of them.
#[test]
fn no_passing() {
    let mut queue = WaitQueue::default();
    assert!(queue.may_pass(LATE), "nobody waits");
    let ticket = queue.join(ORDINARY, None, TARGET, Duration::ZERO).expect("there is room");
    assert!(queue.may_pass(URGENT) && !queue.may_pass(ORDINARY) && !queue.may_pass(LATE));
    queue.leave(ticket);
    assert!(queue.is_empty() && queue.may_pass(ORDINARY));
}

/// The time that first answers take decides how long a request may wait.
#[test]
fn wait_bounded() {
    let mut queue = WaitQueue::default();
    assert_eq!(queue.max_wait(TARGET), TARGET / 2);
    (0..100).for_each(|_| queue.record_first_answer(Duration::from_millis(300)));
    let wait = queue.max_wait(TARGET);
    assert!(wait + Duration::from_millis(300) < TARGET, "{wait:?}");
    (0..100).for_each(|_| queue.record_first_answer(Duration::from_secs(3)));
    assert_eq!(queue.max_wait(TARGET), TARGET / 10);
}

/// Slots of the server of these tests for one gateway.
const SLOTS: usize = 24;

/// Starts a gateway and one server that answers after `pause_ms`; answers are in time for 8 s.
fn start(pause_ms: u64) -> (Server, Gateway) {
    let store = Store::start();
    let server = Server::start("i-0");
    server.set_behavior(Behavior::Paced(pause_ms));
    gateways::register(&store, &server, server.addr, "ready");
    let text = config(1, "llm")
        .replace(r#""target_latency_ms":400"#, r#""target_latency_ms":8000"#)
        .replace(r#""timeout_ms":2000"#, r#""timeout_ms":9000"#);
    store.put("op", "config", &text);
    let gateway = Gateway::start(store.addr);
    wait_until("the gateway is ready", || gateway.is_ready().then_some(()));
    (server, gateway)
}

fn send_all(at: net::SocketAddr, ids: std::ops::Range<usize>) -> Vec<thread::JoinHandle<u16>> {
    let send = move |n: usize| {
        let headers = [
            ("Host", HOST),
            ("Api-Key", API_KEY),
            ("X-Knapweedford-Request-Id", &format!("id-{n}")),
            ("X-Knapweedford-Deadline-Ms", "9000"),
        ];
        gateways::call(at, "GET", "/read/a", &headers).status
    };
    ids.map(|n| thread::spawn(move || send(n))).collect()
}

/// A burst of a few requests more than slots: the rest wait until slots come free, in place of being
/// refused.
#[test]
fn burst_waits() {
    let (server, gateway) = start(500);
    let sent = send_all(gateway.process.address, 0..SLOTS + 4);
    let statuses: Vec<u16> = sent.into_iter().map(|sent| sent.join().unwrap()).collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(server.requests().len(), SLOTS + 4);
}

/// A gateway is stopped while requests wait: they are refused, and have not run, nor has that of a
/// caller that left before.
#[test]
fn stopped_while_waiting() {
    let (server, gateway) = start(8_000);
    let at = gateway.process.address;
    let running = send_all(at, 0..SLOTS);
    // The server reads most of them; the rest wait in its kernel, and have their slots.
    wait_until("slots are in use", || (server.requests().len() > SLOTS / 2).then_some(()));
    thread::sleep(Duration::from_millis(300));
    let mut left = net::TcpStream::connect(at).unwrap();
    write!(
        left,
        "GET /read/left HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {API_KEY}\r\n\
         X-Knapweedford-Request-Id: id-left\r\n\r\n"
    )
    .unwrap();
    let waiting = send_all(at, SLOTS..SLOTS + 2);
    thread::sleep(Duration::from_millis(300));
    drop(left);
    gateway.process.signal("TERM");
    for sent in waiting {
        assert_eq!(sent.join().unwrap(), 503, "a request that waited");
    }
    running.into_iter().for_each(|sent| assert_eq!(sent.join().unwrap(), 502));
    let ids =
        server.requests().into_iter().map(|req| req.headers["x-knapweedford-request-id"].clone());
    let ran: Vec<String> = ids.collect();
    for id in ["id-left", "id-24", "id-25"] {
        assert!(!ran.iter().any(|ran| ran == id), "{id} waited and has run");
    }
}
