//! Measurement of the state machines of the agreement over a simulated network and table, under
//! virtual time.

use std::{fs, time::Duration};

use anyhow::Context;
use knapweedford::agree::{change::Order, record::Effective};

use super::{
    exchange,
    site::{Site, apply_order, ms, secs, zone_target},
};
use crate::capacity::line::Line;

/// Numbers of processes that are measured by default.
const DEFAULT_SIZES: [usize; 5] = [50, 100, 200, 400, 920];

/// Share of the processes that serve a backend server as its sidecar.
const SERVER_SHARE: f64 = 600.0 / 920.0;

/// Changes of the configuration that are measured one after another.
const CONFIG_CHANGES: u64 = 6;
/// Restarts that are measured one after another.
const RESTARTS: usize = 4;
/// Processes of a rack, which fail at the same time.
const RACK_SIZE: usize = 20;

/// Time over which each change of the configuration is measured.
const CHANGE_TIME: Duration = Duration::from_secs(6);
/// Time over which each restart, or the failure of the rack, is measured.
const RESTART_TIME: Duration = Duration::from_secs(8);

/// Time until every process knows every other.
const START_TIME: Duration = Duration::from_secs(40);
/// Time over which the cost without any change is measured.
const STEADY_TIME: Duration = Duration::from_secs(40);
/// Time over which reads are counted while the store is down.
const OUTAGE_TIME: Duration = Duration::from_secs(60);
/// Time over which reads are counted after the store is back.
const RECOVERY_TIME: Duration = Duration::from_secs(60);

/// Seconds over which the peak rate of reads is averaged.
const PEAK_WINDOW_SECS: usize = 5;

/// Changes of the configuration per day at the target size.
const CHANGES_PER_DAY: f64 = 1300.0;
/// Failures and restarts of processes per day at the target size.
const RESTARTS_PER_DAY: f64 = 236.0;
const SECS_PER_DAY: f64 = 86_400.0;

/// Mean cost of one process: bytes on the network and wall-clock time in the state machine.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    bytes: f64,
    handler_us: f64,
}

/// Results for one number of processes.
#[derive(Debug)]
struct Point {
    processes: usize,
    /// Times from the acceptance of a configuration until it is in force.
    config_times: Times,
    /// Time until an order to take a zone out is in force everywhere.
    out_time: Duration,
    /// Time until such an order is in force everywhere while the store is down.
    out_time_in_outage: Duration,
    /// Cost per second without any change.
    steady: Cost,
    /// Cost of one change of the configuration beyond the steady cost.
    change: Cost,
    /// Cost of one restart of a process beyond the steady cost.
    restart: Cost,
    /// Cost per second while a rack fails.
    rack: Cost,
    /// Memory of the state machine of one process.
    memory_kib: f64,
    reads: Reads,
}

#[derive(Debug)]
struct Times {
    median: Duration,
    max: Duration,
}

/// Reads of the store per second by the whole site.
#[derive(Debug)]
struct Reads {
    steady: f64,
    outage: f64,
    /// Peak after the store is back.
    recovery: f64,
}

/// Measures all sizes, prints their table and fits lines through it.
pub fn run(sizes: &[&str]) -> anyhow::Result<()> {
    let sizes: Vec<usize> = match sizes {
        [] => DEFAULT_SIZES.to_vec(),
        sizes => sizes.iter().map(|size| size.parse()).collect::<Result<_, _>>()?,
    };
    let overhead_bytes = exchange::overhead_bytes()?;
    println!(
        "overhead of an exchange beyond its frames: {overhead_bytes} bytes (TCP and IP estimated)"
    );
    println!(
        "processes config-median-ms config-max-ms out-ms out-ms-in-outage bytes/s handler-us/s \
         change-bytes change-handler-us restart-bytes restart-handler-us rack-bytes/s \
         rack-handler-us/s KiB reads/s outage-reads/s recovery-peak-reads/s"
    );
    let mut points = Vec::new();
    for processes in sizes {
        let point = Measurement::new(processes, overhead_bytes).run()?;
        print(&point);
        points.push(point);
    }
    report(&points);
    Ok(())
}

