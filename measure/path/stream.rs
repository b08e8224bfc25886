//! Streamed requests whose events are timed.

use std::{io, io::BufRead, thread, time};

/// Attempts at a request while a cold server refuses it.
const MAX_ATTEMPTS: usize = 600;
/// Delay between two attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Events of one request, with their times.
pub struct Timings {
    /// Time to the first event.
    pub first_event: time::Duration,
    /// Times between events.
    pub gaps: Vec<time::Duration>,
    /// All `data:` lines in a row.
    pub data: String,
}

/// Creates an HTTP client that reuses its connections.
pub fn new_agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).build().into()
}

/// Returns a request body that is different for each stream and pair.
pub fn request_body(stream: usize, pair: usize, tokens: u32) -> String {
    format!(r#"{{"prompt":"stream {stream} pair {pair}","stream":true,"max_tokens":{tokens}}}"#)
}

/// Sends `body` to `url` and calls `on_event` with each event until it returns false.
///
/// A status other than 200 is an error.
pub fn for_each_event(
    agent: &ureq::Agent,
    url: &str,
    body: &str,
    mut on_event: impl FnMut(&str) -> bool,
) -> anyhow::Result<()> {
    let res = agent.post(url).header("workspace", "vidzeme-dairy").send(body)?;
    anyhow::ensure!(res.status() == 200, "{url} returned status {}", res.status());
    for line in io::BufReader::with_capacity(1, res.into_body().into_reader()).lines() {
        let line = line?;
        if line.starts_with("data: ") && !on_event(&line) {
            break;
        }
    }
    Ok(())
}

/// Sends `body` to `url` and times the events of the answer.
pub fn time_events(agent: &ureq::Agent, url: &str, body: &str) -> anyhow::Result<Timings> {
    let started_at = time::Instant::now();
    let mut timings =
        Timings { first_event: time::Duration::ZERO, gaps: Vec::new(), data: String::new() };
    let mut last = started_at;
    for_each_event(agent, url, body, |event| {
        let now = time::Instant::now();
        match timings.data.is_empty() {
            true => timings.first_event = now - started_at,
            false => timings.gaps.push(now - last),
        }
        last = now;
        timings.data.push_str(event);
        true
    })?;
    Ok(timings)
}

/// Calls [`time_events`] and repeats the request while it fails, until servers admit it.
pub fn time_events_with_retries(
    agent: &ureq::Agent,
    url: &str,
    body: &str,
) -> anyhow::Result<Timings> {
    for _ in 1..MAX_ATTEMPTS {
        match time_events(agent, url, body) {
            Ok(timings) => return Ok(timings),
            Err(_) => thread::sleep(RETRY_DELAY),
        }
    }
    time_events(agent, url, body)
}
