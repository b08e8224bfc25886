//! Processes of the demo: stand-ins, entries and a sidecar for each backend server.

use std::{env, fs, io, io::BufRead, net, path, process, sync, thread, time};

use anyhow::Context;
use knapweedford::{cloud, config, daemon, name};

use super::call;

/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Token of all processes.
const TOKEN: &str = "a-secret-for-the-demo-only";
/// Time between two tokens of an engine, in milliseconds.
const ENGINE_TOKEN_MS: &str = "10";
/// Duration of a call of the plain service, in milliseconds.
const PLAIN_DELAY_MS: &str = "20";
/// Number of entries.
const ENTRIES: usize = 2;

/// Child processes of the demo.
#[derive(Clone, Default)]
pub struct Children(sync::Arc<sync::Mutex<Vec<process::Child>>>);

impl Children {
    /// Kills all child processes and waits until they have ended.
    pub fn kill(&self) {
        let mut children = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        for child in children.iter_mut() {
            let _ = child.kill();
        }
        for mut child in children.drain(..) {
            let _ = child.wait();
        }
    }

    /// Kills all child processes and exits; holds the lock so that no further child can start.
    pub fn exit(&self, code: i32) -> ! {
        let mut children = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        children.iter_mut().for_each(|child| drop(child.kill()));
        let _ = fs::remove_dir_all(run_dir());
        process::exit(code)
    }

    /// Starts a child process; returns its standard output if that is piped.
    fn spawn(&self, command: &mut process::Command) -> io::Result<Option<process::ChildStdout>> {
        let mut children = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let mut child = command.spawn()?;
        let stdout = child.stdout.take();
        children.push(child);
        Ok(stdout)
    }
}

/// Stand-in for a backend server.
pub struct Server {
    /// Name in the configuration.
    pub name: name::Server,
    /// Availability zone.
    pub zone: name::Zone,
    /// Whether the server is a model engine.
    pub is_engine: bool,
    /// Address on which the server listens.
    pub address: net::SocketAddr,
}

