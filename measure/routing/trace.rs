//! Recorded traces: requests and what happens to zones and servers.
//!
//! One line each, times in milliseconds:
//! `r AT WORKSPACE PRIORITY SESSION SHARED HISTORY ANSWER DEADLINE` and
//! `e AT WHAT NAME`, with token counts for `SHARED` (prefix common to the
//! workspace), `HISTORY` (prefix of the session) and `ANSWER`.

use std::{fmt, fmt::Write as _, time};

use anyhow::{Context as _, bail};
use knapweedford::{config, name, policy::prefix};

/// One recorded request.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: time::Duration,
    pub workspace: name::Workspace,
    pub priority: config::Priority,
    pub session: u64,
    pub shared: u32,
    pub history: u32,
    pub answer: u32,
    pub deadline: time::Duration,
}

impl Request {
    /// Keys of the two prefixes: the workspace's and the session's.
    pub fn chain(&self) -> prefix::PrefixKeys {
        prefix::PrefixKeys::new(vec![self.root(), self.session])
    }

    /// Key of the workspace's prefix.
    pub fn root(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.workspace.as_str().as_bytes())
    }
}

/// What happens to a zone or server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum What {
    /// Operators take the zone out; its servers finish what they have.
    ZoneOut,
    /// The zone's servers stop; they start cold when it returns.
    ZoneStop,
    /// Operators bring the zone back.
    ZoneIn,
    /// The server dies and starts again cold.
    Restart,
    /// The server turns cold without a new incarnation.
    Cool,
}

/// One recorded event.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: time::Duration,
    pub what: What,
    pub name: String,
}

/// A whole trace.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    pub requests: Vec<Request>,
    pub events: Vec<Event>,
}

impl Trace {
    /// Reads a trace from its text.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut trace = Self::default();
        for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.starts_with('#')) {
            trace.line(line).with_context(|| format!("Line {} does not parse.", at + 1))?;
        }
        Ok(trace)
    }

    fn line(&mut self, line: &str) -> anyhow::Result<()> {
        let fields: Vec<_> = line.split(' ').collect();
        match fields[..] {
            ["r", at, workspace, priority, session, shared, history, answer, deadline] => {
                self.requests.push(Request {
                    at: ms(at)?,
                    workspace: workspace.into(),
                    priority: match priority {
                        "b" => config::Priority::Batch,
                        _ => config::Priority::Interactive,
                    },
                    session: session.parse()?,
                    shared: shared.parse()?,
                    history: history.parse()?,
                    answer: answer.parse()?,
                    deadline: ms(deadline)?,
                });
            }
            ["e", at, what, name] => {
                let what = match what {
                    "zone-out" => What::ZoneOut,
                    "zone-stop" => What::ZoneStop,
                    "zone-in" => What::ZoneIn,
                    "restart" => What::Restart,
                    "cool" => What::Cool,
                    _ => bail!("Unknown event {what}."),
                };
                self.events.push(Event { at: ms(at)?, what, name: name.into() });
            }
            _ => bail!("Neither a request nor an event."),
        }
        Ok(())
    }

    /// The same requests, arriving `scale` times as fast. Events stay where they are.
    pub fn scaled(&self, scale: f64) -> Self {
        let mut trace = self.clone();
        for req in &mut trace.requests {
            req.at = req.at.div_f64(scale);
        }
        trace
    }

    /// The requests `times` times over, each time with fresh sessions; events stay once.
    pub fn repeated(&self, times: u32) -> Self {
        let span = self.span();
        let again = |round: u32| {
            self.requests.iter().cloned().map(move |mut req| {
                req.at += span * round;
                req.session += u64::from(round) << 32;
                req
            })
        };
        Self { requests: (0..times).flat_map(again).collect(), events: self.events.clone() }
    }

    /// The trace without its events.
    pub fn calm(&self) -> Self {
        Self { requests: self.requests.clone(), events: Vec::new() }
    }

    /// Time of the last arrival.
    pub fn span(&self) -> time::Duration {
        self.requests.last().map_or(time::Duration::ZERO, |req| req.at)
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        for event in &self.events {
            let what = match event.what {
                What::ZoneOut => "zone-out",
                What::ZoneStop => "zone-stop",
                What::ZoneIn => "zone-in",
                What::Restart => "restart",
                What::Cool => "cool",
            };
            writeln!(text, "e {} {what} {}", event.at.as_millis(), event.name)?;
        }
        for req in &self.requests {
            let priority = if req.priority == config::Priority::Batch { 'b' } else { 'i' };
            writeln!(
                text,
                "r {} {} {priority} {} {} {} {} {}",
                req.at.as_millis(),
                req.workspace,
                req.session,
                req.shared,
                req.history,
                req.answer,
                req.deadline.as_millis()
            )?;
        }
        f.write_str(&text)
    }
}

fn ms(text: &str) -> anyhow::Result<time::Duration> {
    Ok(time::Duration::from_millis(text.parse()?))
}
