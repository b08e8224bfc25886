//! Processes under measurement: stand-ins of the platform and of engines, one entry and a sidecar
//! for each engine.

use std::{env, fs, io, io::BufRead, path, process, thread};

use anyhow::Context;
use knapweedford::{agree::record, cloud, daemon, name};

use super::{stream, wait_for};

/// Stand-ins of model engines, each behind a sidecar.
pub const ENGINES: usize = 4;
/// Time between two tokens of an engine, in milliseconds.
const TOKEN_MS: &str = "20";
/// Concurrent streams per engine that warm it up.
const WARM_UP_STREAMS: usize = 25;
/// Answers that each of those streams reads.
const WARM_UP_ROUNDS: usize = 20;

/// Index of the entry among the child processes; each engine and its sidecar follow.
const ENTRY_INDEX: usize = 1;

/// Index of the user time, which the system time follows, among those fields of a process's `stat`
/// that follow its name.
const USER_TIME_FIELD: usize = 11;
/// Duration of a clock tick of `stat`, in microseconds.
const TICK_US: u64 = 10_000;
/// Token of the operators' port of every process.
const TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// A child process that is killed when dropped.
pub struct Child(pub process::Child);

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// All processes and the addresses on which they listen; stopped when dropped.
pub struct Processes {
    dir: path::PathBuf,
    children: Vec<Child>,
    engine_addresses: Vec<String>,
    entry_ports: daemon::Ports,
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.children.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Processes {
    /// Starts all processes and waits until the entry is ready.
    pub fn start() -> anyhow::Result<Self> {
        Self::start_with("")
    }

    /// Starts all processes with `extra` at the end of the configuration.
    pub fn start_with(extra: &str) -> anyhow::Result<Self> {
        let dir = env::temp_dir().join(format!("knapweedford-path-{}", process::id()));
        fs::create_dir_all(&dir)?;
        let ports = daemon::Ports {
            callers: None,
            operators: ([127, 0, 0, 1], 0).into(),
            peers: ([127, 0, 0, 1], 0).into(),
        };
        let mut processes =
            Self { dir, children: Vec::new(), engine_addresses: Vec::new(), entry_ports: ports };
        let platform = format!("http://{}", processes.start_stand_in("stand-in-platform", &[])?);
        processes.write_configuration(&platform, extra)?;
        processes.entry_ports =
            processes.start_daemon("entry-1", "entry", &platform, "callers: 127.0.0.1:0")?;
        for number in 0..ENGINES {
            processes.start_engine(number, &platform)?;
        }
        let ready_url = format!("http://{}/readyz", processes.callers_address());
        wait_for("the entry to be ready", || ureq::get(&ready_url).call().ok())?;
        Ok(processes)
    }

    /// Returns the URL of the engine that stream `stream` calls directly.
    pub fn engine_url(&self, stream: usize) -> String {
        format!("http://{}/v1/completions", self.engine_addresses[stream % ENGINES])
    }

    /// Returns the URL of the same call through the entry.
    pub fn path_url(&self) -> String {
        format!("http://{}/writer/v1/completions", self.callers_address())
    }

    /// Sends load through the path until the gates of all engines have opened.
    pub fn warm_up(&self) -> anyhow::Result<()> {
        thread::scope(|scope| {
            for number in 0..ENGINES * WARM_UP_STREAMS {
                scope.spawn(move || {
                    let agent = stream::new_agent();
                    (0..WARM_UP_ROUNDS).try_for_each(|round| {
                        let body = stream::request_body(number, round, 4);
                        stream::time_events_with_retries(&agent, &self.path_url(), &body).map(drop)
                    })
                });
            }
        });
        Ok(())
    }

    /// Returns the processor time and memory of the entry.
    pub fn entry_usage(&self) -> anyhow::Result<Usage> {
        Usage::read(self.children[ENTRY_INDEX].0.id())
    }

    /// Returns the processor time and memory of each engine's sidecar.
    pub fn sidecar_usages(&self) -> anyhow::Result<Vec<Usage>> {
        (0..ENGINES)
            .map(|number| Usage::read(self.children[ENTRY_INDEX + 2 * (number + 1)].0.id()))
            .collect()
    }

    /// Applies the configuration with `extra` at its end and waits until it is in force everywhere.
    pub fn apply(&self, extra: &str) -> anyhow::Result<()> {
        let text = config_text(extra);
        let url = format!("http://{}", self.entry_ports.operators);
        let bearer = format!("Bearer {TOKEN}");
        ureq::post(format!("{url}/apply")).header("authorization", &bearer).send(text)?;
        wait_for("the configuration to be in force", || {
            let response =
                ureq::get(format!("{url}/status")).header("authorization", &bearer).call();
            let status: serde_json::Value = response.ok()?.body_mut().read_json().ok()?;
            status["behind"].as_array().is_some_and(Vec::is_empty).then_some(())
        })
    }

    fn callers_address(&self) -> std::net::SocketAddr {
        self.entry_ports.callers.unwrap_or(self.entry_ports.operators)
    }

    /// Writes the configuration as the first version to the platform's table.
    fn write_configuration(&self, platform: &str, extra: &str) -> anyhow::Result<()> {
        let text = config_text(extra);
        let row = record::Record { version: 1, text_version: 1, text, ..Default::default() };
        let url = format!("{platform}/table/{}", record::KEY);
        ureq::put(url).header("if-none-match", "*").send(serde_json::to_string(&row)?)?;
        Ok(())
    }

    /// Starts an engine and its sidecar, and lists the sidecar's host at the platform.
    fn start_engine(&mut self, number: usize, platform: &str) -> anyhow::Result<()> {
        let engine_address = self.start_stand_in("stand-in-engine", &["--token-ms", TOKEN_MS])?;
        let backend =
            format!("backend: {{server: writer-{number}, url: 'http://{engine_address}'}}");
        let host = format!("side-{number}");
        let ports = self.start_daemon(&host, "sidecar", platform, &backend)?;
        let listed = cloud::ListedHost {
            host: name::Host::new(&host),
            zone: "z1".into(),
            peers: ports.peers,
            server: Some(name::Server::new(format!("writer-{number}"))),
            state: cloud::HostState::Live,
        };
        let url = format!("{platform}/hosts/{host}");
        ureq::put(url).send(serde_json::to_string(&listed)?)?;
        self.engine_addresses.push(engine_address);
        Ok(())
    }

    /// Starts `knapweedfordd` with `extra_settings` at the end of its settings and returns its
    /// ports.
    fn start_daemon(
        &mut self,
        host: &str,
        role: &str,
        platform: &str,
        extra_settings: &str,
    ) -> anyhow::Result<daemon::Ports> {
        let ports_file = self.dir.join(format!("{host}.json"));
        let settings_file = self.dir.join(format!("{host}.yaml"));
        let text = format!(
            "host: {host}\nzone: z1\nrole: {role}\noperators: 127.0.0.1:0\npeers: 127.0.0.1:0\n\
             platform: {platform}\ntoken: {TOKEN}\n\
             ports-file: {}\n{extra_settings}\n",
            ports_file.display()
        );
        fs::write(&settings_file, text)?;
        let child = process::Command::new(program_path("knapweedfordd")?)
            .arg(settings_file)
            .env("RUST_LOG", "warn")
            .spawn()
            .context("Could not start knapweedfordd; build it first.")?;
        self.children.push(Child(child));
        let text =
            wait_for("the ports file of a process", || fs::read_to_string(&ports_file).ok())?;
        Ok(serde_json::from_str(&text)?)
    }

    fn start_stand_in(&mut self, name: &str, args: &[&str]) -> anyhow::Result<String> {
        let (child, address) = start_stand_in(name, args)?;
        self.children.push(child);
        Ok(address)
    }
}

/// Returns a configuration of one service with all engines, with `extra` at its end.
fn config_text(extra: &str) -> String {
    let mut text = String::from(
        "zones:\n  z1: {}\nservices:\n  writer:\n    kind: plain\n    calls:\n      \
         - {method: POST, path: /v1/completions, repeatable: true, deadline-ms: 60000}\n    \
         limits: {in-flight-per-server: 64}\nservers:\n",
    );
    for number in 0..ENGINES {
        text.push_str(&format!("  writer-{number}: {{service: writer, zone: z1}}\n"));
    }
    text + extra
}

/// Starts a stand-in and returns the address on which it listens.
pub fn start_stand_in(name: &str, args: &[&str]) -> anyhow::Result<(Child, String)> {
    let child = process::Command::new(program_path(name)?)
        .args(args)
        .stdout(process::Stdio::piped())
        .spawn()
        .with_context(|| format!("Could not start {name}; build it first."))?;
    let mut child = Child(child);
    let out = child.0.stdout.take().context("the stand-in has no output")?;
    let mut line = String::new();
    io::BufReader::new(out).read_line(&mut line)?;
    let address =
        line.trim().strip_prefix("listening ").context("the stand-in printed no address")?;
    Ok((child, address.into()))
}

/// Returns the path of a program of this build.
pub fn program_path(name: &str) -> anyhow::Result<path::PathBuf> {
    Ok(env::current_exe()?.with_file_name(name))
}

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since its start, in microseconds.
    pub busy_us: u64,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
    /// Peak of resident memory since its start, in KiB.
    pub peak_kib: u64,
}

impl Usage {
    /// Reads the processor time and memory of process `id`.
    pub fn read(id: u32) -> anyhow::Result<Self> {
        let dir = format!("/proc/{id}");
        let status = fs::read_to_string(format!("{dir}/status"))?;
        let kib = |field| -> anyhow::Result<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(field));
            Ok(line.context(field)?.trim().trim_end_matches(" kB").parse()?)
        };
        let stat = fs::read_to_string(format!("{dir}/stat"))?;
        let (_, fields) = stat.rsplit_once(')').context("the stat file has no process name")?;
        let ticks = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks = ticks.map(str::parse::<u64>).sum::<Result<u64, _>>()?;
        let busy_us = ticks * TICK_US;
        Ok(Self { busy_us, memory_kib: kib("VmRSS:")?, peak_kib: kib("VmHWM:")? })
    }
}
