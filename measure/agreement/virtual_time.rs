//! Real state machines over a small fake network and table, under virtual time.

use std::{fs, time::Duration};

use anyhow::Context;
use knapweedford::agree::{change::Order, record::Effective};

use super::{
    exchange,
    site::{Site, apply_order, ms, secs, zone_target},
};
use crate::capacity::slope::Slope;

/// Processes of each site.
const SIZES: [usize; 5] = [50, 100, 200, 400, 920];

/// Share of the processes that stand beside a backend server.
const SERVERS: f64 = 600.0 / 920.0;

/// Changes, and restarts, measured one after another.
const CHANGES: u64 = 6;
const RESTARTS: usize = 4;
const RACK: usize = 20;

/// Time given to each.
const CHANGE_TIME: Duration = Duration::from_secs(6);
const RESTART_TIME: Duration = Duration::from_secs(8);

/// Time until the site knows itself, and spans of the phases.
const START: Duration = Duration::from_secs(40);
const STEADY: Duration = Duration::from_secs(40);
const OUTAGE: Duration = Duration::from_secs(60);
const BACK: Duration = Duration::from_secs(60);

/// Window over which peaks of reads are taken.
const WINDOW: usize = 5;

/// Changes a day, and failures and restarts a day, at the target size.
const CHANGES_A_DAY: f64 = 1300.0;
const RESTARTS_A_DAY: f64 = 236.0;
const DAY: f64 = 86_400.0;

/// What one process spends, on average.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    bytes: f64,
    us: f64,
}

#[derive(Debug)]
struct Point {
    nodes: usize,
    spread: Times,
    out: Duration,
    out_down: Duration,
    steady: Spent,
    change: Spent,
    restart: Spent,
    rack: Spent,
    kib: f64,
    reads: Reads,
}

#[derive(Debug)]
struct Times {
    median: Duration,
    worst: Duration,
}

/// Reads of the store a second, over the whole site.
#[derive(Debug)]
struct Reads {
    steady: f64,
    outage: f64,
    back: f64,
}

/// Runs all sizes and prints their table and the lines through it.
pub fn run(sizes: &[&str]) -> anyhow::Result<()> {
    let sizes: Vec<usize> = match sizes {
        [] => SIZES.to_vec(),
        sizes => sizes.iter().map(|size| size.parse()).collect::<Result<_, _>>()?,
    };
    let overhead = exchange::overhead()?;
    println!("an exchange costs {overhead} bytes beyond its frames (TCP and IP estimated)");
    println!(
        "nodes spread-median-ms spread-worst-ms out-ms out-store-down-ms bytes/s us/s \
         change-bytes change-us restart-bytes restart-us rack-bytes/s rack-us/s KiB \
         reads/s outage back"
    );
    let mut points = Vec::new();
    for nodes in sizes {
        let point = Measured::new(nodes, overhead).point()?;
        print(&point);
        points.push(point);
    }
    report(&points);
    Ok(())
}

fn print(at: &Point) {
    println!(
        "{} {} {} {} {} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.1} {:.1} {:.1}",
        at.nodes,
        at.spread.median.as_millis(),
        at.spread.worst.as_millis(),
        at.out.as_millis(),
        at.out_down.as_millis(),
        at.steady.bytes,
        at.steady.us,
        at.change.bytes,
        at.change.us,
        at.restart.bytes,
        at.restart.us,
        at.rack.bytes,
        at.rack.us,
        at.kib,
        at.reads.steady,
        at.reads.outage,
        at.reads.back,
    );
}

