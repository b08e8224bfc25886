//! Which clients make room where the memory or the connections of a process are short.
//!
//! Each test names the load that it answers, and fails without the decision.

use std::{sync::Arc, time::Duration};

use knapweedford::{
    http::{Client, Clients, clients::NoMemory, payload::Collector},
    metrics::Page,
    settings::Machine,
};
use proptest::prelude::*;

use crate::fuzz;

const PORT: &str = "clients";
const MIB: usize = 1 << 20;
/// Memory of the machine of these tests, in megabytes.
const MEMORY_MB: u64 = 32;
const MAX_CONNECTIONS: usize = 100;

/// Clients of a process, with a clock that only [`wait`] moves.
struct Process {
    clients: Arc<Clients>,
    page: Page,
}

impl Process {
    fn new() -> Self {
        let page = Page::new();
        let machine = Machine { memory_mb: MEMORY_MB, ..Machine::default() };
        Self { clients: Clients::new(&machine, &page), page }
    }

    fn try_connect(&self) -> Option<Arc<Client>> {
        self.clients.admit(PORT, MAX_CONNECTIONS).map(Arc::new)
    }

    fn connect(&self) -> Arc<Client> {
        self.try_connect().expect("there is room")
    }

    /// Memory that is held for clients, in bytes.
    fn used(&self) -> usize {
        let page = self.page.render();
        let used = page
            .lines()
            .find_map(|line| line.strip_prefix("knapweedford_client_memory_bytes "))
            .expect("the metric is on the page");
        used.parse().unwrap()
    }
}

/// Runs `test` with a clock that stands still until it is advanced.
fn with_clock(test: impl AsyncFnOnce()) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(test());
}

async fn wait(ms: u64) {
    tokio::time::advance(Duration::from_millis(ms)).await;
}

/// Load: large bodies that stop short of their end, and one small request.
#[test]
fn stalled_bodies() {
    with_clock(async || {
        let process = Process::new();
        let stalled: Vec<_> = (0..3).map(|_| process.connect()).collect();
        stalled.iter().for_each(|client| client.begin_body());
        let _held: Vec<_> = stalled
            .iter()
            .map(|client| {
                client.record_received(4 * MIB - 1);
                client.charge(3 * MIB + MIB / 2)
            })
            .collect();
        wait(5_000).await;
        let ordinary = process.connect();
        ordinary.begin_body();
        assert!(ordinary.charge(2 * MIB).is_ok());
        assert_eq!(stalled.iter().filter(|client| client.is_evicted()).count(), 1);
        assert!(!ordinary.is_evicted());
    });
}

/// Load: a body that arrives at a usual rate beside one that comes byte by byte.
#[test]
fn trickling_body() {
    with_clock(async || {
        let process = Process::new();
        let (steady, trickling) = (process.connect(), process.connect());
        steady.begin_body();
        trickling.begin_body();
        let mut held = Vec::new();
        for _ in 0..50 {
            wait(100).await;
            steady.record_received(160 << 10);
            held.push(steady.charge(160 << 10).unwrap());
            trickling.record_received(1);
            held.push(trickling.charge(32).unwrap());
        }
        let next = process.connect();
        next.begin_body();
        while !trickling.is_evicted() {
            held.push(next.charge(64 << 10).expect("the trickling client makes room"));
        }
        assert!(!steady.is_evicted() && !next.is_evicted());
    });
}

/// Load: clients that do not read their answers, beside streams that pause.
#[test]
fn unread_answers() {
    with_clock(async || {
        let process = Process::new();
        let (pausing, unread) = (process.connect(), process.connect());
        let clients = [&pausing, &unread];
        clients.iter().for_each(|client| client.begin_answer());
        let _held = clients.map(|client| client.charge(5 * MIB).unwrap());
        // Reads what had waited at once, and then has nothing to read.
        pausing.record_blocked();
        wait(10).await;
        pausing.record_read(64 << 10);
        unread.record_blocked();
        wait(5_000).await;
        pausing.record_blocked();
        let next = process.connect();
        assert!(next.charge(2 * MIB).is_ok());
        assert!(unread.is_evicted() && !pausing.is_evicted());
    });
}

/// Load: a client that reads a few bytes of its answer now and then.
#[test]
fn trickling_reader() {
    with_clock(async || {
        let process = Process::new();
        let trickling = process.connect();
        trickling.begin_answer();
        let _held = trickling.charge(11 * MIB).unwrap();
        for _ in 0..50 {
            trickling.record_blocked();
            wait(100).await;
            trickling.record_read(10);
        }
        trickling.record_blocked();
        assert!(process.connect().charge(MIB).is_ok());
        assert!(trickling.is_evicted());
    });
}

