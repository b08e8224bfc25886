//! Measurement of real processes that communicate over loopback and use the stand-in of the
//! platform.

use std::{env, fs, path, process, thread, time};

use anyhow::Context;
use knapweedford::{agree::change::Outcome, agree::record::Target, cloud, daemon, name, operators};

use crate::path::{
    processes::{Child, Usage, program_path, start_stand_in},
    wait_for,
};

/// Numbers of processes that are measured by default.
const DEFAULT_SIZES: [usize; 3] = [10, 30, 60];

/// Changes of the configuration that are measured one after another.
const CONFIG_CHANGES: u64 = 10;
/// Orders to take a zone out that are measured one after another.
const ZONE_ORDERS: u64 = 5;

/// Time between a change or order and the reading of the logs.
const SPREAD_TIME: time::Duration = time::Duration::from_secs(4);

/// Span over which the cost without any change is measured.
const STEADY_TIME: time::Duration = time::Duration::from_secs(20);

const TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// One running `knapweedfordd`.
struct Process {
    child: Child,
    ports: daemon::Ports,
    log: path::PathBuf,
}

/// Running processes with their stand-in of the platform; stopped when dropped.
struct Cluster {
    dir: path::PathBuf,
    platform: String,
    _stand_in: Child,
    processes: Vec<Process>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Measures a cluster of each size and prints one row for each.
pub fn run(sizes: &[&str]) -> anyhow::Result<()> {
    let sizes: Vec<usize> = match sizes {
        [] => DEFAULT_SIZES.to_vec(),
        sizes => sizes.iter().map(|size| size.parse()).collect::<Result<_, _>>()?,
    };
    println!(
        "processes load-average config-median-ms config-max-ms out-median-ms out-max-ms core% MiB"
    );
    sizes.into_iter().try_for_each(measure_size)
}

/// Measures a cluster of `processes` and prints its row.
fn measure_size(processes: usize) -> anyhow::Result<()> {
    let cluster = Cluster::start(processes)?;
    cluster.change_config(0)?;
    let (core, memory) = cluster.steady_cost()?;
    let mut config_times = Vec::new();
    for number in 1..=CONFIG_CHANGES {
        config_times.extend(cluster.change_config(number)?);
    }
    let mut out_times = Vec::new();
    for number in 0..ZONE_ORDERS {
        out_times.push(cluster.take_zone_out(number)?);
    }
    config_times.sort();
    out_times.sort();
    let load = fs::read_to_string("/proc/loadavg")?;
    println!(
        "{processes} {} {} {} {} {} {core:.2} {memory:.1}",
        load.split(' ').next().unwrap_or_default(),
        config_times[config_times.len() / 2],
        config_times[config_times.len() - 1],
        out_times[out_times.len() / 2],
        out_times[out_times.len() - 1],
    );
    Ok(())
}

impl Cluster {
    fn start(processes: usize) -> anyhow::Result<Self> {
        let dir = env::temp_dir().join(format!("knapweedford-agree-{}", process::id()));
        fs::create_dir_all(&dir)?;
        let (stand_in, address) = start_stand_in("stand-in-platform", &[])?;
        let platform = format!("http://{address}");
        let mut cluster = Self { dir, platform, _stand_in: stand_in, processes: Vec::new() };
        for i in 0..processes {
            cluster.start_process(i)?;
        }
        wait_for("every process to know every other", || {
            let alive = |process: &Process| Some(process.client().status().ok()?.members.alive);
            cluster.processes.iter().all(|process| alive(process) == Some(processes)).then_some(())
        })?;
        Ok(cluster)
    }

    fn start_process(&mut self, i: usize) -> anyhow::Result<()> {
        let (host, zone) = (format!("h{i}"), format!("z{}", i % 3));
        let file = |kind: &str| self.dir.join(format!("{host}.{kind}"));
        let (settings, ports, log) = (file("yaml"), file("ports"), file("log"));
        let seeds: Vec<_> = self.processes.iter().take(2).map(|p| p.ports.peers).collect();
        let text = format!(
            "host: {host}\nzone: {zone}\nrole: sidecar\n\
             backend: {{server: s{i}, url: 'http://127.0.0.1:1'}}\n\
             operators: 127.0.0.1:0\npeers: 127.0.0.1:0\nplatform: {}\ntoken: {TOKEN}\n\
             ports-file: {}\nseeds: {}\n",
            self.platform,
            ports.display(),
            serde_json::to_string(&seeds)?,
        );
        fs::write(&settings, text)?;
        let child = process::Command::new(program_path("knapweedfordd")?)
            .arg(settings)
            .stderr(fs::File::create(&log)?)
            .spawn()
            .context("Could not start knapweedfordd; build it first.")?;
        let text = wait_for("the ports file of a process", || {
            fs::read_to_string(&ports).ok().filter(|text| !text.is_empty())
        })?;
        let ports: daemon::Ports = serde_json::from_str(&text)?;
        let listed = cloud::ListedHost {
            host: name::Host::new(&host),
            zone: name::Zone::new(&zone),
            peers: ports.peers,
            server: Some(name::Server::new(format!("s{i}"))),
            state: cloud::HostState::Live,
        };
        let url = format!("{}/hosts/{host}", self.platform);
        ureq::put(url).send(serde_json::to_string(&listed)?)?;
        self.processes.push(Process { child: Child(child), ports, log });
        Ok(())
    }

