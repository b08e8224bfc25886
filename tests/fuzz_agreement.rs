//! Fuzz test of the agreement at a small site.
//!
//! It guards against an order of events that breaks a property which the [`Oracle`] checks. Random
//! steps kill and pause processes, partition the network, lose and duplicate messages, make the
//! table fail, and submit competing orders. Two further tests disable a mechanism and expect the
//! oracle to notice.

use std::{
    collections::{BTreeMap, BTreeSet},
    marker,
};

use knapweedford::{
    agree::{
        change::{Order, Outcome},
        record::{self, OrderId, Record},
    },
    config, name,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::{
    fuzz,
    site::{self, Site},
};

const PLAN: fuzz::Plan = fuzz::Plan { test: "fuzz_agreement", cases: 250, max_steps: 60 };
const PROCESSES: usize = 6;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
/// Time within which all processes must agree after the last fault, in seconds.
const SETTLE_S: u64 = 120;

/// Mechanism that is disabled.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Disabled {
    Nothing,
    /// The table ignores the conditions of writes.
    Conditions,
    /// After the last fault, no message reaches another process and the table keeps its faults.
    Gossip,
}

trait Variant: 'static {
    const DISABLED: Disabled;
}

macro_rules! variants {
    ($($name:ident)*) => {$(
        struct $name;
        impl Variant for $name {
            const DISABLED: Disabled = Disabled::$name;
        }
    )*};
}
variants! { Nothing Conditions Gossip }

#[derive(Clone, Debug)]
enum Step {
    Run {
        ms: u64,
    },
    Apply {
        at: usize,
    },
    Out {
        at: usize,
        zone: usize,
    },
    In {
        at: usize,
        zone: usize,
    },
    Kill {
        at: usize,
    },
    Start {
        at: usize,
    },
    Pause {
        at: usize,
        secs: u64,
    },
    /// Moves a process to one side of a partitioned network.
    Partition {
        at: usize,
        side: u8,
    },
    Loss {
        percent: u32,
    },
    /// A part of the messages is delivered twice, the second time late.
    Duplicate {
        percent: u32,
    },
    Store {
        down: bool,
        answer_loss: u32,
        write_loss: u32,
    },
}

