//! Logs as lines of `key=value`, one formatter for the whole process.

use std::{
    fmt::Write as _,
    io::{self, Write as _},
    time,
};

use log::kv;

/// Starts logging to stderr; `RUST_LOG` sets the level, info unless given.
pub fn start() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
            writeln!(out, "{}", line(now.unwrap_or_default(), record))
        })
        .try_init()
        .unwrap_or_else(|err| {
            let _ = writeln!(io::stderr(), "logging was started before: {err}");
        });
}

/// One line about `record`, seen at `now` since the epoch.
pub fn line(now: time::Duration, record: &log::Record<'_>) -> String {
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