fn print(point: &Point) {
    println!(
        "{} {} {} {} {} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.1} {:.1} {:.1}",
        point.processes,
        point.config_times.median.as_millis(),
        point.config_times.max.as_millis(),
        point.out_time.as_millis(),
        point.out_time_in_outage.as_millis(),
        point.steady.bytes,
        point.steady.handler_us,
        point.change.bytes,
        point.change.handler_us,
        point.restart.bytes,
        point.restart.handler_us,
        point.rack.bytes,
        point.rack.handler_us,
        point.memory_kib,
        point.reads.steady,
        point.reads.outage,
        point.reads.recovery,
    );
}

/// Prints the line through the points of each figure, and the cost of a day at the last size.
fn report(points: &[Point]) {
    let print_line = |what: &str, y: &dyn Fn(&Point) -> f64| {
        let pairs: Vec<_> = points.iter().map(|point| (point.processes as f64, y(point))).collect();
        if pairs.len() < 2 {
            return;
        }
        let line = Line::fit(&pairs);
        println!(
            "{what}: {:.1} + {:.4} per process (largest deviation {:.1})",
            line.base, line.slope, line.max_deviation
        );
    };
    print_line("bytes/s", &|point| point.steady.bytes);
    print_line("handler-us/s", &|point| point.steady.handler_us);
    print_line("KiB", &|point| point.memory_kib);
    print_line("bytes per change", &|point| point.change.bytes);
    print_line("bytes per restart", &|point| point.restart.bytes);
    print_line("reads/s of the site", &|point| point.reads.steady);
    let Some(point) = points.last() else { return };
    let mean_of_day = |steady, change, restart| {
        steady + change * CHANGES_PER_DAY / SECS_PER_DAY + restart * RESTARTS_PER_DAY / SECS_PER_DAY
    };
    println!(
        "an ordinary day with {} processes: {:.0} bytes/s, {:.2}% of a core, {:.1} MiB per \
         process; {:.1} reads/s of the site, {:.2} times that at the peak after an outage",
        point.processes,
        mean_of_day(point.steady.bytes, point.change.bytes, point.restart.bytes),
        mean_of_day(point.steady.handler_us, point.change.handler_us, point.restart.handler_us)
            / 10_000.0,
        point.memory_kib / 1024.0,
        point.reads.steady,
        point.reads.recovery / point.reads.steady,
    );
}

/// Measurement of one simulated site.
struct Measurement {
    site: Site,
    /// Bytes of an exchange beyond its frames.
    overhead_bytes: u64,
    /// Number of the last order.
    last_order: u64,
}

impl Measurement {
    fn new(processes: usize, overhead_bytes: u64) -> Self {
        let mut site = Site::new(processes);
        site.count_cost = true;
        site.run(START_TIME);
        Self { site, overhead_bytes, last_order: 0 }
    }