/// Reference without state: every step is possible at any time.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let at = || 0..PROCESSES;
        let zone = || 0..ZONES.len();
        prop_oneof![
            8 => (1..20_000u64).prop_map(|ms| Step::Run { ms }),
            4 => at().prop_map(|at| Step::Apply { at }),
            3 => (at(), zone()).prop_map(|(at, zone)| Step::Out { at, zone }),
            2 => (at(), zone()).prop_map(|(at, zone)| Step::In { at, zone }),
            2 => at().prop_map(|at| Step::Kill { at }),
            3 => at().prop_map(|at| Step::Start { at }),
            2 => (at(), 1..40u64).prop_map(|(at, secs)| Step::Pause { at, secs }),
            2 => (at(), 0..2u8).prop_map(|(at, side)| Step::Partition { at, side }),
            1 => (0..60u32).prop_map(|percent| Step::Loss { percent }),
            1 => (0..60u32).prop_map(|percent| Step::Duplicate { percent }),
            2 => (any::<bool>(), 0..70u32, 0..70u32).prop_map(|(down, answer_loss, write_loss)| {
                Step::Store { down, answer_loss, write_loss }
            }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Order as the oracle records it, with the process that received it and that process's start
/// count.
struct RecordedOrder {
    order: Order,
    at: usize,
    starts: u64,
}

/// Oracle that checks these properties:
///
/// - A version has one text and one set of zones and servers that are out, at every process and at
///   any time.
/// - A live process never returns to an older version.
/// - No version is in force that is not in the table.
/// - A committed order is contained in the version with which it was answered.
/// - A zone that was taken out stays out while the process that received the order lives, until an
///   operator orders it back.
#[derive(Default)]
struct Oracle {
    versions: BTreeMap<u64, config::Committed>,
    highest: BTreeMap<(usize, u64), u64>,
    orders: BTreeMap<OrderId, RecordedOrder>,
    ordered_in: BTreeSet<usize>,
}

impl Oracle {
    fn check_version(&mut self, committed: &config::Committed) {
        let known = self.versions.entry(committed.version).or_insert_with(|| committed.clone());
        assert_eq!(known, committed, "one version has two contents");
    }

    fn check_in_force(&mut self, process: (usize, u64), committed: &config::Committed, row: u64) {
        assert!(committed.version <= row, "a version is in force that is not in the table");
        self.check_version(committed);
        let highest = self.highest.entry(process).or_default();
        assert!(committed.version >= *highest, "a process returned to an older version");
        *highest = committed.version;
    }

    fn check_committed(&self, op: OrderId, version: u64) {
        let Some(committed) = self.versions.get(&version) else { return };
        let out = |target: &record::Target| match target {
            record::Target::Zone(zone) => committed.out.zones.contains(zone),
            record::Target::Server(server) => committed.out.servers.contains(server),
        };
        let is_contained = match &self.orders[&op].order {
            Order::Apply { text, .. } => committed.text == *text,
            Order::Out(target) => out(target),
            Order::In(target) => !out(target),
        };
        assert!(is_contained, "a committed order is missing in its version");
    }
}

struct World<S> {
    site: Site,
    oracle: Oracle,
    starts: [u64; PROCESSES],
    next_order: u64,
    variant: marker::PhantomData<S>,
}

impl<S: Variant> World<S> {
    fn new() -> Self {
        let site = Site::settled(PROCESSES);
        site.platform.state().ignore_conditions = S::DISABLED == Disabled::Conditions;
        let starts = [0; PROCESSES];
        Self {
            site,
            oracle: Oracle::default(),
            starts,
            next_order: 100,
            variant: marker::PhantomData,
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Run { ms } => self.site.run(site::ms(*ms)),
            Step::Apply { at } => {
                let text = format!("text {}", self.next_order);
                self.order(*at, site::apply_order(&text));
            }
            Step::Out { at, zone } => self.order(*at, Order::Out(site::zone_target(ZONES[*zone]))),
            Step::In { at, zone } => {
                self.oracle.ordered_in.insert(*zone);
                self.order(*at, Order::In(site::zone_target(ZONES[*zone])));
            }
            Step::Kill { at } => self.site.kill(*at),
            Step::Start { at } => self.start(*at),
            Step::Pause { at, secs } => self.site.pause(*at, site::secs(*secs)),
            Step::Partition { at, side } => self.site.partition[*at] = *side,
            Step::Loss { percent } => self.site.message_loss = f64::from(*percent) / 100.0,
            Step::Duplicate { percent } => self.site.duplication = f64::from(*percent) / 100.0,
            Step::Store { down, answer_loss, write_loss } => {
                let mut state = self.site.platform.state();
                state.down = *down;
                state.answer_loss = f64::from(*answer_loss) / 100.0;
                state.write_loss = f64::from(*write_loss) / 100.0;
            }
        }
    }

    fn start(&mut self, at: usize) {
        self.starts[at] += 1;
        self.site.start(at);
    }

    fn order(&mut self, at: usize, order: Order) {
        if self.site.processes[at].node.is_none() {
            return;
        }
        let recorded = RecordedOrder { order: order.clone(), at, starts: self.starts[at] };
        self.oracle.orders.insert(OrderId(self.next_order), recorded);
        self.site.submit_order(at, self.next_order, order);
        self.next_order += 1;
    }

    fn row(&self) -> Record {
        let state = self.site.platform.state();
        serde_json::from_str(&state.rows[record::KEY].value).unwrap()
    }

    fn check(&mut self) {
        let row = self.row();
        self.oracle.check_version(&row.committed());
        for (at, process) in self.site.processes.iter().enumerate() {
            for (_, adopted) in &process.adopted {
                self.oracle.check_version(&adopted.committed);
            }
            if let Some(node) = &process.node {
                let committed = node.effective().committed;
                self.oracle.check_in_force((at, self.starts[at]), &committed, row.version);
            }
        }
        for (op, outcome) in &self.site.answers {
            if let (Outcome::Committed { version }, true) =
                (outcome, self.oracle.orders.contains_key(op))
            {
                assert!(*version <= row.version, "a committed version is not in the table");
                self.oracle.check_committed(*op, *version);
            }
        }
    }

    /// Ends every fault, except with [`Disabled::Gossip`]; all processes must then agree on the
    /// table's row.
    fn settle(&mut self) {
        let kept_out = self.zones_kept_out();
        self.site.message_loss = if S::DISABLED == Disabled::Gossip { 1.0 } else { 0.0 };
        self.site.partition = vec![0; PROCESSES];
        for at in 0..PROCESSES {
            self.site.pause(at, site::ms(0));
            if self.site.processes[at].node.is_none() {
                self.start(at);
            }
        }
        if S::DISABLED != Disabled::Gossip {
            let mut state = self.site.platform.state();
            (state.down, state.answer_loss, state.write_loss) = (false, 0.0, 0.0);
        }
        self.site.run(site::secs(SETTLE_S));
        self.check();
        let row = self.row();
        for node in self.site.live_nodes() {
            assert_eq!(node.effective().committed, row.committed(), "not in force everywhere");
        }
        for zone in kept_out {
            assert!(row.out.zones.contains(&zone), "an order to take out was lost");
        }
    }

    /// Returns the zones that were taken out at a process that still lives, and were never ordered
    /// back.
    fn zones_kept_out(&self) -> BTreeSet<name::Zone> {
        let receiver_lives = |recorded: &&RecordedOrder| {
            let is_alive = self.site.processes[recorded.at].node.is_some();
            is_alive && recorded.starts == self.starts[recorded.at]
        };
        let never_in = |zone: &name::Zone| {
            !self.oracle.ordered_in.iter().any(|at| ZONES[*at] == zone.as_str())
        };
        let was_accepted = |op: &OrderId| {
            matches!(
                self.site.answers.get(op),
                Some(Outcome::NotDurable { .. } | Outcome::Committed { .. })
            )
        };
        self.oracle
            .orders
            .iter()
            .filter(|(op, _)| was_accepted(op))
            .map(|(_, recorded)| recorded)
            .filter(receiver_lives)
            .filter_map(|recorded| match &recorded.order {
                Order::Out(record::Target::Zone(zone)) => Some(zone.clone()),
                _ => None,
            })
            .filter(never_in)
            .collect()
    }
}

struct Machine<S>(marker::PhantomData<S>);

impl<S: Variant> StateMachineTest for Machine<S> {
    type SystemUnderTest = World<S>;
    type Reference = AnyStep;

    fn init_test((): &()) -> World<S> {
        World::new()
    }

    fn apply(mut world: World<S>, (): &(), step: Step) -> World<S> {
        world.step(&step);
        world.check();
        world
    }

    fn teardown(mut world: World<S>, (): ()) {
        world.settle();
    }
}

#[test]
fn never_reverts() {
    fuzz::assert_holds::<Machine<Nothing>>(&PLAN);
}

#[test]
fn conditions_required() {
    let failure = fuzz::expect_failure::<Machine<Conditions>>(&PLAN);
    assert!(
        failure.contains("two contents") || failure.contains("missing in its version"),
        "{failure}"
    );
}

#[test]
fn gossip_required() {
    let failure = fuzz::expect_failure::<Machine<Gossip>>(&PLAN);
    assert!(failure.contains("in force everywhere") || failure.contains("lost"), "{failure}");
}
