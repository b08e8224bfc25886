//! Recorded traces of requests and of events at zones and servers.
//!
//! Each line holds one request or one event, with times in milliseconds:
//! `r AT WORKSPACE PRIORITY SESSION SHARED HISTORY ANSWER DEADLINE` or
//! `e AT KIND TARGET`. `PRIORITY` is `i` (interactive) or `b` (batch). `SHARED` (the prefix common
//! to the workspace), `HISTORY` (the prefix of the session) and `ANSWER` are counts of tokens.

use std::{fmt, fmt::Write as _, time};

use anyhow::{Context as _, bail};
use knapweedford::{config, name, policy::prefix};

/// One recorded request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival since the start of the trace.
    pub arrived_at: time::Duration,
    pub workspace: name::Workspace,
    pub priority: config::Priority,
    pub session: u64,
    /// Tokens of the prompt prefix that all requests of the workspace have in common.
    pub shared_tokens: u32,
    /// Tokens of the prompt prefix that earlier requests of the session have sent.
    pub history_tokens: u32,
    pub answer_tokens: u32,
    /// Time limit, counted from the arrival.
    pub deadline: time::Duration,
}

impl Request {
    /// Returns the keys of the workspace's and the session's prefix.
    pub fn prefix_keys(&self) -> prefix::PrefixKeys {
        prefix::PrefixKeys::new(vec![self.workspace_prefix_key(), self.session])
    }

    /// Returns the key of the workspace's prefix.
    pub fn workspace_prefix_key(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.workspace.as_str().as_bytes())
    }
}

/// Kind of an event at a zone or server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// Operators take the zone out; its servers finish the requests in flight.
    ZoneOut,
    /// The zone's servers crash and restart cold.
    ZoneStop,
    /// Operators bring the zone back.
    ZoneIn,
    /// The server crashes and restarts cold.
    Restart,
    /// The server turns cold and keeps its incarnation.
    Cool,
}

/// One recorded event at a zone or server.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time since the start of the trace.
    pub at: time::Duration,
    pub kind: EventKind,
    /// Name of the zone or server.
    pub target: String,
}

/// Requests and events, each in order of time.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    pub requests: Vec<Request>,
    pub events: Vec<Event>,
}

impl Trace {
    /// Parses a trace; an error names the line that does not parse.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut trace = Self::default();
        for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.starts_with('#')) {
            trace
                .parse_line(line)
                .with_context(|| format!("Could not parse line {} of the trace.", at + 1))?;
        }
        Ok(trace)
    }

    fn parse_line(&mut self, line: &str) -> anyhow::Result<()> {
        let fields: Vec<_> = line.split(' ').collect();
        match fields[..] {
            ["r", at, workspace, priority, session, shared, history, answer, deadline] => {
                self.requests.push(Request {
                    arrived_at: parse_ms(at)?,
                    workspace: workspace.into(),
                    priority: match priority {
                        "b" => config::Priority::Batch,
                        _ => config::Priority::Interactive,
                    },
                    session: session.parse()?,
                    shared_tokens: shared.parse()?,
                    history_tokens: history.parse()?,
                    answer_tokens: answer.parse()?,
                    deadline: parse_ms(deadline)?,
                });
            }
            ["e", at, kind, target] => {
                let kind = match kind {
                    "zone-out" => EventKind::ZoneOut,
                    "zone-stop" => EventKind::ZoneStop,
                    "zone-in" => EventKind::ZoneIn,
                    "restart" => EventKind::Restart,
                    "cool" => EventKind::Cool,
                    _ => bail!("Unknown kind of event: {kind}."),
                };
                self.events.push(Event { at: parse_ms(at)?, kind, target: target.into() });
            }
            _ => bail!("The line is neither a request (`r`) nor an event (`e`)."),
        }
        Ok(())
    }

    /// Returns a copy whose requests arrive `scale` times as fast; events keep their times.
    pub fn scaled(&self, scale: f64) -> Self {
        let mut trace = self.clone();
        for req in &mut trace.requests {
            req.arrived_at = req.arrived_at.div_f64(scale);
        }
        trace
    }

    /// Returns a copy that plays the requests `times` times in a row, each time with new
    /// sessions; events happen once.
    pub fn repeated(&self, times: u32) -> Self {
        let span = self.span();
        let requests_of_round = |round: u32| {
            self.requests.iter().cloned().map(move |mut req| {
                req.arrived_at += span * round;
                req.session += u64::from(round) << 32;
                req
            })
        };
        Self {
            requests: (0..times).flat_map(requests_of_round).collect(),
            events: self.events.clone(),
        }
    }

    /// Returns a copy without the events.
    pub fn without_events(&self) -> Self {
        Self { requests: self.requests.clone(), events: Vec::new() }
    }

    /// Returns the time of the last arrival.
    pub fn span(&self) -> time::Duration {
        self.requests.last().map_or(time::Duration::ZERO, |req| req.arrived_at)
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        for event in &self.events {
            let kind = match event.kind {
                EventKind::ZoneOut => "zone-out",
                EventKind::ZoneStop => "zone-stop",
                EventKind::ZoneIn => "zone-in",
                EventKind::Restart => "restart",
                EventKind::Cool => "cool",
            };
            writeln!(text, "e {} {kind} {}", event.at.as_millis(), event.target)?;
        }
        for req in &self.requests {
            let priority = if req.priority == config::Priority::Batch { 'b' } else { 'i' };
            writeln!(
                text,
                "r {} {} {priority} {} {} {} {} {}",
                req.arrived_at.as_millis(),
                req.workspace,
                req.session,
                req.shared_tokens,
                req.history_tokens,
                req.answer_tokens,
                req.deadline.as_millis()
            )?;
        }
        f.write_str(&text)
    }
}

fn parse_ms(text: &str) -> anyhow::Result<time::Duration> {
    Ok(time::Duration::from_millis(text.parse()?))
}
