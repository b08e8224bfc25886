//! Decides for one group: what operators asked goes first, then stragglers, then the plan.

use std::time;

use crate::group::{history, map, plan, straggler};

/// What an operator asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
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
pub enum Action {
    /// Nothing.
    Keep,
    /// Propose this map.
    Propose(map::Map),
    /// Propose the map before, known by its digest alone.
    Restore(u64),
    /// Give up the change under way.
    Abort,
}

/// Decisions of one group, with what operators asked and why each was taken.
#[derive(Clone, Debug, Default)]
pub struct Decider {
    frozen: bool,
    asked: Option<OperatorRequest>,
    watch: straggler::Detector,
    slow: Vec<straggler::Straggler>,
    history: history::History,
}

/// State of the change machinery that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChangeStatus {
    /// Whether a change may be proposed.
    pub idle: bool,
    /// The map before the one in use.
    pub previous: Option<map::Id>,
}

impl Decider {
    /// Takes an operator's wish; the newest counts.
    pub fn set_request(&mut self, ask: OperatorRequest) {
        match ask {
            OperatorRequest::Freeze | OperatorRequest::Undo => self.frozen = true,
            OperatorRequest::Thaw => self.frozen = false,
            OperatorRequest::Force(_) => {}
        }
        self.asked = Some(ask);
    }

    /// Takes in the time and tokens of each rank in one period.
    pub fn record_samples(&mut self, now: time::Duration, samples: &[straggler::Sample]) {
        self.slow = self.watch.add_period(samples);
        for straggler::Straggler { rank, factor } in self.slow.clone() {
            let factor = (factor * 10.0).round() / 10.0;
            self.history.record_event(now, history::Event::Straggler { rank, factor });
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
    pub fn record_outcome(&mut self, now: time::Duration, id: map::Id, committed: bool) {
        let event = match committed {
            true => history::Event::Committed { id },
            false => history::Event::Aborted { id },
        };
        self.history.record_event(now, event);
    }

    /// Decides; call it once a period and after each wish.
    pub fn decide(
        &mut self,
        now: time::Duration,
        view: plan::GroupView<'_>,
        terms: &plan::Parameters,
        progress: ChangeStatus,
    ) -> Action {
        match (self.asked.take(), progress.previous) {
            (Some(OperatorRequest::Freeze), _) if !progress.idle => Action::Abort,
            (Some(ask @ (OperatorRequest::Force(_) | OperatorRequest::Undo)), _)
                if !progress.idle =>
            {
                self.asked = Some(ask);
                Action::Keep
            }
            (Some(OperatorRequest::Force(map)), _) => {
                self.begin(now, forced(view, terms, map), true)
            }
            (Some(OperatorRequest::Undo), Some(previous)) => Action::Restore(previous.digest),
            _ if self.frozen => self.keep(now, plan::KeepReason::Frozen),
            _ if !progress.idle => self.keep(now, plan::KeepReason::Busy),
            _ => self.follow(now, view, terms),
        }
    }

    fn follow(
        &mut self,
        now: time::Duration,
        view: plan::GroupView<'_>,
        terms: &plan::Parameters,
    ) -> Action {
        match plan::decide(view, terms) {
            plan::Decision::Change(change) => {
                self.history.record_skew(now, change.skew.0);
                self.begin(now, *change, false)
            }
            plan::Decision::Keep { why, skew } => {
                self.history.record_skew(now, skew);
                let slow = !self.slow.is_empty() && why != plan::KeepReason::NoCounts;
                self.keep(now, if slow { plan::KeepReason::Straggler } else { why })
            }
        }
    }

    fn begin(&mut self, now: time::Duration, change: plan::Change, asked: bool) -> Action {
        let plan::Change { map, moves, bytes, skew: (before, after), saving, cost } = change;
        let event = history::Event::Begun { moves, bytes, before, after, saving, cost, asked };
        self.history.record_event(now, event);
        Action::Propose(map)
    }

    fn keep(&mut self, now: time::Duration, why: plan::KeepReason) -> Action {
        self.history.record_event(now, history::Event::Kept { why });
        Action::Keep
    }
}

fn forced(view: plan::GroupView<'_>, terms: &plan::Parameters, map: map::Map) -> plan::Change {
    let moves = view.map.moves_to(&map).len();
    let skew = (plan::mean_skew(view.map, view.popularity), plan::mean_skew(&map, view.popularity));
    let bytes = moves as u64 * terms.expert_bytes;
    plan::Change { map, moves, bytes, skew, saving: 0.0, cost: terms.change_cost_s(moves) }
}