    /// Runs all phases in order.
    fn run(mut self) -> anyhow::Result<Point> {
        let processes = self.site.processes.len();
        self.change_config(0)?;
        let (steady, reads) = self.measure_steady();
        let memory_kib = self.memory_per_process()?;
        eprintln!("{processes} processes: {steady:?}, {reads:.1} reads/s, {memory_kib:.0} KiB");
        let mut times = Vec::new();
        let change = self.measure_cost(|this| {
            (1..=CONFIG_CHANGES)
                .try_for_each(|i| this.change_config(i).map(|found| times.extend(found)))
        });
        let change =
            change.1.map(|()| change.0.beyond(steady, CONFIG_CHANGES as u32 * CHANGE_TIME))?;
        let change = change.divided_by(CONFIG_CHANGES as f64);
        eprintln!(
            "{processes} processes: {change:?} per change, in force within {:?}",
            times.iter().max()
        );
        let out_time = self.take_zone_out("z1")?;
        let restart = self.measure_cost(Self::restart_processes).0;
        let restart =
            restart.beyond(steady, RESTARTS as u32 * RESTART_TIME).divided_by(RESTARTS as f64);
        let (out_time_in_outage, outage, recovery) = self.measure_outage()?;
        eprintln!(
            "{processes} processes: zone out after {out_time:?}, in an outage after \
             {out_time_in_outage:?}; reads/s {outage:.1} in the outage, {recovery:.1} after it"
        );
        let rack = self.measure_cost(Self::kill_rack).0.divided_by(RESTART_TIME.as_secs_f64());
        times.sort();
        let max = *times.last().context("no change was measured")?;
        let config_times = Times { median: times[times.len() / 2], max };
        let reads = Reads { steady: reads, outage, recovery };
        Ok(Point {
            processes,
            config_times,
            out_time,
            out_time_in_outage,
            steady,
            change,
            restart,
            rack,
            memory_kib,
            reads,
        })
    }

    /// Returns the mean cost of a process while `run` runs, and the result of `run`.
    fn measure_cost<T>(&mut self, run: impl FnOnce(&mut Self) -> T) -> (Cost, T) {
        let before = self.total_cost();
        let res = run(self);
        let after = self.total_cost();
        let cost = Cost {
            bytes: after.bytes - before.bytes,
            handler_us: after.handler_us - before.handler_us,
        };
        (cost.divided_by(self.site.processes.len() as f64), res)
    }

    /// Returns the cost of all processes since the start.
    fn total_cost(&self) -> Cost {
        let costs = self.site.processes.iter().map(|process| process.cost);
        costs.fold(Cost::default(), |sum, cost| Cost {
            bytes: sum.bytes + (cost.bytes + cost.exchanges * self.overhead_bytes) as f64,
            handler_us: sum.handler_us + cost.handler_time.as_secs_f64() * 1e6,
        })
    }

    /// Returns the cost per second of a process and the reads per second of the site without any
    /// change.
    fn measure_steady(&mut self) -> (Cost, f64) {
        let before = self.site.platform.state().reads;
        let cost = self
            .measure_cost(|this| this.site.run(STEADY_TIME))
            .0
            .divided_by(STEADY_TIME.as_secs_f64());
        let reads = self.site.platform.state().reads - before;
        (cost, reads as f64 / STEADY_TIME.as_secs_f64())
    }

    /// Applies a configuration and returns, for each process, the time from its acceptance until
    /// it is in force.
    fn change_config(&mut self, number: u64) -> anyhow::Result<Vec<Duration>> {
        let process = (number as usize * 7) % self.site.processes.len();
        let order_number =
            self.submit(process, apply_order(&config_text(self.site.processes.len(), number)));
        let version = number + 1;
        while self.site.answer(order_number).is_none() {
            self.site.run(ms(1));
        }
        let accepted_at = self.site.now;
        self.site.run(CHANGE_TIME);
        let is_in_force = |effective: &Effective| effective.committed.version >= version;
        self.times_until_in_force(accepted_at, is_in_force)
    }

    /// Takes a zone out and returns the time until the order is in force at the last process.
    fn take_zone_out(&mut self, name: &str) -> anyhow::Result<Duration> {
        let ordered_at = self.site.now;
        self.submit(5, Order::Out(zone_target(name)));
        self.site.run(CHANGE_TIME);
        let times = self
            .times_until_in_force(ordered_at, |effective| effective.out().zones.contains(name))?;
        times.into_iter().max().context("the site has no process")
    }

