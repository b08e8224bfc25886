//! Decides for one group: what operators asked goes first, then stragglers, then the plan.

use std::time;

use crate::group::{history, map, plan, straggler};

/// What an operator asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Leave the map as it is until thawed; changes under way are given up.
    Freeze,
    /// Take decisions again.
    Thaw,
    /// Go to this map whatever it costs.
    Force(map::Map),
    /// Go back to the map before, and freeze.
    Undo,
}

/// What the group is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Nothing.
    Rest,
    /// Propose this map.
    Propose(map::Map),
    /// Propose the map before, known by its digest alone.
    Return(u64),
    /// Give up the change under way.
    Abort,
}

/// Decisions of one group, with what operators asked and why each was taken.
#[derive(Clone, Debug, Default)]
pub struct Duty {
    frozen: bool,
    asked: Option<Ask>,
    watch: straggler::Watch,
    slow: Vec<straggler::Straggler>,
    history: history::History,
}

/// State of the change machinery that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Whether a change may be proposed.
    pub idle: bool,
    /// The map before the one in use.
    pub previous: Option<map::Id>,
}

impl Duty {
    /// Takes an operator's wish; the newest counts.
    pub fn ask(&mut self, ask: Ask) {
        match ask {
            Ask::Freeze | Ask::Undo => self.frozen = true,
            Ask::Thaw => self.frozen = false,
            Ask::Force(_) => {}
        }
        self.asked = Some(ask);
    }

    /// Takes in the time and tokens of each rank in one period.
    pub fn observe(&mut self, now: time::Duration, samples: &[straggler::Sample]) {
        self.slow = self.watch.add(samples);
        for straggler::Straggler { rank, factor } in self.slow.clone() {
            let factor = (factor * 10.0).round() / 10.0;
            self.history.note(now, history::Event::Straggler { rank, factor });
        }
    }

    /// Ranks to drain.
    pub fn stragglers(&self) -> &[straggler::Straggler] {
        &self.slow
    }

    /// Whether an operator froze the map.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// History.
    pub fn history(&self) -> &history::History {
        &self.history
    }

    /// A change came into force or was given up.
    pub fn end(&mut self, now: time::Duration, id: map::Id, committed: bool) {
        let event = match committed {
            true => history::Event::Committed { id },
            false => history::Event::Aborted { id },
        };
        self.history.note(now, event);
    }

    /// Decides; call it once a period and after each wish.
    pub fn decide(
        &mut self,
        now: time::Duration,
        view: plan::View<'_>,
        terms: &plan::Terms,
        progress: Progress,
    ) -> Next {
        match (self.asked.take(), progress.previous) {
            (Some(Ask::Freeze), _) if !progress.idle => Next::Abort,
            (Some(ask @ (Ask::Force(_) | Ask::Undo)), _) if !progress.idle => {
                self.asked = Some(ask);
                Next::Rest
            }
            (Some(Ask::Force(map)), _) => self.begin(now, forced(view, terms, map), true),
            (Some(Ask::Undo), Some(previous)) => Next::Return(previous.digest),
            _ if self.frozen => self.keep(now, plan::Why::Frozen),
            _ if !progress.idle => self.keep(now, plan::Why::Busy),
            _ => self.follow(now, view, terms),
        }
    }

    fn follow(&mut self, now: time::Duration, view: plan::View<'_>, terms: &plan::Terms) -> Next {
        match plan::decide(view, terms) {
            plan::Decision::Change(change) => {
                self.history.sample(now, change.skew.0);
                self.begin(now, *change, false)
            }
            plan::Decision::Keep { why, skew } => {
                self.history.sample(now, skew);
                let slow = !self.slow.is_empty() && why != plan::Why::NoCounts;
                self.keep(now, if slow { plan::Why::Straggler } else { why })
            }
        }
    }

    fn begin(&mut self, now: time::Duration, change: plan::Change, asked: bool) -> Next {
        let plan::Change { map, moves, bytes, skew: (before, after), saving, cost } = change;
        let event = history::Event::Begun { moves, bytes, before, after, saving, cost, asked };
        self.history.note(now, event);
        Next::Propose(map)
    }

    fn keep(&mut self, now: time::Duration, why: plan::Why) -> Next {
        self.history.note(now, history::Event::Kept { why });
        Next::Rest
    }
}

fn forced(view: plan::View<'_>, terms: &plan::Terms, map: map::Map) -> plan::Change {
    let moves = view.map.moves(&map).len();
    let skew = (plan::skew(view.map, view.counts), plan::skew(&map, view.counts));
    let bytes = moves as u64 * terms.expert_bytes;
    plan::Change { map, moves, bytes, skew, saving: 0.0, cost: terms.cost_of(moves) }
}
