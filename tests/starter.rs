//! Starts processes of the system for tests. Only this module writes their settings files.

use std::{
    fs, net, path, process,
    sync::{Condvar, Mutex, atomic},
    thread,
};

use knapweedford::daemon;

use crate::processes::{self, Daemon, Process};

/// Token in the settings of every process.
pub const TOKEN: &str = "secret-of-the-tests";
/// Most groups of processes that run at a time; further tests wait.
const MAX_RUNNING_GROUPS: usize = 3;

static RUNNING_GROUPS: Mutex<usize> = Mutex::new(0);
static GROUP_ENDED: Condvar = Condvar::new();
static NEXT_NUMBER: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Settings of one process.
pub struct DaemonOptions<'a> {
    /// Name of the process's host.
    pub host: &'a str,
    /// Availability zone of the host.
    pub zone: &'a str,
    /// Name and root URL of the sidecar's backend server; `None` for an entry.
    pub server: Option<(&'a str, &'a str)>,
    /// Time until the balancer notices that an entry is not ready, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Peers to contact while the host list is unreachable.
    pub seeds: &'a [net::SocketAddr],
}

/// Starts the processes of one group, and holds the directory of their files. At most
/// [`MAX_RUNNING_GROUPS`] groups run at a time.
pub struct Starter {
    dir: path::PathBuf,
}

impl Starter {
    /// Waits until the group may run and creates its directory.
    pub fn new(name: &str) -> Self {
        let running = RUNNING_GROUPS.lock().unwrap();
        *GROUP_ENDED.wait_while(running, |running| *running >= MAX_RUNNING_GROUPS).unwrap() += 1;
        let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "{name}-{}-{}",
            process::id(),
            next_number()
        ));
        fs::create_dir_all(&dir).unwrap();
        Self { dir }
    }

    /// Starts a process that uses `platform`, and registers it in the platform's host list.
    pub fn start(&self, platform: &Process, options: &DaemonOptions) -> Daemon {
        let base_path = self.dir.join(format!("{}-{}", options.host, next_number()));
        let (settings, ports_file) =
            (base_path.with_extension("yaml"), base_path.with_extension("ports"));
        fs::write(&settings, settings_text(platform, options, &ports_file)).unwrap();
        let log = fs::File::create(base_path.with_extension("log")).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd"))
            .arg(&settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let ports: daemon::Ports = processes::wait_until("the process listens", || {
            serde_json::from_str(&fs::read_to_string(&ports_file).ok()?).ok()
        });
        register_host(platform, options, &ports);
        let address = ports.callers.unwrap_or(ports.peers);
        Daemon { process: Process::new(child, address), ports }
    }

    /// Returns the log lines of all processes that were started.
    pub fn logs(&self) -> String {
        let files = fs::read_dir(&self.dir).unwrap().map(|file| file.unwrap().path());
        let logs =
            files.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
        logs.map(|path| fs::read_to_string(path).unwrap()).collect()
    }
}

impl Drop for Starter {
    fn drop(&mut self) {
        match thread::panicking() {
            true => eprintln!("logs of the processes: {}", self.dir.display()),
            false => drop(fs::remove_dir_all(&self.dir)),
        }
        *RUNNING_GROUPS.lock().unwrap() -= 1;
        GROUP_ENDED.notify_one();
    }
}

/// Returns a number that is unique within this test run, for file names.
fn next_number() -> usize {
    NEXT_NUMBER.fetch_add(1, atomic::Ordering::Relaxed)
}

/// Returns the text of the settings file.
fn settings_text(platform: &Process, options: &DaemonOptions, ports_file: &path::Path) -> String {
    let DaemonOptions { host, zone, server, balancer_lag_ms, seeds } = options;
    let role = match server {
        None => "role: entry\ncallers: 127.0.0.1:0\n".into(),
        Some((name, url)) => {
            format!("role: sidecar\nbackend: {{server: {name}, url: '{url}'}}\n")
        }
    };
    format!(
        "host: {host}\nzone: {zone}\n{role}operators: 127.0.0.1:0\npeers: 127.0.0.1:0\n\
         platform: http://{}\ntoken: {TOKEN}\nports-file: {}\nbalancer-lag-ms: {balancer_lag_ms}\n\
         seeds: {}\n",
        platform.address,
        ports_file.display(),
        serde_json::to_string(seeds).unwrap(),
    )
}

/// Adds the process to the platform's host list.
fn register_host(platform: &Process, options: &DaemonOptions, ports: &daemon::Ports) {
    let host_entry = serde_json::json!({
        "host": options.host, "zone": options.zone, "peers": ports.peers,
        "server": options.server.map(|(server, _)| server), "state": "live",
    });
    let path = format!("/hosts/{}", options.host);
    let answer = processes::call("PUT", platform.address, &path, &[], &host_entry.to_string());
    assert!(answer.status < 300, "{}", answer.text());
}