/// Load: large answers that arrive at the same time. They do not wait for each other with a part of
/// their bytes, and a small request finds room beside them.
#[test]
fn large_answers() {
    with_clock(async || {
        let process = Process::new();
        let clients: Vec<_> = (0..6).map(|_| process.connect()).collect();
        clients.iter().for_each(|client| client.begin_answer());
        let mut collectors: Vec<_> =
            clients.iter().map(|client| Collector::new(client).unwrap()).collect();
        let mut reserved = Vec::new();
        for collector in &mut collectors {
            let reserving = collector.reserve_when_possible(4 * MIB);
            reserved.push(tokio::time::timeout(Duration::from_secs(1), reserving).await.is_ok());
        }
        assert_eq!(reserved, [true, true, false, false, false, false]);
        let small = process.connect();
        assert!(small.charge(64 << 10).is_ok());
        assert!(clients.iter().all(|client| !client.is_evicted()));
        for collector in &mut collectors[..2] {
            collector.push(&mut &vec![0; 4 * MIB][..]).expect("it is reserved");
        }
    });
}

/// Load: the same for answers whose length is not known. One of them makes room for the other.
#[test]
fn answers_without_length() {
    with_clock(async || {
        let process = Process::new();
        let clients = [process.connect(), process.connect()];
        clients.iter().for_each(|client| client.begin_answer());
        let collect = async |client: &Arc<Client>| {
            let mut collector = Collector::new(client).unwrap();
            for _ in 0..100 {
                collector.push_when_possible(&[0; 64 << 10]).await?;
                tokio::task::yield_now().await;
            }
            Ok::<_, NoMemory>(())
        };
        let (first, second) = tokio::join!(collect(&clients[0]), collect(&clients[1]));
        assert_eq!(usize::from(first.is_ok()) + usize::from(second.is_ok()), 1);
    });
}

/// Load: requests that are served and whose answers are awaited take all memory. None of them is
/// given up; what finds no room is refused at once, and can still connect to hear so.
#[test]
fn all_served() {
    with_clock(async || {
        let process = Process::new();
        let mut held = Vec::new();
        while let Some(client) = (held.len() < 11).then(|| process.connect()) {
            client.begin_answer();
            held.push((client.charge(MIB - (64 << 10)).unwrap(), client));
        }
        wait(60_000).await;
        let next = process.connect();
        next.begin_body();
        assert!(next.charge(MIB).is_err());
        assert!(held.iter().all(|(_, client)| !client.is_evicted()) && !next.is_evicted());
    });
}

/// Load: more silent connections than there may be. One that has just connected is never closed for
/// the next, and one that waits longest is closed first.
#[test]
fn silent_connections() {
    with_clock(async || {
        let process = Process::new();
        let silent: Vec<_> = (0..MAX_CONNECTIONS).map(|_| process.connect()).collect();
        assert!(process.try_connect().is_none(), "a client was closed that has just connected");
        wait(50).await;
        silent[1..].iter().for_each(|client| client.begin_head());
        wait(60).await;
        let next = process.connect();
        assert!(silent[0].is_evicted());
        assert!(silent[1..].iter().all(|client| !client.is_evicted()) && !next.is_evicted());
    });
}

/// Load: connections to one port do not close those to another while there is memory.
#[test]
fn other_port() {
    with_clock(async || {
        let process = Process::new();
        let probe = process.clients.admit("readiness", 1).unwrap();
        wait(50).await;
        let _silent: Vec<_> = (0..MAX_CONNECTIONS).map(|_| process.connect()).collect();
        wait(200).await;
        let _next = process.connect();
        assert!(!probe.is_evicted());
    });
}

/// Guards against memory that is counted twice or never returned when a client makes room and its
/// body and connection are dropped later, in any order.
#[test]
fn memory_returned() {
    with_clock(async || {
        let process = Process::new();
        for connection_first in [true, false] {
            let slow = process.connect();
            slow.begin_body();
            let charge = slow.charge(11 * MIB).unwrap();
            wait(1_000).await;
            let next = process.connect();
            let next_charge = next.charge(5 * MIB).unwrap();
            assert!(slow.is_evicted() && slow.charge(1).is_err());
            match connection_first {
                true => drop((slow, charge)),
                false => drop((charge, slow)),
            }
            drop((next, next_charge));
            assert_eq!(process.used(), 0);
        }
    });
}

fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let piece = prop_oneof![
        8 => prop::collection::vec(any::<u8>(), 0..40),
        1 => prop::collection::vec(any::<u8>(), 0..40_000),
    ];
    prop::collection::vec(piece, 0..200)
}

proptest! {
    #![proptest_config(fuzz::config(64))]

    /// Guards against bodies that lose or repeat bytes at the border of segments, and against pieces
    /// that cost more than their bytes.
    #[test]
    fn collected_bodies(pieces in pieces()) {
        let process = Process::new();
        let client = process.connect();
        let before = process.used();
        let mut collector = Collector::new(&client).unwrap();
        for piece in &pieces {
            collector.push(&mut &piece[..]).unwrap();
        }
        let expected = pieces.concat();
        let mut body = collector.finish();
        prop_assert_eq!(body.len(), expected.len());
        prop_assert_eq!(body.to_vec(), expected.clone());
        let cost = process.used() - before;
        prop_assert!(cost >= expected.len() && cost <= expected.len() + (16 << 10));
        let mut taken = Vec::new();
        while let Some(segment) = body.next_segment() {
            prop_assert!(segment.len() <= 16 << 10);
            taken.extend_from_slice(&segment);
        }
        prop_assert_eq!(taken, expected);
        drop(body);
        prop_assert_eq!(process.used(), before);
    }
}