    /// Returns, for each live process, the time from `from` until the first configuration that
    /// `is_in_force` accepts.
    ///
    /// Fails if a process has not adopted such a configuration.
    fn times_until_in_force(
        &mut self,
        from: Duration,
        is_in_force: impl Fn(&Effective) -> bool,
    ) -> anyhow::Result<Vec<Duration>> {
        let mut times = Vec::new();
        for process in self.site.processes.iter_mut().filter(|process| process.node.is_some()) {
            let first = process.adopted.iter().find(|(_, effective)| is_in_force(effective));
            let (at, _) = first.context("a process did not put the change in force in time")?;
            times.push(at.saturating_sub(from));
            process.adopted.clear();
        }
        Ok(times)
    }

    /// Submits an order to a process and returns the number of the order.
    fn submit(&mut self, process: usize, order: Order) -> u64 {
        self.last_order += 1;
        self.site.submit_order(process, self.last_order, order);
        self.last_order
    }

    fn restart_processes(&mut self) {
        for i in 10..10 + RESTARTS {
            self.site.kill(i);
            self.site.run(secs(2));
            self.site.start(i);
            self.site.run(RESTART_TIME - secs(2));
        }
    }

    fn kill_rack(&mut self) {
        (20..20 + RACK_SIZE).for_each(|i| self.site.kill(i));
        self.site.run(RESTART_TIME);
    }

    /// Takes the store down and brings it back. Returns the time until an order for a zone is in
    /// force during the outage, the reads per second in the outage, and their peak afterwards.
    fn measure_outage(&mut self) -> anyhow::Result<(Duration, f64, f64)> {
        self.site.platform.state().down = true;
        let out_time = self.take_zone_out("z2")?;
        let before = self.site.platform.state().reads;
        self.site.run(OUTAGE_TIME);
        let outage = (self.site.platform.state().reads - before) as f64 / OUTAGE_TIME.as_secs_f64();
        self.site.platform.state().down = false;
        let reads: Vec<u64> = (0..RECOVERY_TIME.as_secs())
            .map(|_| {
                let before = self.site.platform.state().reads;
                self.site.run(secs(1));
                self.site.platform.state().reads - before
            })
            .collect();
        let peak = reads.windows(PEAK_WINDOW_SECS).map(|window| window.iter().sum::<u64>()).max();
        Ok((out_time, outage, peak.unwrap_or_default() as f64 / PEAK_WINDOW_SECS as f64))
    }

    /// Returns the resident memory of the state machine of one process, in KiB.
    ///
    /// The memory is the growth of this program by a copy of the state of every process. An
    /// earlier copy fills the free memory of the allocator.
    fn memory_per_process(&self) -> anyhow::Result<f64> {
        let filler: Vec<_> = self.site.live_nodes().cloned().collect();
        let before = resident_kib()?;
        let copies: Vec<_> = self.site.live_nodes().cloned().collect();
        let after = resident_kib()?;
        let count = copies.len() as f64;
        drop((filler, copies));
        Ok(after.saturating_sub(before) as f64 / count)
    }
}

impl Cost {
    /// Subtracts the `steady` cost per second over `span`.
    fn beyond(self, steady: Self, span: Duration) -> Self {
        let span = span.as_secs_f64();
        Self {
            bytes: self.bytes - steady.bytes * span,
            handler_us: self.handler_us - steady.handler_us * span,
        }
    }

    fn divided_by(self, count: f64) -> Self {
        Self { bytes: self.bytes / count, handler_us: self.handler_us / count }
    }
}

fn resident_kib() -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("/proc/self/status has no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Returns a configuration of the size that a site of `processes` has; each `number` gives a
/// different one.
fn config_text(processes: usize, number: u64) -> String {
    let mut text = format!(
        "zones:\n  z0: {{}}\n  z1: {{}}\n  z2: {{}}\nservices:\n  ledger-app:\n    kind: plain\n    \
         calls:\n      - {{method: POST, path: /post, repeatable: false, deadline-ms: {}}}\n\
         servers:\n",
        5000 + number
    );
    for i in 0..(processes as f64 * SERVER_SHARE) as usize {
        text.push_str(&format!("  s{i}: {{service: ledger-app, zone: z{}}}\n", i % 3));
    }
    text
}