/// All running processes of the demo.
pub struct Site {
    children: Children,
    dir: path::PathBuf,
    config_path: path::PathBuf,
    platform: net::SocketAddr,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Ports of the entries.
    pub entries: Vec<daemon::Ports>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.children.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Site {
    /// Starts the platform, a server and a sidecar for each backend server in the configuration at
    /// `config_path`, and the entries.
    pub fn start(config_path: &path::Path, children: Children) -> anyhow::Result<Self> {
        let text = fs::read_to_string(config_path)
            .context("Run the demo at the root of the repository.")?;
        let cfg = config::parse(&text).map_err(|err| anyhow::anyhow!("{err}"))?;
        let dir = run_dir();
        fs::create_dir_all(&dir)?;
        let platform = start_stand_in(&children, "stand-in-platform", &[])?;
        let config_path = config_path.to_owned();
        let (servers, entries) = (Vec::new(), Vec::new());
        let mut site = Self { children, dir, config_path, platform, servers, entries };
        for (name, server) in &cfg.servers {
            let is_engine = cfg.services[&server.service].kind == config::Kind::ModelGroup;
            site.start_server(name, &server.zone, is_engine)?;
        }
        for (number, zone) in cfg.zones.keys().take(ENTRIES).enumerate() {
            let ports = site.start_daemon(&format!("entry-{number}"), zone, None)?;
            site.entries.push(ports);
        }
        Ok(site)
    }

    /// Returns the addresses on which the entries accept clients.
    pub fn client_addresses(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().filter_map(|ports| ports.callers).collect()
    }

    /// Runs the command-line tool with `args`; its output goes to standard output.
    pub fn run_tool(&self, args: &[&str]) -> anyhow::Result<()> {
        println!("$ knapweedford {}", args.join(" "));
        let status = process::Command::new(program_path("knapweedford")?)
            .args(args)
            .env("KNAPWEEDFORD_ADDRESS", self.entries[0].operators.to_string())
            .env("KNAPWEEDFORD_TOKEN", TOKEN)
            .status()?;
        anyhow::ensure!(status.success(), "the command failed: {status}");
        Ok(())
    }

    /// Applies the configuration and waits until all entries are ready.
    pub fn apply(&self) -> anyhow::Result<()> {
        self.run_tool(&["apply", &self.config_path.display().to_string()])?;
        self.run_tool(&["wait"])?;
        self.client_addresses().into_iter().try_for_each(|at| {
            let ready = || call::get(at, "/readyz").is_ok_and(|res| res.status == 200);
            wait_until("an entry to be ready", || ready().then_some(()))
        })
    }

    /// Starts a further engine, which is called directly and gives the expected answers.
    pub fn start_reference_engine(&self) -> anyhow::Result<net::SocketAddr> {
        start_stand_in(&self.children, "stand-in-engine", &["--token-ms", "0"])
    }

    fn start_server(
        &mut self,
        name: &name::Server,
        zone: &name::Zone,
        is_engine: bool,
    ) -> anyhow::Result<()> {
        let address = match is_engine {
            true => {
                start_stand_in(&self.children, "stand-in-engine", &["--token-ms", ENGINE_TOKEN_MS])?
            }
            false => {
                start_stand_in(&self.children, "stand-in-plain", &["--delay-ms", PLAIN_DELAY_MS])?
            }
        };
        let server = Server { name: name.clone(), zone: zone.clone(), is_engine, address };
        self.start_daemon(&format!("host-{name}"), zone, Some(&server))?;
        self.servers.push(server);
        Ok(())
    }

    fn start_daemon(
        &self,
        host: &str,
        zone: &name::Zone,
        server: Option<&Server>,
    ) -> anyhow::Result<daemon::Ports> {
        let (settings_file, ports_file) = (format!("{host}.yaml"), format!("{host}.json"));
        let (settings, ports) = (self.dir.join(settings_file), self.dir.join(ports_file));
        let role = match server {
            None => "role: entry\ncallers: 127.0.0.1:0\n".into(),
            Some(Server { name, address, .. }) => {
                format!("role: sidecar\nbackend: {{server: {name}, url: 'http://{address}'}}\n")
            }
        };
        let text = format!(
            "host: {host}\nzone: {zone}\n{role}operators: 127.0.0.1:0\npeers: 127.0.0.1:0\n\
             platform: http://{}\ntoken: {TOKEN}\nports-file: {}\n",
            self.platform,
            ports.display()
        );
        fs::write(&settings, text)?;
        let log = fs::File::create(self.dir.join(format!("{host}.log")))?;
        let mut command = process::Command::new(program_path("knapweedfordd")?);
        self.children.spawn(command.arg(settings).stderr(log))?;
        let text = wait_until("a process to listen", || fs::read_to_string(&ports).ok())?;
        let ports: daemon::Ports = serde_json::from_str(&text)?;
        self.list_host(host, zone, &ports, server)?;
        Ok(ports)
    }

    fn list_host(
        &self,
        host: &str,
        zone: &name::Zone,
        ports: &daemon::Ports,
        server: Option<&Server>,
    ) -> anyhow::Result<()> {
        let listed = cloud::ListedHost {
            host: name::Host::new(host),
            zone: zone.clone(),
            peers: ports.peers,
            server: server.map(|server| server.name.clone()),
            state: cloud::HostState::Live,
        };
        let url = format!("http://{}/hosts/{host}", self.platform);
        ureq::put(url).send(serde_json::to_string(&listed)?)?;
        Ok(())
    }
}

/// Calls `check` until it returns a value; after the timeout, fails with an error with `what`.
pub fn wait_until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> anyhow::Result<T> {
    let end = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match check() {
            Some(value) => return Ok(value),
            None if time::Instant::now() > end => {
                anyhow::bail!("timed out while waiting for {what}")
            }
            None => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn start_stand_in(
    children: &Children,
    name: &str,
    args: &[&str],
) -> anyhow::Result<net::SocketAddr> {
    let mut command = process::Command::new(program_path(name)?);
    let stdout = children
        .spawn(command.args(args).stdout(process::Stdio::piped()))
        .with_context(|| format!("Could not start {name}; run ./demo, which builds it."))?;
    let stdout = stdout.context("The stand-in has no standard output.")?;
    let mut line = String::new();
    io::BufReader::new(stdout).read_line(&mut line)?;
    let address =
        line.trim().strip_prefix("listening ").context("The stand-in printed no address.")?;
    Ok(address.parse()?)
}

/// Returns the folder for the settings, ports and logs of this run.
fn run_dir() -> path::PathBuf {
    env::temp_dir().join(format!("knapweedford-demo-{}", process::id()))
}

/// Returns the path of a program of the same build; examples are built one folder deeper.
fn program_path(name: &str) -> anyhow::Result<path::PathBuf> {
    let exe = env::current_exe()?;
    let dir =
        exe.parent().and_then(path::Path::parent).context("The build folder was not found.")?;
    Ok(dir.join(name))
}
