//! One streamed request, timed.

use std::{io, io::BufRead, thread, time};

/// Tries while a cold server refuses.
const TRIES: usize = 600;
/// Pause between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// What one request showed.
pub struct Seen {
    /// Time to the first event.
    pub first: time::Duration,
    /// Times between events.
    pub gaps: Vec<time::Duration>,
    /// All lines.
    pub data: String,
}

/// A client that keeps its connections.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).build().into()
}

/// A request body of its own for each stream and pair.
pub fn body(stream: usize, pair: usize, tokens: u32) -> String {
    format!(r#"{{"prompt":"stream {stream} pair {pair}","stream":true,"max_tokens":{tokens}}}"#)
}

/// Sends `body` to `url` and hands over each event, until `more` says no.
/// An answer other than 200 is an error.
pub fn each(
    agent: &ureq::Agent,
    url: &str,
    body: &str,
    mut more: impl FnMut(&str) -> bool,
) -> anyhow::Result<()> {
    let res = agent.post(url).header("workspace", "vidzeme-dairy").send(body)?;
    anyhow::ensure!(res.status() == 200, "{url} answered {}", res.status());
    for line in io::BufReader::with_capacity(1, res.into_body().into_reader()).lines() {
        let line = line?;
        if line.starts_with("data: ") && !more(&line) {
            break;
        }
    }
    Ok(())
}

/// Sends `body` to `url` and times the events.
pub fn read(agent: &ureq::Agent, url: &str, body: &str) -> anyhow::Result<Seen> {
    let begun = time::Instant::now();
    let mut seen = Seen { first: time::Duration::ZERO, gaps: Vec::new(), data: String::new() };
    let mut last = begun;
    each(agent, url, body, |event| {
        let now = time::Instant::now();
        match seen.data.is_empty() {
            true => seen.first = now - begun,
            false => seen.gaps.push(now - last),
        }
        last = now;
        seen.data.push_str(event);
        true
    })?;
    Ok(seen)
}

/// Like [`read`], again until the path has room.
pub fn read_admitted(agent: &ureq::Agent, url: &str, body: &str) -> anyhow::Result<Seen> {
    for _ in 1..TRIES {
        match read(agent, url, body) {
            Ok(seen) => return Ok(seen),
            Err(_) => thread::sleep(PAUSE),
        }
    }
    read(agent, url, body)
}
