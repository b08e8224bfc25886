//! Starts and ends the project's own program, with settings rendered from the templates of the
//! deploy file.

use std::{
    collections::BTreeMap,
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time,
};

/// The program that the deploy file starts, and its templates, below the repository root.
const PROGRAM: &str = "target/release/knapweedfordd";

/// A block of loopback addresses, one for each machine, on which the ports of a case are free.
pub struct Block(u8, u8);

impl Block {
    pub fn free(ports: &[u16]) -> Self {
        let seed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let mut random = crate::wire::Random(seed.as_nanos() as u64 | 1);
        loop {
            let block = Self(20 + random.below(200) as u8, random.below(250) as u8);
            let is_free = |port: &u16| TcpListener::bind(block.addr(1, *port)).is_ok();
            if ports.iter().all(is_free) {
                return block;
            }
        }
    }

    /// Address of the machine with this number.
    pub fn addr(&self, machine: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.0, self.1, machine as u8);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}

/// A process of the project, ended when dropped.
pub struct Program {
    child: Child,
    pub log: PathBuf,
}

impl Program {
    /// Starts the program with a template whose placeholders stand for `values`.
    pub fn start(
        root: &Path,
        dir: &Path,
        name: &str,
        template: &str,
        values: &BTreeMap<&str, String>,
    ) -> io::Result<Self> {
        let mut text = fs::read_to_string(root.join(template))?;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), value);
        }
        let settings = dir.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let out = fs::OpenOptions::new().create(true).append(true).open(&log)?;
        let child = Command::new(root.join(PROGRAM))
            .current_dir(root)
            .env("KNAPWEEDFORD_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(out.try_clone()?)
            .stdout(out)
            .spawn()?;
        Ok(Self { child, log })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `-TERM`, to the process.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
