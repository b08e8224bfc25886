//! Starts processes of the system for tests: the one place that writes their settings.

use std::{
    fs, net, path, process,
    sync::{Condvar, Mutex, atomic},
    thread,
};

use knapweedford::daemon;

use crate::processes::{self, Daemon, Process};

/// Secret of every process.
pub const TOKEN: &str = "secret-of-the-tests";
/// Groups of processes that may run at once.
const MAX_RUNNING_GROUPS: usize = 3;

static RUNNING_GROUPS: Mutex<usize> = Mutex::new(0);
static GROUP_ENDED: Condvar = Condvar::new();
static NEXT_NUMBER: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// What one process is started as.
pub struct DaemonOptions<'a> {
    /// Name of its host.
    pub host: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Name and root of the backend server beside it; an entry has none.
    pub server: Option<(&'a str, &'a str)>,
    /// Time for which the balancer lags, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Peers to ask while the host list is unreachable.
    pub seeds: &'a [net::SocketAddr],
}

/// The files of one group of processes; few groups run at once.
pub struct Starter {
    dir: path::PathBuf,
}

impl Starter {
    /// Waits until the group may run.
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

    /// Starts a process over `platform` and lists it there.
    pub fn start(&self, platform: &Process, post: &DaemonOptions) -> Daemon {
        let base = self.dir.join(format!("{}-{}", post.host, next_number()));
        let (settings, ports) = (base.with_extension("yaml"), base.with_extension("ports"));
        fs::write(&settings, settings_text(platform, post, &ports)).unwrap();
        let log = fs::File::create(base.with_extension("log")).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd"))
            .arg(&settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let ports: daemon::Ports = processes::wait_until("the process listens", || {
            serde_json::from_str(&fs::read_to_string(&ports).ok()?).ok()
        });
        register_host(platform, post, &ports);
        let at = ports.callers.unwrap_or(ports.peers);
        Daemon { process: Process::new(child, at), ports }
    }

    /// Log lines of all processes that were started.
    pub fn logs(&self) -> String {
        let files = fs::read_dir(&self.dir).unwrap().map(|file| file.unwrap().path());
        let logs = files.filter(|path| path.extension().is_some_and(|kind| kind == "log"));
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

fn next_number() -> usize {
    NEXT_NUMBER.fetch_add(1, atomic::Ordering::Relaxed)
}

fn settings_text(platform: &Process, post: &DaemonOptions, ports: &path::Path) -> String {
    let DaemonOptions { host, zone, server, balancer_lag_ms: lag_ms, seeds } = post;
    let role = match server {
        None => "role: entry\ncallers: 127.0.0.1:0\n".into(),
        Some((name, url)) => {
            format!("role: sidecar\nbackend: {{server: {name}, url: '{url}'}}\n")
        }
    };
    format!(
        "host: {host}\nzone: {zone}\n{role}operators: 127.0.0.1:0\npeers: 127.0.0.1:0\n\
         platform: http://{}\ntoken: {TOKEN}\nports-file: {}\nbalancer-lag-ms: {lag_ms}\n\
         seeds: {}\n",
        platform.address,
        ports.display(),
        serde_json::to_string(seeds).unwrap(),
    )
}

fn register_host(platform: &Process, post: &DaemonOptions, ports: &daemon::Ports) {
    let listed = serde_json::json!({
        "host": post.host, "zone": post.zone, "peers": ports.peers,
        "server": post.server.map(|(server, _)| server), "state": "live",
    });
    let path = format!("/hosts/{}", post.host);
    let answer = processes::call("PUT", platform.address, &path, &[], &listed.to_string());
    assert!(answer.status < 300, "{}", answer.text());
}