fn report(points: &[Point]) {
    let line = |what: &str, y: &dyn Fn(&Point) -> f64| {
        let pairs: Vec<_> = points.iter().map(|at| (at.nodes as f64, y(at))).collect();
        if pairs.len() < 2 {
            return;
        }
        let line = Slope::fit(&pairs);
        println!("{what}: {:.1} + {:.4} a node (spread {:.1})", line.base, line.slope, line.spread);
    };
    line("bytes/s", &|at| at.steady.bytes);
    line("us/s", &|at| at.steady.us);
    line("KiB", &|at| at.kib);
    line("bytes a change", &|at| at.change.bytes);
    line("bytes a restart", &|at| at.restart.bytes);
    line("reads/s of the site", &|at| at.reads.steady);
    let Some(at) = points.last() else { return };
    let day = |steady, change, restart| {
        steady + change * CHANGES_A_DAY / DAY + restart * RESTARTS_A_DAY / DAY
    };
    println!(
        "an ordinary day at {} nodes: {:.0} bytes/s, {:.2}% of a core, {:.1} MiB a node; \
         {:.1} reads/s of the site, peak on return {:.2} times that",
        at.nodes,
        day(at.steady.bytes, at.change.bytes, at.restart.bytes),
        day(at.steady.us, at.change.us, at.restart.us) / 10_000.0,
        at.kib / 1024.0,
        at.reads.steady,
        at.reads.back / at.reads.steady,
    );
}

/// A site under measurement.
struct Measured {
    site: Site,
    overhead: u64,
    op: u64,
}

impl Measured {
    fn new(nodes: usize, overhead: u64) -> Self {
        let mut site = Site::new(nodes);
        site.count_cost = true;
        site.run(START);
        Self { site, overhead, op: 0 }
    }

    fn point(mut self) -> anyhow::Result<Point> {
        let nodes = self.site.processes.len();
        self.change(0)?;
        let (steady, reads) = self.steady();
        let kib = self.memory()?;
        eprintln!("{nodes}: {steady:?}, {reads:.1} reads/s, {kib:.0} KiB");
        let mut times = Vec::new();
        let change = self.spent(|this| {
            (1..=CHANGES).try_for_each(|i| this.change(i).map(|found| times.extend(found)))
        });
        let change = change.1.map(|()| change.0.beyond(steady, CHANGES as u32 * CHANGE_TIME))?;
        let change = change.over(CHANGES as f64);
        eprintln!("{nodes}: {change:?} a change, up to {:?}", times.iter().max());
        let out = self.out("z1")?;
        let restart = self.spent(Self::restarts).0;
        let restart = restart.beyond(steady, RESTARTS as u32 * RESTART_TIME).over(RESTARTS as f64);
        let (out_down, outage, back) = self.outage()?;
        eprintln!("{nodes}: out {out:?} {out_down:?}, reads/s {outage:.1} {back:.1}");
        let rack = self.spent(Self::rack).0.over(RESTART_TIME.as_secs_f64());
        times.sort();
        let worst = *times.last().context("no times")?;
        let spread = Times { median: times[times.len() / 2], worst };
        let reads = Reads { steady: reads, outage, back };
        Ok(Point { nodes, spread, out, out_down, steady, change, restart, rack, kib, reads })
    }

    /// Mean cost of a process while `run` runs.
    fn spent<T>(&mut self, run: impl FnOnce(&mut Self) -> T) -> (Spent, T) {
        let before = self.total();
        let res = run(self);
        let after = self.total();
        let spent = Spent { bytes: after.bytes - before.bytes, us: after.us - before.us };
        (spent.over(self.site.processes.len() as f64), res)
    }

    fn total(&self) -> Spent {
        let costs = self.site.processes.iter().map(|process| process.cost);
        costs.fold(Spent::default(), |sum, cost| Spent {
            bytes: sum.bytes + (cost.bytes + cost.exchanges * self.overhead) as f64,
            us: sum.us + cost.handler_time.as_secs_f64() * 1e6,
        })
    }

    fn steady(&mut self) -> (Spent, f64) {
        let before = self.site.platform.state().reads;
        let spent = self.spent(|this| this.site.run(STEADY)).0.over(STEADY.as_secs_f64());
        let reads = self.site.platform.state().reads - before;
        (spent, reads as f64 / STEADY.as_secs_f64())
    }

    /// Applies a text; times from accepted to in force, one a process.
    fn change(&mut self, number: u64) -> anyhow::Result<Vec<Duration>> {
        let at = (number as usize * 7) % self.site.processes.len();
        let op = self.order(at, apply_order(&text(self.site.processes.len(), number)));
        let version = number + 1;
        while self.site.answer(op).is_none() {
            self.site.run(ms(1));
        }
        let accepted = self.site.now;
        self.site.run(CHANGE_TIME);
        let has = |effective: &Effective| effective.committed.version >= version;
        self.reached(accepted, has)
    }