    /// Returns the mean processor time per process, in percent of a core, and memory, in MiB.
    fn steady_cost(&self) -> anyhow::Result<(f64, f64)> {
        let usages = || -> anyhow::Result<Vec<Usage>> {
            self.processes.iter().map(|process| Usage::read(process.child.0.id())).collect()
        };
        let before = usages()?;
        thread::sleep(STEADY_TIME);
        let after = usages()?;
        let busy: u64 =
            after.iter().zip(&before).map(|(after, before)| after.busy_us - before.busy_us).sum();
        let memory: u64 = after.iter().map(|usage| usage.memory_kib).sum();
        let count = self.processes.len() as f64;
        let core = busy as f64 / STEADY_TIME.as_micros() as f64 * 100.0;
        Ok((core / count, memory as f64 / 1024.0 / count))
    }

    /// Applies a configuration and returns, for each process, the milliseconds from its
    /// acceptance until it is in force.
    fn change_config(&self, number: u64) -> anyhow::Result<Vec<u64>> {
        let client = self.processes[number as usize * 7 % self.processes.len()].client();
        let outcome = client.apply(&config_text(self.processes.len(), number), None)?;
        let accepted_at = now_ms()?;
        let Outcome::Committed { version } = outcome else { anyhow::bail!("{outcome:?}") };
        thread::sleep(SPREAD_TIME);
        let is_in_force = |line: &InForceLine| line.version >= version;
        self.processes
            .iter()
            .map(|process| {
                let in_force_at = process
                    .first_in_force(is_in_force)
                    .context("a process did not put the configuration in force in time")?;
                Ok(in_force_at.saturating_sub(accepted_at))
            })
            .collect()
    }

    /// Takes a zone out, brings it back in, and returns the milliseconds from the first order
    /// until it was in force at the last process.
    fn take_zone_out(&self, number: u64) -> anyhow::Result<u64> {
        let client = self.processes[number as usize * 5 % self.processes.len()].client();
        let target = Target::Zone(name::Zone::new("z1"));
        let ordered_at = now_ms()?;
        client.set_state(operators::ServiceState::Out, &target)?;
        thread::sleep(SPREAD_TIME);
        let is_in_force = |line: &InForceLine| line.at_ms >= ordered_at;
        let times = self.processes.iter().map(|process| {
            let in_force_at = process
                .first_in_force(is_in_force)
                .context("a process did not put the order in force in time")?;
            Ok(in_force_at - ordered_at)
        });
        let times: Vec<u64> = times.collect::<anyhow::Result<_>>()?;
        client.set_state(operators::ServiceState::In, &target)?;
        thread::sleep(SPREAD_TIME);
        times.into_iter().max().context("the cluster has no process")
    }
}

/// Log line of a process that put a version in force.
struct InForceLine {
    /// Time since the Unix epoch.
    at_ms: u64,
    version: u64,
}

impl Process {
    fn client(&self) -> operators::Client {
        operators::Client::new(self.ports.operators, TOKEN)
    }

    /// Returns the time of the first log line that `matches`, in milliseconds since the Unix epoch.
    fn first_in_force(&self, matches: impl Fn(&InForceLine) -> bool) -> Option<u64> {
        let log = fs::read_to_string(&self.log).ok()?;
        log.lines().filter_map(parse_line).find(matches).map(|line| line.at_ms)
    }
}

fn parse_line(line: &str) -> Option<InForceLine> {
    let (_, version) = line.split_once("msg=\"configuration in force\" version=")?;
    let version = version.split(' ').next()?.parse().ok()?;
    let time = line.strip_prefix("time=")?.split(' ').next()?;
    let (secs, millis) = time.split_once('.')?;
    let at_ms = secs.parse::<u64>().ok()? * 1000 + millis.parse::<u64>().ok()?;
    Some(InForceLine { at_ms, version })
}

fn now_ms() -> anyhow::Result<u64> {
    Ok(time::SystemTime::now().duration_since(time::UNIX_EPOCH)?.as_millis() as u64)
}

/// Returns a configuration with `servers` backend servers; each `number` gives a different one.
fn config_text(servers: usize, number: u64) -> String {
    let mut text = format!(
        "zones:\n  z0: {{}}\n  z1: {{}}\n  z2: {{}}\nservices:\n  ledger-app:\n    kind: plain\n    \
         calls:\n      - {{method: POST, path: /post, repeatable: false, deadline-ms: {}}}\n\
         servers:\n",
        5000 + number
    );
    for i in 0..servers {
        text.push_str(&format!("  s{i}: {{service: ledger-app, zone: z{}}}\n", i % 3));
    }
    text
}
