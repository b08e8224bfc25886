//! Memory and descriptors of a process, as the platform counts them.

use std::{
    collections::BTreeSet,
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Memory of the smallest machine of any site that runs a gateway, in KiB: 112 MB.
pub const MACHINE_MEMORY_KIB: u64 = 112_000_000 / 1024;
/// Descriptors of that machine.
pub const MACHINE_DESCRIPTORS: u64 = 2_870;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Time between two readings.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Watches a process until dropped.
pub struct Watch {
    pid: u32,
    stop: Arc<AtomicBool>,
    queued_kib: Arc<AtomicU64>,
    descriptors: Arc<AtomicU64>,
}

impl Watch {
    pub fn start(pid: u32) -> Self {
        let watch = Self {
            pid,
            stop: Arc::default(),
            queued_kib: Arc::default(),
            descriptors: Arc::default(),
        };
        let (stop, queued) = (Arc::clone(&watch.stop), Arc::clone(&watch.queued_kib));
        let descriptors = Arc::clone(&watch.descriptors);
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let sockets = sockets(pid);
                descriptors.fetch_max(sockets.len() as u64, Ordering::Relaxed);
                queued.fetch_max(queued_bytes(&sockets) / 1024, Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        watch
    }

    /// Asserts that the process never held more than the smallest machine has: memory, with bytes
    /// that wait in its sockets, and sockets.
    pub fn assert_within_machine(&self) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("the process still runs").trim().trim_end_matches(" kB");
        let (peak, queued): (u64, u64) =
            (peak.parse().unwrap(), self.queued_kib.load(Ordering::Relaxed));
        let sockets = self.descriptors.load(Ordering::Relaxed);
        eprintln!("peak: {peak} KiB resident, {queued} KiB in sockets, {sockets} sockets");
        assert!(
            peak + queued < MACHINE_MEMORY_KIB,
            "{peak} KiB resident and {queued} KiB in sockets of {MACHINE_MEMORY_KIB}"
        );
        assert!(
            sockets <= MACHINE_DESCRIPTORS - FILE_DESCRIPTORS,
            "{sockets} sockets of {MACHINE_DESCRIPTORS} descriptors"
        );
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Returns the inodes of the sockets that a process has open.
fn sockets(pid: u32) -> BTreeSet<u64> {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return BTreeSet::new() };
    let links = files.filter_map(|file| fs::read_link(file.ok()?.path()).ok());
    let inode = |link: std::path::PathBuf| {
        link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    links.filter_map(inode).collect()
}

/// Returns the number of bytes that were received and not yet read, or sent and not yet taken, on
/// `sockets`.
fn queued_bytes(sockets: &BTreeSet<u64>) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let queued = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode: u64 = fields.get(9)?.parse().ok()?;
        // The receive queue of a listener counts connections.
        let is_listener = fields[3] == "0A";
        let (tx, rx) = fields[4].split_once(':')?;
        let bytes = u64::from_str_radix(tx, 16).ok()? + u64::from_str_radix(rx, 16).ok()?;
        (sockets.contains(&inode) && !is_listener).then_some(bytes)
    };
    table.lines().skip(1).filter_map(queued).sum()
}
