//! Leases, fences, and the guard in front of servers that do not check fences.
//!
//! The tests guard against two processes that both act as the holder of a lease, after pauses,
//! outages of the table and lost answers, and against orders of a former holder that take effect.

use std::time::Duration;

use knapweedford::{
    Error,
    agree::{
        guard::Guard,
        lease::{self, Fence, Holder, Lease},
        row,
    },
};
use proptest::{prelude::*, test_runner};

use crate::site::{Platform, host, ms, secs};

const TERM: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(1);

/// Processes that compete for one lease, under virtual time.
struct Group {
    now: Duration,
    platform: Platform,
    leases: Vec<Lease>,
    paused: Vec<Duration>,
}

impl Group {
    fn new(count: usize) -> Self {
        let lease = |i: usize| {
            let me = Holder { host: host(i), boot: 1 };
            Lease::new(me, TERM, Duration::ZERO, i as u64)
        };
        Self {
            now: Duration::ZERO,
            platform: Platform::default(),
            leases: (0..count).map(lease).collect(),
            paused: vec![Duration::ZERO; count],
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        for (lease, paused) in self.leases.iter_mut().zip(&self.paused) {
            if self.now < *paused {
                continue;
            }
            if let Some(call) = lease.next_call(self.now) {
                let answer = row::execute(&lease::key("g"), &call, &self.platform, TIMEOUT);
                lease.handle_answer(self.now, answer);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            assert!(self.holders().len() <= 1, "holders {:?} at {:?}", self.holders(), self.now);
        }
    }

    /// Returns the processes that would send an order now, including paused ones, with their
    /// fences.
    fn holders(&self) -> Vec<(usize, Fence)> {
        let fences = self.leases.iter().map(|lease| lease.fence(self.now));
        fences.enumerate().filter_map(|(i, fence)| Some((i, fence?))).collect()
    }
}

#[test]
fn acquired_and_renewed() {
    let mut group = Group::new(3);
    group.run(secs(1));
    let first = group.holders();
    assert_eq!(first.len(), 1);
    group.run(secs(120));
    assert_eq!(group.holders(), first);
}

#[test]
fn paused_holder_replaced() {
    let mut group = Group::new(2);
    group.run(secs(1));
    let (old, fence) = group.holders()[0];
    group.paused[old] = group.now + secs(40);
    group.run(secs(30));
    assert_eq!(group.holders(), [(1 - old, Fence(fence.0 + 1))]);
    group.run(secs(30));
    assert_eq!(group.holders(), [(1 - old, Fence(fence.0 + 1))]);
}

#[test]
fn expires_during_pause() {
    let mut group = Group::new(1);
    group.run(secs(1));
    group.paused[0] = group.now + secs(60);
    group.run(secs(20));
    assert!(group.holders().is_empty());
}

#[test]
fn expires_during_outage() {
    let mut group = Group::new(2);
    group.run(secs(1));
    group.platform.state().down = true;
    group.run(secs(20));
    assert!(group.holders().is_empty());
    group.platform.state().down = false;
    group.run(secs(20));
    assert_eq!(group.holders().len(), 1);
}

#[test]
fn release_transfers_lease() {
    let mut group = Group::new(2);
    group.run(secs(1));
    let (old, fence) = group.holders()[0];
    let now = group.now;
    group.leases[old].release(now);
    assert!(group.holders().is_empty());
    group.run(secs(8));
    assert_eq!(group.holders(), [(1 - old, Fence(fence.0 + 1))]);
}

#[test]
fn survives_lost_answers() {
    let mut group = Group::new(3);
    group.platform.state().answer_loss = 0.5;
    group.run(secs(300));
    let mut held_seconds = 0;
    for _ in 0..100 {
        group.run(secs(1));
        held_seconds += group.holders().len();
    }
    assert!(held_seconds > 80, "lease held for {held_seconds} of 100 s");
}

#[test]
fn guard_refuses_stale() {
    let mut guard = Guard::new().with_fence(Fence(5));
    assert!(matches!(guard.check(Fence(4), secs(1)), Err(Error::StaleFence { .. })));
    guard.check(Fence(5), secs(1)).unwrap();
    guard.check(Fence(7), secs(1)).unwrap();
    assert!(matches!(guard.check(Fence(6), secs(1)), Err(Error::StaleFence { .. })));
    assert!(matches!(guard.check(Fence(7), secs(0)), Err(Error::ExpiredLease)));
}

#[test]
fn guard_reads_fence() {
    let mut group = Group::new(2);
    group.run(secs(1));
    let (old, fence) = group.holders()[0];
    group.paused[old] = group.now + secs(100);
    group.run(secs(30));
    let unread = Guard::new();
    assert!(matches!(unread.check("g"), Err(Error::UnknownFence { .. })));
    let mut guard = unread.with_fence(lease::read_fence("g", &group.platform, TIMEOUT).unwrap());
    assert!(matches!(guard.check(fence, secs(1)), Err(Error::StaleFence { .. })));
    group.platform.state().down = true;
    lease::read_fence("g", &group.platform, TIMEOUT).unwrap_err();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// With pauses, outages and lost answers at any time, there are never two holders, fences never
    /// decrease, and the guard accepts every order of the current holder.
    #[test]
    fn single_holder(faults in proptest::collection::vec((0..6u8, 0..3usize, 1..200u64), 1..40)) {
        let mut group = Group::new(3);
        let mut guard = Guard::new().with_fence(Fence(0));
        let mut highest = Fence(0);
        for (kind, process, length) in faults {
            match kind {
                0 => group.paused[process] = group.now + TICK * length as u32,
                1 => group.platform.state().down = true,
                2 => group.platform.state().down = false,
                3 => group.platform.state().answer_loss = length as f64 / 250.0,
                4 => group.platform.state().write_loss = length as f64 / 250.0,
                _ => {}
            }
            for _ in 0..length {
                group.step();
                let holders = group.holders();
                prop_assert!(holders.len() <= 1, "holders {:?} at {:?}", holders, group.now);
                for (_, fence) in holders {
                    prop_assert!(fence >= highest);
                    highest = fence;
                    prop_assert!(guard.check(fence, ms(1)).is_ok());
                }
            }
        }
    }
}
