//! Replays traces of faults at a site through the agreement's state machine under virtual time.
//!
//! The traces guard against orders that are lost, or not in force everywhere, after outages of the
//! store, restarts, deaths, partitions and races between operators.
//!
//! A trace is a text file: `processes N`, then lines `at SECONDS STEP`, in order of time.
//! Steps, in which P is the index of a process: `apply P TEXT [BASE]`, `out P ZONE` and `in P ZONE`
//! submit an order to P; `kill P`, `start P`; `side P N` moves P to side N of a network partition;
//! `store up|down|lossy PERCENT`, where a lossy store loses PERCENT of its answers to writes.
//! Checks of the state at that time: `expect version N`, `expect out ZONE`, `expect back ZONE`,
//! `expect durable`; `expect answer N OUTCOME` and `expect one-won N...` (exactly one of these
//! orders was committed), where N counts the orders from 1.

use knapweedford::agree::change::{Order, Outcome};

use crate::site::{self, Site};

struct Replay {
    site: Site,
    orders: u64,
}

impl Replay {
    fn order(&mut self, at: usize, order: Order) {
        self.orders += 1;
        self.site.submit_order(at, self.orders, order);
    }

    fn step(&mut self, words: &[&str]) {
        match words {
            ["apply", at, text] => self.order(number(at), site::apply_order(text)),
            ["apply", at, text, base] => {
                let base = Some(number(base) as u64);
                self.order(number(at), Order::Apply { text: (*text).into(), base });
            }
            ["out", at, zone] => self.order(number(at), Order::Out(site::zone_target(zone))),
            ["in", at, zone] => self.order(number(at), Order::In(site::zone_target(zone))),
            ["kill", at] => self.site.kill(number(at)),
            ["start", at] => self.site.start(number(at)),
            ["side", at, side] => self.site.partition[number(at)] = number(side) as u8,
            ["store", "down"] => self.site.platform.state().down = true,
            ["store", "lossy", percent] => {
                self.site.platform.state().answer_loss = number(percent) as f64 / 100.0;
            }
            ["store", "up"] => {
                let mut state = self.site.platform.state();
                (state.down, state.answer_loss) = (false, 0.0);
            }
            ["expect", expected @ ..] => self.expect(expected),
            _ => panic!("unknown step: {words:?}"),
        }
    }

    fn expect(&self, expected: &[&str]) {
        match expected {
            ["version", version] => {
                assert_eq!(self.site.versions(), [number(version) as u64].into());
            }
            ["out", zone] => assert!(self.site.is_out_everywhere(zone)),
            ["back", zone] => {
                let out = |node: &&_| is_out(node, zone);
                assert_eq!(self.site.live_nodes().filter(out).count(), 0);
            }
            ["durable"] => {
                assert!(self.site.live_nodes().all(|node| node.effective().pending.is_empty()));
            }
            ["answer", order, outcome] => assert_eq!(self.outcome(order), *outcome),
            ["one-won", orders @ ..] => {
                let won = orders.iter().filter(|order| self.outcome(order) == "committed");
                assert_eq!(won.count(), 1);
            }
            _ => panic!("unknown check: {expected:?}"),
        }
    }

    fn outcome(&self, order: &str) -> &'static str {
        match self.site.answer(number(order) as u64) {
            Some(Outcome::Committed { .. }) => "committed",
            Some(Outcome::NotDurable { .. }) => "not-durable",
            Some(Outcome::Conflict { .. }) => "conflict",
            Some(Outcome::Unavailable { .. }) => "unavailable",
            Some(Outcome::Unknown { .. }) => "unknown",
            None => "none",
        }
    }
}

fn is_out(node: &knapweedford::agree::node::Node, zone: &str) -> bool {
    node.effective().out().zones.contains(zone)
}

fn number(word: &str) -> usize {
    word.parse().unwrap()
}

fn replay(trace: &str) {
    let lines = trace.lines().enumerate().filter(|(_, line)| !line.starts_with('#'));
    let mut replay = Replay { site: Site::new(0), orders: 0 };
    for (at, line) in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        eprintln!("line {}: {line}", at + 1);
        match words.as_slice() {
            ["processes", count] => {
                replay.site = Site::new(number(count));
                replay.site.run(site::secs(SETTLE_S));
            }
            ["at", second, step @ ..] => {
                let until = site::secs(SETTLE_S + number(second) as u64);
                replay.site.run(until.saturating_sub(replay.site.now));
                replay.step(step);
            }
            _ => panic!("unknown line: {line}"),
        }
    }
}

/// Time in which the processes discover each other before a trace starts, in seconds.
const SETTLE_S: u64 = 15;

#[test]
fn store_outage() {
    replay(include_str!("traces/store-outage.trace"));
}

#[test]
fn operators_racing() {
    replay(include_str!("traces/operators-racing.trace"));
}

#[test]
fn rolling_restart() {
    replay(include_str!("traces/rolling-restart.trace"));
}

#[test]
fn rack_lost() {
    replay(include_str!("traces/rack-lost.trace"));
}

#[test]
fn regions_apart() {
    replay(include_str!("traces/regions-apart.trace"));
}
