//! The processes under measurement: stand-ins, one entry, a sidecar beside each engine.

use std::{env, fs, io, io::BufRead, path, process, thread};

use anyhow::Context;
use knapweedford::{agree::record, cloud, daemon, name};

use super::{stream, until};

/// Model engines, each behind a sidecar.
pub const ENGINES: usize = 4;
/// Time between two tokens of an engine, in milliseconds.
const TOKEN_MS: &str = "20";
/// Streams per engine that warm it up.
const WARM_STREAMS: usize = 25;
/// Answers each of them reads.
const WARM_ROUNDS: usize = 20;

/// Place of the entry among the processes; each engine and its sidecar follow.
const ENTRY: usize = 1;

/// Place of the user time, which the system time follows, among the fields of
/// a process's `stat` behind its name.
const USER_TIME: usize = 11;
/// Length of a clock tick of `stat`, in microseconds.
const TICK_US: u64 = 10_000;
/// Token of the operators' ports.
const TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// A process that ends with its owner.
pub struct Child(pub process::Child);

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// All processes and where they listen.
pub struct Bench {
    dir: path::PathBuf,
    children: Vec<Child>,
    engines: Vec<String>,
    entry: daemon::Ports,
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.children.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Bench {
    /// Starts everything and waits until the entry is ready.
    pub fn start() -> anyhow::Result<Self> {
        Self::start_with("")
    }

    /// Starts everything with `more` at the end of the operators' text.
    pub fn start_with(more: &str) -> anyhow::Result<Self> {
        let dir = env::temp_dir().join(format!("knapweedford-path-{}", process::id()));
        fs::create_dir_all(&dir)?;
        let ports = daemon::Ports {
            callers: None,
            operators: ([127, 0, 0, 1], 0).into(),
            peers: ([127, 0, 0, 1], 0).into(),
        };
        let mut bench = Self { dir, children: Vec::new(), engines: Vec::new(), entry: ports };
        let platform = format!("http://{}", bench.stand_in("stand-in-platform", &[])?);
        bench.commit(&platform, more)?;
        bench.entry = bench.daemon("entry-1", "entry", &platform, "callers: 127.0.0.1:0")?;
        for number in 0..ENGINES {
            bench.server(number, &platform)?;
        }
        let ready = format!("http://{}/readyz", bench.callers());
        until("the entry", || ureq::get(&ready).call().ok())?;
        Ok(bench)
    }

    /// The engine that stream `stream` calls directly.
    pub fn engine(&self, stream: usize) -> String {
        format!("http://{}/v1/completions", self.engines[stream % ENGINES])
    }

    /// The same call through the path.
    pub fn path(&self) -> String {
        format!("http://{}/writer/v1/completions", self.callers())
    }

    /// Loads the engines until their gates have opened.
    pub fn warm(&self) -> anyhow::Result<()> {
        thread::scope(|scope| {
            for number in 0..ENGINES * WARM_STREAMS {
                scope.spawn(move || {
                    let agent = stream::agent();
                    (0..WARM_ROUNDS).try_for_each(|round| {
                        let body = stream::body(number, round, 4);
                        stream::read_admitted(&agent, &self.path(), &body).map(drop)
                    })
                });
            }
        });
        Ok(())
    }

    /// What the entry has used so far.
    pub fn entry_usage(&self) -> anyhow::Result<Usage> {
        Usage::of(self.children[ENTRY].0.id())
    }

    /// What the sidecar of each engine has used so far.
    pub fn sidecar_usages(&self) -> anyhow::Result<Vec<Usage>> {
        (0..ENGINES)
            .map(|number| Usage::of(self.children[ENTRY + 2 * (number + 1)].0.id()))
            .collect()
    }

    /// Puts the text with `more` at its end in force everywhere.
    pub fn apply(&self, more: &str) -> anyhow::Result<()> {
        let text = text(more);
        let url = format!("http://{}", self.entry.operators);
        let bearer = format!("Bearer {TOKEN}");
        ureq::post(format!("{url}/apply")).header("authorization", &bearer).send(text)?;
        until("the text in force", || {
            let asked = ureq::get(format!("{url}/status")).header("authorization", &bearer).call();
            let status: serde_json::Value = asked.ok()?.body_mut().read_json().ok()?;
            status["behind"].as_array().is_some_and(Vec::is_empty).then_some(())
        })
    }

    fn callers(&self) -> std::net::SocketAddr {
        self.entry.callers.unwrap_or(self.entry.operators)
    }

    fn commit(&self, platform: &str, more: &str) -> anyhow::Result<()> {
        let text = text(more);
        let row = record::Record { version: 1, text_version: 1, text, ..Default::default() };
        let url = format!("{platform}/table/{}", record::KEY);
        ureq::put(url).header("if-none-match", "*").send(serde_json::to_string(&row)?)?;
        Ok(())
    }

    fn server(&mut self, number: usize, platform: &str) -> anyhow::Result<()> {
        let engine = self.stand_in("stand-in-engine", &["--token-ms", TOKEN_MS])?;
        let backend = format!("backend: {{server: writer-{number}, url: 'http://{engine}'}}");
        let host = format!("side-{number}");
        let ports = self.daemon(&host, "sidecar", platform, &backend)?;
        let listed = cloud::ListedHost {
            host: name::Host::new(&host),
            zone: "z1".into(),
            peers: ports.peers,
            server: Some(name::Server::new(format!("writer-{number}"))),
            state: cloud::HostState::Live,
        };
        let url = format!("{platform}/hosts/{host}");
        ureq::put(url).send(serde_json::to_string(&listed)?)?;
        self.engines.push(engine);
        Ok(())
    }

    fn daemon(
        &mut self,
        host: &str,
        role: &str,
        platform: &str,
        more: &str,
    ) -> anyhow::Result<daemon::Ports> {
        let ports = self.dir.join(format!("{host}.json"));
        let settings = self.dir.join(format!("{host}.yaml"));
        let text = format!(
            "host: {host}\nzone: z1\nrole: {role}\noperators: 127.0.0.1:0\npeers: 127.0.0.1:0\n\
             platform: {platform}\ntoken: {TOKEN}\n\
             ports-file: {}\n{more}\n",
            ports.display()
        );
        fs::write(&settings, text)?;
        let child = process::Command::new(program("knapweedfordd")?)
            .arg(settings)
            .env("RUST_LOG", "warn")
            .spawn()
            .context("Could not start knapweedfordd; build it first.")?;
        self.children.push(Child(child));
        let text = until("a port file", || fs::read_to_string(&ports).ok())?;
        Ok(serde_json::from_str(&text)?)
    }

    fn stand_in(&mut self, name: &str, args: &[&str]) -> anyhow::Result<String> {
        let (child, address) = stand_in(name, args)?;
        self.children.push(child);
        Ok(address)
    }
}

fn text(more: &str) -> String {
    let mut text = String::from(
        "zones:\n  z1: {}\nservices:\n  writer:\n    kind: plain\n    calls:\n      \
         - {method: POST, path: /v1/completions, repeatable: true, deadline-ms: 60000}\n    \
         limits: {in-flight-per-server: 64}\nservers:\n",
    );
    for number in 0..ENGINES {
        text.push_str(&format!("  writer-{number}: {{service: writer, zone: z1}}\n"));
    }
    text + more
}

/// Starts a stand-in and gives the address it listens on.
pub fn stand_in(name: &str, args: &[&str]) -> anyhow::Result<(Child, String)> {
    let child = process::Command::new(program(name)?)
        .args(args)
        .stdout(process::Stdio::piped())
        .spawn()
        .with_context(|| format!("Could not start {name}; build it first."))?;
    let mut child = Child(child);
    let out = child.0.stdout.take().context("no output")?;
    let mut line = String::new();
    io::BufReader::new(out).read_line(&mut line)?;
    let address = line.trim().strip_prefix("listening ").context("no address printed")?;
    Ok((child, address.into()))
}

/// A program of this build.
pub fn program(name: &str) -> anyhow::Result<path::PathBuf> {
    Ok(env::current_exe()?.with_file_name(name))
}

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since its start, in microseconds.
    pub busy_us: u64,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
    /// Most resident memory since its start, in KiB.
    pub peak_kib: u64,
}

impl Usage {
    /// What process `id` has used so far.
    pub fn of(id: u32) -> anyhow::Result<Self> {
        let dir = format!("/proc/{id}");
        let status = fs::read_to_string(format!("{dir}/status"))?;
        let kib = |field| -> anyhow::Result<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(field));
            Ok(line.context(field)?.trim().trim_end_matches(" kB").parse()?)
        };
        let stat = fs::read_to_string(format!("{dir}/stat"))?;
        let (_, fields) = stat.rsplit_once(')').context("no stat")?;
        let ticks = fields.split_whitespace().skip(USER_TIME).take(2);
        let ticks = ticks.map(str::parse::<u64>).sum::<Result<u64, _>>()?;
        let busy_us = ticks * TICK_US;
        Ok(Self { busy_us, memory_kib: kib("VmRSS:")?, peak_kib: kib("VmHWM:")? })
    }
}