    /// Time from an order to take a zone out to the last process that has it.
    fn out(&mut self, name: &str) -> anyhow::Result<Duration> {
        let ordered = self.site.now;
        self.order(5, Order::Out(zone_target(name)));
        self.site.run(CHANGE_TIME);
        let times = self.reached(ordered, |effective| effective.out().zones.contains(name))?;
        times.into_iter().max().context("no process")
    }

    fn reached(
        &mut self,
        from: Duration,
        has: impl Fn(&Effective) -> bool,
    ) -> anyhow::Result<Vec<Duration>> {
        let mut times = Vec::new();
        for process in self.site.processes.iter_mut().filter(|process| process.node.is_some()) {
            let first = process.adopted.iter().find(|(_, effective)| has(effective));
            let (at, _) = first.context("a process was not reached in time")?;
            times.push(at.saturating_sub(from));
            process.adopted.clear();
        }
        Ok(times)
    }

    fn order(&mut self, at: usize, order: Order) -> u64 {
        self.op += 1;
        self.site.submit_order(at, self.op, order);
        self.op
    }

    fn restarts(&mut self) {
        for i in 10..10 + RESTARTS {
            self.site.kill(i);
            self.site.run(secs(2));
            self.site.start(i);
            self.site.run(RESTART_TIME - secs(2));
        }
    }

    fn rack(&mut self) {
        (20..20 + RACK).for_each(|i| self.site.kill(i));
        self.site.run(RESTART_TIME);
    }

    /// Takes the store down and back; time of a zone's order meanwhile, reads a
    /// second in the outage, and their peak on return.
    fn outage(&mut self) -> anyhow::Result<(Duration, f64, f64)> {
        self.site.platform.state().down = true;
        let out = self.out("z2")?;
        let before = self.site.platform.state().reads;
        self.site.run(OUTAGE);
        let outage = (self.site.platform.state().reads - before) as f64 / OUTAGE.as_secs_f64();
        self.site.platform.state().down = false;
        let reads: Vec<u64> = (0..BACK.as_secs())
            .map(|_| {
                let before = self.site.platform.state().reads;
                self.site.run(secs(1));
                self.site.platform.state().reads - before
            })
            .collect();
        let peak = reads.windows(WINDOW).map(|window| window.iter().sum::<u64>()).max();
        Ok((out, outage, peak.unwrap_or_default() as f64 / WINDOW as f64))
    }

    /// Resident memory of the state machine of one process, in KiB, from copies of all.
    fn memory(&self) -> anyhow::Result<f64> {
        let fill: Vec<_> = self.site.live_nodes().cloned().collect();
        let before = resident_kib()?;
        let copies: Vec<_> = self.site.live_nodes().cloned().collect();
        let after = resident_kib()?;
        let count = copies.len() as f64;
        drop((fill, copies));
        Ok(after.saturating_sub(before) as f64 / count)
    }
}

impl Spent {
    /// What was spent in `span` beyond `steady` spending.
    fn beyond(self, steady: Self, span: Duration) -> Self {
        let span = span.as_secs_f64();
        Self { bytes: self.bytes - steady.bytes * span, us: self.us - steady.us * span }
    }

    fn over(self, count: f64) -> Self {
        Self { bytes: self.bytes / count, us: self.us / count }
    }
}

fn resident_kib() -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// A text as large as a site of that size has; each number gives another.
fn text(nodes: usize, number: u64) -> String {
    let mut text = format!(
        "zones:\n  z0: {{}}\n  z1: {{}}\n  z2: {{}}\nservices:\n  ledger-app:\n    kind: plain\n    \
         calls:\n      - {{method: POST, path: /post, repeatable: false, deadline-ms: {}}}\n\
         servers:\n",
        5000 + number
    );
    for i in 0..(nodes as f64 * SERVERS) as usize {
        text.push_str(&format!("  s{i}: {{service: ledger-app, zone: z{}}}\n", i % 3));
    }
    text
}
