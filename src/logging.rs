//! Logging to stdout in lines of `key=value` pairs.
//!
//! A separate thread writes the lines. A reader of stdout that is slow or has stopped delays no
//! other thread: once `MAX_QUEUED_LINES` wait, further lines are dropped, and their number is
//! logged later.

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

/// Maximum number of lines that wait to be written; a busy process logs them in a few seconds.
const MAX_QUEUED_LINES: usize = 4_096;
/// Time for which lines are collected into one write, to reduce the number of wake-ups.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(50);
/// Maximum time for which a process waits at exit until its last lines are written.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(200);

static QUEUE: OnceLock<mpsc::SyncSender<Entry>> = OnceLock::new();
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// A message to the thread that writes the lines.
enum Entry {
    Line(Vec<u8>),
    /// Asks the thread to write the queued lines and then to send on the channel.
    Flush(mpsc::SyncSender<()>),
}

/// Starts logging to stdout. `RUST_LOG` sets the level; the default is `info`.
pub fn start() {
    let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let spawned =
        thread::Builder::new().name("log".into()).spawn(move || write_lines(&rx, io::stdout()));
    if QUEUE.set(tx).is_err() || spawned.is_err() {
        let _ = writeln!(io::stderr(), "logging cannot be started, or has been started before");
        return;
    }
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(QueueWriter)))
        .format(|out, record| {
            let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
            writeln!(out, "{}", format_line(now.unwrap_or_default(), record))
        })
        .try_init()
        .unwrap_or_else(|err| {
            let _ = writeln!(io::stderr(), "logging has been started before: {err}");
        });
}

/// Waits until all queued lines are written, for a short time at most.
pub fn flush_at_exit() {
    let (tx, rx) = mpsc::sync_channel(1);
    if QUEUE.get().is_some_and(|queue| queue.try_send(Entry::Flush(tx)).is_ok()) {
        // A timeout means that nothing reads stdout; the process exits nevertheless.
        let _ = rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Number of lines that have been dropped so far because the reader of stdout was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Puts the lines of the logger into the queue; each write is one whole line.
struct QueueWriter;

impl io::Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let sent = QUEUE.get().map(|queue| queue.try_send(Entry::Line(line.to_vec())));
        if !matches!(sent, Some(Ok(()))) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to `out` for as long as the process runs.
fn write_lines(rx: &mpsc::Receiver<Entry>, mut out: impl io::Write) {
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let mut buf = Vec::new();
        let mut flushes = Vec::new();
        if matches!(first, Entry::Line(_)) {
            thread::sleep(BATCH_DELAY);
        }
        for entry in std::iter::once(first).chain(rx.try_iter().take(MAX_QUEUED_LINES)) {
            match entry {
                Entry::Line(line) => buf.extend_from_slice(&line),
                Entry::Flush(tx) => flushes.push(tx),
            }
        }
        let dropped = dropped_lines();
        if dropped > reported {
            let _ = writeln!(
                buf,
                "level=warn module=logging msg=\"lines dropped\" lines={}",
                dropped - reported
            );
            reported = dropped;
        }
        // If stdout is closed, the error cannot be reported anywhere.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        flushes.iter().for_each(|tx| _ = tx.try_send(()));
    }
}

/// Formats `record` as one line without a line break; `now` is the time since the Unix epoch.
pub fn format_line(now: time::Duration, record: &log::Record<'_>) -> String {
    let mut out = format!(
        "time={}.{:03} level={} module={} msg={}",
        now.as_secs(),
        now.subsec_millis(),
        record.level().as_str().to_ascii_lowercase(),
        record.target().trim_start_matches("knapweedford::"),
        quote_if_needed(&record.args().to_string()),
    );
    let _ = record.key_values().visit(&mut PairWriter(&mut out));
    out
}

/// Appends the key-value pairs of a log record to a line.
struct PairWriter<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let _ = write!(self.0, " {key}={}", quote_if_needed(&value.to_string()));
        Ok(())
    }
}

/// Returns `text` unchanged if it is a single word, otherwise in quotes with escapes.
fn quote_if_needed(text: &str) -> String {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    match !text.is_empty() && text.chars().all(is_plain) {
        true => text.to_owned(),
        false => format!("{text:?}"),
    }
}
