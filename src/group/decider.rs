//! Decides what to do with one group's map: requests of operators come first, then stragglers,
//! then the plan.

use std::time;

use crate::group::{history, map, plan, straggler};

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Keep the map until a thaw, and abort a change that is under way.
    Freeze,
    /// Resume decisions.
    Thaw,
    /// Change to this map, whatever it costs.
    Force(map::Map),
    /// Change back to the previous map, and freeze.
    Undo,
}

/// The next action on the group's map.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Do nothing.
    Keep,
    /// Propose this map.
    Propose(map::Map),
    /// Propose the previous map, known only by its digest.
    Restore(u64),
    /// Abort the change that is under way.
    Abort,
}

/// Decides for one group, and records each decision with its reason.
#[derive(Clone, Debug, Default)]
pub struct Decider {
    frozen: bool,
    request: Option<OperatorRequest>,
    detector: straggler::Detector,
    stragglers: Vec<straggler::Straggler>,
    history: history::History,
}

/// The state of the change protocol that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChangeStatus {
    /// Whether a change may be proposed.
    pub idle: bool,
    /// The map that was in use before the current one.
    pub previous: Option<map::Id>,
}

impl Decider {
    /// Sets the operator request for the next decision; a later request replaces an earlier one.
    ///
    /// Freeze and undo freeze the map at once, so that no decision overrides them later.
    pub fn set_request(&mut self, request: OperatorRequest) {
        match request {
            OperatorRequest::Freeze | OperatorRequest::Undo => self.frozen = true,
            OperatorRequest::Thaw => self.frozen = false,
            OperatorRequest::Force(_) => {}
        }
        self.request = Some(request);
    }

    /// Adds the tokens and busy time of each rank in one period, and updates the stragglers.
    pub fn record_samples(&mut self, now: time::Duration, samples: &[straggler::Sample]) {
        self.stragglers = self.detector.add_period(samples);
        for straggler::Straggler { rank, factor } in self.stragglers.clone() {
            let factor = (factor * 10.0).round() / 10.0;
            self.history.record_event(now, history::Event::Straggler { rank, factor });
        }
    }

    /// Returns the ranks to drain.
    pub fn stragglers(&self) -> &[straggler::Straggler] {
        &self.stragglers
    }

    /// Whether an operator froze the map.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Returns the history of decisions and changes.
    pub fn history(&self) -> &history::History {
        &self.history
    }

    /// Records that the change to `id` was committed or aborted.
    pub fn record_outcome(&mut self, now: time::Duration, id: map::Id, committed: bool) {
        let event = match committed {
            true => history::Event::Committed { id },
            false => history::Event::Aborted { id },
        };
        self.history.record_event(now, event);
    }

    /// Decides on the next action. Call it once per period and after each operator request.
    ///
    /// A freeze aborts a change that is under way. A force or undo waits until that change has
    /// ended, since only one change can be under way.
    pub fn decide(
        &mut self,
        now: time::Duration,
        view: plan::GroupView<'_>,
        params: &plan::Parameters,
        status: ChangeStatus,
    ) -> Action {
        match (self.request.take(), status.previous) {
            (Some(OperatorRequest::Freeze), _) if !status.idle => Action::Abort,
            (Some(request @ (OperatorRequest::Force(_) | OperatorRequest::Undo)), _)
                if !status.idle =>
            {
                self.request = Some(request);
                Action::Keep
            }
            (Some(OperatorRequest::Force(map)), _) => {
                self.begin_change(now, forced_change(view, params, map), true)
            }
            (Some(OperatorRequest::Undo), Some(previous)) => Action::Restore(previous.digest),
            _ if self.frozen => self.keep(now, plan::KeepReason::Frozen),
            _ if !status.idle => self.keep(now, plan::KeepReason::Busy),
            _ => self.follow_plan(now, view, params),
        }
    }

    /// Follows the plan. If it keeps the map while there are stragglers, the recorded reason is the
    /// straggler.
    fn follow_plan(
        &mut self,
        now: time::Duration,
        view: plan::GroupView<'_>,
        params: &plan::Parameters,
    ) -> Action {
        match plan::decide(view, params) {
            plan::Decision::Change(change) => {
                self.history.record_skew(now, change.skew.0);
                self.begin_change(now, *change, false)
            }
            plan::Decision::Keep { why, skew } => {
                self.history.record_skew(now, skew);
                let slow_rank = !self.stragglers.is_empty() && why != plan::KeepReason::NoCounts;
                self.keep(now, if slow_rank { plan::KeepReason::Straggler } else { why })
            }
        }
    }

    fn begin_change(&mut self, now: time::Duration, change: plan::Change, asked: bool) -> Action {
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

fn forced_change(
    view: plan::GroupView<'_>,
    params: &plan::Parameters,
    map: map::Map,
) -> plan::Change {
    let moves = view.map.moves_to(&map).len();
    let skew = (plan::mean_skew(view.map, view.popularity), plan::mean_skew(&map, view.popularity));
    let bytes = moves as u64 * params.expert_bytes;
    plan::Change { map, moves, bytes, skew, saving: 0.0, cost: params.change_cost_s(moves) }
}
