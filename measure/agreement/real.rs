//! Real processes over loopback, with the platform's stand-in.

use std::{env, fs, path, process, thread, time};

use anyhow::Context;
use knapweedford::{agree::change::Outcome, agree::record::Target, cloud, daemon, name, operators};

use crate::path::{
    bench::{Child, Usage, program, stand_in},
    until,
};

/// Processes of each cluster unless given.
const SIZES: [usize; 3] = [10, 30, 60];

/// Changes measured one after another, and orders to take a zone out.
const CHANGES: u64 = 10;
const ORDERS: u64 = 5;

/// Time given to each, before the logs are read.
const SPREAD: time::Duration = time::Duration::from_secs(4);

/// Span over which steady cost is taken.
const STEADY: time::Duration = time::Duration::from_secs(20);

const TOKEN: &str = "0123456789abcdef0123456789abcdef";

struct Process {
    child: Child,
    ports: daemon::Ports,
    log: path::PathBuf,
}

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

/// Runs clusters of the given sizes and prints one row each.
pub fn run(sizes: &[&str]) -> anyhow::Result<()> {
    let sizes: Vec<usize> = match sizes {
        [] => SIZES.to_vec(),
        sizes => sizes.iter().map(|size| size.parse()).collect::<Result<_, _>>()?,
    };
    println!("nodes load spread-median-ms spread-worst-ms out-median-ms out-worst-ms core% MiB");
    sizes.into_iter().try_for_each(point)
}

fn point(nodes: usize) -> anyhow::Result<()> {
    let cluster = Cluster::start(nodes)?;
    cluster.change(0)?;
    let (core, memory) = cluster.steady()?;
    let mut spread = Vec::new();
    for number in 1..=CHANGES {
        spread.extend(cluster.change(number)?);
    }
    let mut out = Vec::new();
    for number in 0..ORDERS {
        out.push(cluster.out(number)?);
    }
    spread.sort();
    out.sort();
    let load = fs::read_to_string("/proc/loadavg")?;
    println!(
        "{nodes} {} {} {} {} {} {core:.2} {memory:.1}",
        load.split(' ').next().unwrap_or_default(),
        spread[spread.len() / 2],
        spread[spread.len() - 1],
        out[out.len() / 2],
        out[out.len() - 1],
    );
    Ok(())
}

impl Cluster {
    fn start(nodes: usize) -> anyhow::Result<Self> {
        let dir = env::temp_dir().join(format!("knapweedford-agree-{}", process::id()));
        fs::create_dir_all(&dir)?;
        let (stand_in, address) = stand_in("stand-in-platform", &[])?;
        let platform = format!("http://{address}");
        let mut cluster = Self { dir, platform, _stand_in: stand_in, processes: Vec::new() };
        for i in 0..nodes {
            cluster.add(i)?;
        }
        until("all to know each other", || {
            let known = |process: &Process| Some(process.client().status().ok()?.members.alive);
            cluster.processes.iter().all(|process| known(process) == Some(nodes)).then_some(())
        })?;
        Ok(cluster)
    }

    fn add(&mut self, i: usize) -> anyhow::Result<()> {
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
        let child = process::Command::new(program("knapweedfordd")?)
            .arg(settings)
            .stderr(fs::File::create(&log)?)
            .spawn()
            .context("Could not start knapweedfordd; build it first.")?;
        let text = until("a ports file", || {
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

    /// Processor time of a process, as a share of a core, and its memory, in MiB.
    fn steady(&self) -> anyhow::Result<(f64, f64)> {
        let usages = || -> anyhow::Result<Vec<Usage>> {
            self.processes.iter().map(|process| Usage::of(process.child.0.id())).collect()
        };
        let before = usages()?;
        thread::sleep(STEADY);
        let after = usages()?;
        let busy: u64 =
            after.iter().zip(&before).map(|(now, then)| now.busy_us - then.busy_us).sum();
        let memory: u64 = after.iter().map(|usage| usage.memory_kib).sum();
        let count = self.processes.len() as f64;
        let core = busy as f64 / STEADY.as_micros() as f64 * 100.0;
        Ok((core / count, memory as f64 / 1024.0 / count))
    }

    /// Applies a text; milliseconds from accepted to in force, one a process.
    fn change(&self, number: u64) -> anyhow::Result<Vec<u64>> {
        let client = self.processes[number as usize * 7 % self.processes.len()].client();
        let outcome = client.apply(&text(self.processes.len(), number), None)?;
        let accepted = now_ms()?;
        let Outcome::Committed { version } = outcome else { anyhow::bail!("{outcome:?}") };
        thread::sleep(SPREAD);
        let has = |line: &Line| line.version >= version;
        self.processes
            .iter()
            .map(|process| {
                let first = process.first(has).context("a process was not reached in time")?;
                Ok(first.saturating_sub(accepted))
            })
            .collect()
    }

    /// Takes a zone out and brings it back; milliseconds from the order to the last process.
    fn out(&self, number: u64) -> anyhow::Result<u64> {
        let client = self.processes[number as usize * 5 % self.processes.len()].client();
        let target = Target::Zone(name::Zone::new("z1"));
        let ordered = now_ms()?;
        client.set_state(operators::ServiceState::Out, &target)?;
        thread::sleep(SPREAD);
        let has = |line: &Line| line.at >= ordered;
        let times = self.processes.iter().map(|process| {
            let first = process.first(has).context("a process was not reached in time")?;
            Ok(first - ordered)
        });
        let times: Vec<u64> = times.collect::<anyhow::Result<_>>()?;
        client.set_state(operators::ServiceState::In, &target)?;
        thread::sleep(SPREAD);
        times.into_iter().max().context("no process")
    }
}

/// A log line that tells what came into force.
struct Line {
    at: u64,
    version: u64,
}

impl Process {
    fn client(&self) -> operators::Client {
        operators::Client::new(self.ports.operators, TOKEN)
    }

    fn first(&self, has: impl Fn(&Line) -> bool) -> Option<u64> {
        let log = fs::read_to_string(&self.log).ok()?;
        log.lines().filter_map(line).find(has).map(|line| line.at)
    }
}

fn line(line: &str) -> Option<Line> {
    let (_, version) = line.split_once("msg=\"in force\" version=")?;
    let version = version.split(' ').next()?.parse().ok()?;
    let time = line.strip_prefix("time=")?.split(' ').next()?;
    let (secs, millis) = time.split_once('.')?;
    let at = secs.parse::<u64>().ok()? * 1000 + millis.parse::<u64>().ok()?;
    Some(Line { at, version })
}

fn now_ms() -> anyhow::Result<u64> {
    Ok(time::SystemTime::now().duration_since(time::UNIX_EPOCH)?.as_millis() as u64)
}

fn text(nodes: usize, number: u64) -> String {
    let mut text = format!(
        "zones:\n  z0: {{}}\n  z1: {{}}\n  z2: {{}}\nservices:\n  ledger-app:\n    kind: plain\n    \
         calls:\n      - {{method: POST, path: /post, repeatable: false, deadline-ms: {}}}\n\
         servers:\n",
        5000 + number
    );
    for i in 0..nodes {
        text.push_str(&format!("  s{i}: {{service: ledger-app, zone: z{}}}\n", i % 3));
    }
    text
}
