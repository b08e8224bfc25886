//! Logs as lines of `key=value`, one formatter for the whole process.
//!
//! Lines go to stdout by a thread of their own. A reader that is slow or stopped delays nothing:
//! once [`LINES`] wait, further lines are dropped, and their number is logged later.

use std::{
    fmt::Write as _,
    io::{self, Write as _},
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread, time,
};

use log::kv;

/// Lines that may wait for the reader; a few seconds of a busy process.
const LINES: usize = 4_096;
/// Time over which lines are gathered into one write, which saves wake-ups.
const GATHERED: time::Duration = time::Duration::from_millis(50);
/// Longest time that an ending process waits for its last lines to be written.
const LAST_LINES: time::Duration = time::Duration::from_millis(200);

static SPOOL: OnceLock<mpsc::SyncSender<Entry>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// What reaches the writing thread.
enum Entry {
    Line(Vec<u8>),
    /// Write what waits, then say so.
    Flush(mpsc::SyncSender<()>),
}

/// Starts logging to stdout; `RUST_LOG` sets the level, info unless given.
pub fn start() {
    let (tx, rx) = mpsc::sync_channel(LINES);
    let spawned = thread::Builder::new().name("log".into()).spawn(move || write(&rx, io::stdout()));
    if SPOOL.set(tx).is_err() || spawned.is_err() {
        let _ = writeln!(io::stderr(), "logging could not be started, or was started before");
        return;
    }
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(Spool)))
        .format(|out, record| {
            let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
            writeln!(out, "{}", format_line(now.unwrap_or_default(), record))
        })
        .try_init()
        .unwrap_or_else(|err| {
            let _ = writeln!(io::stderr(), "logging was started before: {err}");
        });
}

/// Waits until the lines so far are written, for a short time at most.
pub fn flush_at_exit() {
    let (tx, rx) = mpsc::sync_channel(1);
    if SPOOL.get().is_some_and(|spool| spool.try_send(Entry::Flush(tx)).is_ok()) {
        // Without an answer the reader does not read; the process ends all the same.
        let _ = rx.recv_timeout(LAST_LINES);
    }
}

/// Lines that were dropped so far because the reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Takes whole lines from the logger.
struct Spool;

impl io::Write for Spool {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let sent = SPOOL.get().map(|spool| spool.try_send(Entry::Line(line.to_vec())));
        if !matches!(sent, Some(Ok(()))) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines to `out` for as long as the process runs.
fn write(rx: &mpsc::Receiver<Entry>, mut out: impl io::Write) {
    let mut told = 0;
    while let Ok(first) = rx.recv() {
        let mut buf = Vec::new();
        let mut waiting = Vec::new();
        if matches!(first, Entry::Line(_)) {
            thread::sleep(GATHERED);
        }
        for entry in std::iter::once(first).chain(rx.try_iter().take(LINES)) {
            match entry {
                Entry::Line(line) => buf.extend_from_slice(&line),
                Entry::Flush(tx) => waiting.push(tx),
            }
        }
        let lost = dropped_lines();
        if lost > told {
            let _ = writeln!(
                buf,
                "level=warn module=logging msg=\"lines dropped\" lines={}",
                lost - told
            );
            told = lost;
        }
        // Nobody is left to tell if stdout is closed.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        waiting.iter().for_each(|tx| _ = tx.try_send(()));
    }
}

/// One line about `record`, seen at `now` since the epoch.
pub fn format_line(now: time::Duration, record: &log::Record<'_>) -> String {
    let mut out = format!(
        "time={}.{:03} level={} module={} msg={}",
        now.as_secs(),
        now.subsec_millis(),
        record.level().as_str().to_ascii_lowercase(),
        record.target().trim_start_matches("knapweedford::"),
        quoted(&record.args().to_string()),
    );
    let _ = record.key_values().visit(&mut Pairs(&mut out));
    out
}

struct Pairs<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let _ = write!(self.0, " {key}={}", quoted(&value.to_string()));
        Ok(())
    }
}

/// `text` as it is where that is one word, else in quotes with escapes.
fn quoted(text: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    match !text.is_empty() && text.chars().all(plain) {
        true => text.to_owned(),
        false => format!("{text:?}"),
    }
}
