//! The agreement of a small site: deaths, pauses, cuts, store trouble, racing operators.

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
/// Time in which all must agree once every fault is over, in seconds.
const SETTLE_S: u64 = 120;

/// The mechanism that is off.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Off {
    Nothing,
    /// The table writes whatever the condition.
    Condition,
    /// No message reaches another process.
    Spread,
}

trait Switch: 'static {
    const OFF: Off;
}

macro_rules! switches {
    ($($name:ident)*) => {$(
        struct $name;
        impl Switch for $name {
            const OFF: Off = Off::$name;
        }
    )*};
}
switches! { Nothing Condition Spread }

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
    /// Puts a process on one side of a cut network.
    Side {
        at: usize,
        side: u8,
    },
    Loss {
        percent: u32,
    },
    /// Messages come twice, the second time late.
    Again {
        percent: u32,
    },
    Store {
        down: bool,
        lose_answer: u32,
        lose_write: u32,
    },
}

/// There is nothing to choose the steps by.
struct Any;

impl ReferenceStateMachine for Any {
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
            2 => (at(), 0..2u8).prop_map(|(at, side)| Step::Side { at, side }),
            1 => (0..60u32).prop_map(|percent| Step::Loss { percent }),
            1 => (0..60u32).prop_map(|percent| Step::Again { percent }),
            2 => (any::<bool>(), 0..70u32, 0..70u32).prop_map(|(down, lose_answer, lose_write)| {
                Step::Store { down, lose_answer, lose_write }
            }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// An order as the oracle notes it.
struct Noted {
    order: Order,
    at: usize,
    starts: u64,
}

/// The oracle. A version means one text and one set of outs, everywhere and for
/// ever; no process goes back while it lives; nothing is in force that is not
/// in the table; an accepted order is in the version that it was told; a zone
/// taken out stays out while the process that took the order lives, until
/// somebody orders it back.
#[derive(Default)]
struct Page {
    versions: BTreeMap<u64, config::Committed>,
    highest: BTreeMap<(usize, u64), u64>,
    orders: BTreeMap<OrderId, Noted>,
    ordered_in: BTreeSet<usize>,
}

impl Page {
    fn version(&mut self, committed: &config::Committed) {
        let known = self.versions.entry(committed.version).or_insert_with(|| committed.clone());
        assert_eq!(known, committed, "one version means two things");
    }

    fn in_force(&mut self, process: (usize, u64), committed: &config::Committed, row: u64) {
        assert!(committed.version <= row, "a version is in force that is not in the table");
        self.version(committed);
        let highest = self.highest.entry(process).or_default();
        assert!(committed.version >= *highest, "a process went back to an older version");
        *highest = committed.version;
    }

    fn accepted(&self, op: OrderId, version: u64) {
        let Some(committed) = self.versions.get(&version) else { return };
        let out = |target: &record::Target| match target {
            record::Target::Zone(zone) => committed.out.zones.contains(zone),
            record::Target::Server(server) => committed.out.servers.contains(server),
        };
        let holds = match &self.orders[&op].order {
            Order::Apply { text, .. } => committed.text == *text,
            Order::Out(target) => out(target),
            Order::In(target) => !out(target),
        };
        assert!(holds, "an accepted order is not in its version");
    }
}

struct World<S> {
    site: Site,
    page: Page,
    starts: [u64; PROCESSES],
    next: u64,
    switch: marker::PhantomData<S>,
}

impl<S: Switch> World<S> {
    fn new() -> Self {
        let site = Site::settled(PROCESSES);
        site.platform.state().ignore_conditions = S::OFF == Off::Condition;
        let starts = [0; PROCESSES];
        Self { site, page: Page::default(), starts, next: 100, switch: marker::PhantomData }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Run { ms } => self.site.run(site::ms(*ms)),
            Step::Apply { at } => {
                let text = format!("text {}", self.next);
                self.order(*at, site::apply_order(&text));
            }
            Step::Out { at, zone } => self.order(*at, Order::Out(site::zone_target(ZONES[*zone]))),
            Step::In { at, zone } => {
                self.page.ordered_in.insert(*zone);
                self.order(*at, Order::In(site::zone_target(ZONES[*zone])));
            }
            Step::Kill { at } => self.site.kill(*at),
            Step::Start { at } => self.start(*at),
            Step::Pause { at, secs } => self.site.pause(*at, site::secs(*secs)),
            Step::Side { at, side } => self.site.partition[*at] = *side,
            Step::Loss { percent } => self.site.message_loss = f64::from(*percent) / 100.0,
            Step::Again { percent } => self.site.duplication = f64::from(*percent) / 100.0,
            Step::Store { down, lose_answer, lose_write } => {
                let mut state = self.site.platform.state();
                state.down = *down;
                state.answer_loss = f64::from(*lose_answer) / 100.0;
                state.write_loss = f64::from(*lose_write) / 100.0;
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
        let noted = Noted { order: order.clone(), at, starts: self.starts[at] };
        self.page.orders.insert(OrderId(self.next), noted);
        self.site.submit_order(at, self.next, order);
        self.next += 1;
    }

    fn row(&self) -> Record {
        let state = self.site.platform.state();
        serde_json::from_str(&state.rows[record::KEY].value).unwrap()
    }

    fn check(&mut self) {
        let row = self.row();
        self.page.version(&row.committed());
        for (at, process) in self.site.processes.iter().enumerate() {
            for (_, adopted) in &process.adopted {
                self.page.version(&adopted.committed);
            }
            if let Some(node) = &process.node {
                let committed = node.effective().committed;
                self.page.in_force((at, self.starts[at]), &committed, row.version);
            }
        }
        for (op, outcome) in &self.site.answers {
            if let (Outcome::Committed { version }, true) =
                (outcome, self.page.orders.contains_key(op))
            {
                assert!(*version <= row.version, "an accepted version is not in the table");
                self.page.accepted(*op, *version);
            }
        }
    }

    /// Every fault ends; all must agree on the table's row.
    fn settle(&mut self) {
        let kept = self.kept();
        self.site.message_loss = if S::OFF == Off::Spread { 1.0 } else { 0.0 };
        self.site.partition = vec![0; PROCESSES];
        for at in 0..PROCESSES {
            self.site.pause(at, site::ms(0));
            if self.site.processes[at].node.is_none() {
                self.start(at);
            }
        }
        if S::OFF != Off::Spread {
            let mut state = self.site.platform.state();
            (state.down, state.answer_loss, state.write_loss) = (false, 0.0, 0.0);
        }
        self.site.run(site::secs(SETTLE_S));
        self.check();
        let row = self.row();
        for node in self.site.live_nodes() {
            assert_eq!(node.effective().committed, row.committed(), "not in force everywhere");
        }
        for zone in kept {
            assert!(row.out.zones.contains(&zone), "an order to take out was lost");
        }
    }

    /// Zones that were taken out at a process that still lives, and never ordered back.
    fn kept(&self) -> BTreeSet<name::Zone> {
        let taken = |noted: &&Noted| {
            let lives = self.site.processes[noted.at].node.is_some();
            lives && noted.starts == self.starts[noted.at]
        };
        let never_in =
            |zone: &name::Zone| !self.page.ordered_in.iter().any(|at| ZONES[*at] == zone.as_str());
        let accepted = |op: &OrderId| {
            matches!(
                self.site.answers.get(op),
                Some(Outcome::NotDurable { .. } | Outcome::Committed { .. })
            )
        };
        self.page
            .orders
            .iter()
            .filter(|(op, _)| accepted(op))
            .map(|(_, noted)| noted)
            .filter(taken)
            .filter_map(|noted| match &noted.order {
                Order::Out(record::Target::Zone(zone)) => Some(zone.clone()),
                _ => None,
            })
            .filter(never_in)
            .collect()
    }
}

struct Machine<S>(marker::PhantomData<S>);

impl<S: Switch> StateMachineTest for Machine<S> {
    type SystemUnderTest = World<S>;
    type Reference = Any;

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
fn condition_needed() {
    let failure = fuzz::expect_failure::<Machine<Condition>>(&PLAN);
    assert!(failure.contains("two things") || failure.contains("not in its version"), "{failure}");
}

#[test]
fn spread_needed() {
    let failure = fuzz::expect_failure::<Machine<Spread>>(&PLAN);
    assert!(failure.contains("in force everywhere") || failure.contains("lost"), "{failure}");
}
