//! The processes of the demo: stand-ins, entries and a sidecar beside each backend server.

use std::{env, fs, io, io::BufRead, net, path, process, sync, thread, time};

use anyhow::Context;
use knapweedford::{cloud, config, daemon, name};

use super::call;

/// Longest wait for a process to be ready.
const PATIENCE: time::Duration = time::Duration::from_secs(60);
/// Pause between two looks.
const LOOK: time::Duration = time::Duration::from_millis(50);
/// Secret of every process.
const TOKEN: &str = "a-secret-for-the-demo-only";
/// Time between two tokens of an engine, in milliseconds.
const TOKEN_MS: &str = "10";
/// Time that a call of the plain service takes, in milliseconds.
const DELAY_MS: &str = "20";
/// Entries.
const ENTRIES: usize = 2;

/// Child processes; they are killed by their ids.
#[derive(Clone, Default)]
pub struct Children(sync::Arc<sync::Mutex<Vec<process::Child>>>);

impl Children {
    /// Kills all and waits for their ends.
    pub fn kill(&self) {
        let mut children = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        for child in children.iter_mut() {
            let _ = child.kill();
        }
        for mut child in children.drain(..) {
            let _ = child.wait();
        }
    }

    /// Kills all and ends this process; none is started meanwhile.
    pub fn exit(&self, code: i32) -> ! {
        let mut children = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        children.iter_mut().for_each(|child| drop(child.kill()));
        let _ = fs::remove_dir_all(dir());
        process::exit(code)
    }

    /// Starts a child; gives its standard output if that is piped.
    fn spawn(&self, command: &mut process::Command) -> io::Result<Option<process::ChildStdout>> {
        let mut children = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let mut child = command.spawn()?;
        let out = child.stdout.take();
        children.push(child);
        Ok(out)
    }
}

/// A backend server's stand-in.
pub struct Server {
    /// Its name in the text.
    pub name: name::Server,
    /// Its zone.
    pub zone: name::Zone,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Its address.
    pub at: net::SocketAddr,
}

/// The running processes.
pub struct Site {
    children: Children,
    dir: path::PathBuf,
    text: path::PathBuf,
    platform: net::SocketAddr,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Addresses of the entries.
    pub entries: Vec<daemon::Ports>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.children.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Site {
    /// Starts all processes that the text at `text` names, and two entries.
    pub fn start(text: &path::Path, children: Children) -> anyhow::Result<Self> {
        let read = fs::read_to_string(text).context("Run the demo at the root.")?;
        let cfg = config::parse(&read).map_err(|err| anyhow::anyhow!("{err}"))?;
        let dir = dir();
        fs::create_dir_all(&dir)?;
        let platform = stand_in(&children, "stand-in-platform", &[])?;
        let text = text.to_owned();
        let (servers, entries) = (Vec::new(), Vec::new());
        let mut site = Self { children, dir, text, platform, servers, entries };
        for (name, server) in &cfg.servers {
            let engine = cfg.services[&server.service].kind == config::Kind::ModelGroup;
            site.server(name, &server.zone, engine)?;
        }
        for (number, zone) in cfg.zones.keys().take(ENTRIES).enumerate() {
            let ports = site.daemon(&format!("entry-{number}"), zone, None)?;
            site.entries.push(ports);
        }
        Ok(site)
    }

    /// Callers' addresses of the entries.
    pub fn callers(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().filter_map(|ports| ports.callers).collect()
    }

    /// Runs the operators' tool and shows what it prints.
    pub fn tool(&self, args: &[&str]) -> anyhow::Result<()> {
        println!("$ knapweedford {}", args.join(" "));
        let status = process::Command::new(program("knapweedford")?)
            .args(args)
            .env("KNAPWEEDFORD_ADDRESS", self.entries[0].operators.to_string())
            .env("KNAPWEEDFORD_TOKEN", TOKEN)
            .status()?;
        anyhow::ensure!(status.success(), "the tool ended with {status}");
        Ok(())
    }

    /// Puts the text in force everywhere.
    pub fn apply(&self) -> anyhow::Result<()> {
        self.tool(&["apply", &self.text.display().to_string()])?;
        self.tool(&["wait"])?;
        self.callers().into_iter().try_for_each(|at| {
            let ready = || call::get(at, "/readyz").is_ok_and(|res| res.status == 200);
            until("an entry to be ready", || ready().then_some(()))
        })
    }

    /// A further engine, to ask for right answers directly.
    pub fn spare(&self) -> anyhow::Result<net::SocketAddr> {
        stand_in(&self.children, "stand-in-engine", &["--token-ms", "0"])
    }

    fn server(
        &mut self,
        name: &name::Server,
        zone: &name::Zone,
        engine: bool,
    ) -> anyhow::Result<()> {
        let at = match engine {
            true => stand_in(&self.children, "stand-in-engine", &["--token-ms", TOKEN_MS])?,
            false => stand_in(&self.children, "stand-in-plain", &["--delay-ms", DELAY_MS])?,
        };
        let server = Server { name: name.clone(), zone: zone.clone(), engine, at };
        self.daemon(&format!("host-{name}"), zone, Some(&server))?;
        self.servers.push(server);
        Ok(())
    }

    fn daemon(
        &self,
        host: &str,
        zone: &name::Zone,
        server: Option<&Server>,
    ) -> anyhow::Result<daemon::Ports> {
        let (file, found) = (format!("{host}.yaml"), format!("{host}.json"));
        let (settings, ports) = (self.dir.join(file), self.dir.join(found));
        let role = match server {
            None => "role: entry\ncallers: 127.0.0.1:0\n".into(),
            Some(Server { name, at, .. }) => {
                format!("role: sidecar\nbackend: {{server: {name}, url: 'http://{at}'}}\n")
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
        let mut command = process::Command::new(program("knapweedfordd")?);
        self.children.spawn(command.arg(settings).stderr(log))?;
        let text = until("a process to listen", || fs::read_to_string(&ports).ok())?;
        let ports: daemon::Ports = serde_json::from_str(&text)?;
        self.list(host, zone, &ports, server)?;
        Ok(ports)
    }

    fn list(
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

/// Looks until `seen` gives something.
pub fn until<T>(what: &str, mut seen: impl FnMut() -> Option<T>) -> anyhow::Result<T> {
    let end = time::Instant::now() + PATIENCE;
    loop {
        match seen() {
            Some(value) => return Ok(value),
            None if time::Instant::now() > end => anyhow::bail!("waited in vain for {what}"),
            None => thread::sleep(LOOK),
        }
    }
}

fn stand_in(children: &Children, name: &str, args: &[&str]) -> anyhow::Result<net::SocketAddr> {
    let mut command = process::Command::new(program(name)?);
    let out = children
        .spawn(command.args(args).stdout(process::Stdio::piped()))
        .with_context(|| format!("Could not start {name}; run ./demo, which builds it."))?;
    let out = out.context("no output")?;
    let mut line = String::new();
    io::BufReader::new(out).read_line(&mut line)?;
    let address = line.trim().strip_prefix("listening ").context("no address printed")?;
    Ok(address.parse()?)
}

/// Where settings, ports and logs of this run are.
fn dir() -> path::PathBuf {
    env::temp_dir().join(format!("knapweedford-demo-{}", process::id()))
}

/// A program of this build; examples are built one folder deeper.
fn program(name: &str) -> anyhow::Result<path::PathBuf> {
    let exe = env::current_exe()?;
    let dir = exe.parent().and_then(path::Path::parent).context("no build folder")?;
    Ok(dir.join(name))
}
