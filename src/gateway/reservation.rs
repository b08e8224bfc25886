//! One attempt's slot at a backend server, and what the gateway learns of the server from it.

use std::{net, rc, time};

use super::{
    forward::RoutedRequest,
    state::{Gateway, State},
};
use crate::{
    balance::{crash_note, quarantine, selector},
    http::client,
    name,
    platform::exchange,
    site::registry::Registration,
};

/// A slot at a backend server that is reserved for one attempt; released when dropped.
pub struct Reservation {
    gateway: rc::Rc<Gateway>,
    /// Name of the server.
    pub server: name::Server,
    /// Address of the server.
    pub addr: net::SocketAddr,
    /// Requests of this gateway that the server had before this one.
    pub in_flight: u32,
    outcome: selector::Outcome,
    /// Start of the server's incarnation, in Unix milliseconds.
    started_ms: u64,
    /// Service of the request.
    service: name::Service,
    /// Fingerprints of the request.
    fingerprints: rc::Rc<[name::Fingerprint]>,
    /// Group that the server is a rank of.
    group: Option<String>,
    /// Events of a stream that the server has sent.
    events: u64,
    /// Time of the reservation.
    reserved_at: time::Duration,
    /// Time of the reservation or of the latest event.
    active_at: time::Duration,
}

impl Reservation {
    /// Creates the reservation for an attempt of `req` at a server, whose `registration` is `None` if
    /// it is no longer registered.
    pub fn new(
        gateway: rc::Rc<Gateway>,
        (server, addr): (name::Server, net::SocketAddr),
        in_flight: u32,
        registration: Option<&Registration>,
        req: &RoutedRequest,
    ) -> Self {
        let now = gateway.now();
        let member = registration.and_then(|registration| registration.member.as_ref());
        Self {
            gateway,
            server,
            addr,
            in_flight,
            outcome: selector::Outcome::Neutral,
            started_ms: registration.map_or(0, |registration| registration.started_ms),
            service: req.service.clone(),
            fingerprints: rc::Rc::clone(&req.fingerprints),
            group: member.map(|member| member.group.clone()),
            events: 0,
            reserved_at: now,
            active_at: now,
        }
    }

    /// Returns the group that the server is a rank of.
    pub fn group(&self) -> Option<&str> {
        self.group.as_deref()
    }

    /// Records that the server has sent `events` events of a stream so far.
    pub fn record_events(&mut self, events: u64) {
        let now = self.gateway.now();
        let previous = std::mem::replace(&mut self.events, events);
        self.active_at = now;
        self.record_activity();
        let state = &mut *self.gateway.state.borrow_mut();
        if previous < quarantine::ANSWERED_EVENTS && events >= quarantine::ANSWERED_EVENTS {
            self.record_harmless(state, now);
        }
        if previous == 0 {
            let queue = state.queues.entry(self.service.clone()).or_default();
            queue.record_first_answer(now.saturating_sub(self.reserved_at));
        }
        match &self.group {
            Some(group) if previous == 0 => state.progress.begin_stream(group, now),
            Some(group) => state.progress.record_event(group, now),
            None => {}
        }
    }

    /// Records that the server answered the request, at least for the most part.
    fn record_harmless(&self, state: &mut State, now: time::Duration) {
        if state.quarantine.record_answer(&self.fingerprints, now) {
            self.gateway.notes_pending.notify_one();
        }
    }

    /// Records that the server sent something, so that it has not crashed.
    pub fn record_activity(&self) {
        let now = self.gateway.now();
        let quarantine = &mut self.gateway.state.borrow_mut().quarantine;
        if quarantine.record_activity(&self.incarnation(), now) {
            self.gateway.notes_pending.notify_one();
        }
    }

    /// Records what the server said about itself in an answer. It holds at once, before the registry
    /// shows it and while the store is unavailable. A limit ends only with an answer of a request
    /// that ran, `has_run`, and does not name it.
    pub fn record_notice(&self, notice: exchange::ServerNotice, has_run: bool) {
        let now = self.gateway.now();
        let (server, state) = (&self.server, &mut *self.gateway.state.borrow_mut());
        if notice.leaving && state.registry.mark_leaving(server) {
            log::info!(server:%; "server says that it is leaving");
        }
        if let Some(pause) = notice.pause {
            log::info!(server:%, pause_ms = pause.as_millis() as u64; "server asks for a pause");
            state.selector.pause(server, pause, now);
        }
        let limit = notice.limit_per_s;
        if (has_run || limit.is_some())
            && state.selector.set_limit(server, limit, self.reserved_at, now)
        {
            log::info!(server:%, limit_per_s:? = limit; "server's limit changed");
        }
    }

    fn incarnation(&self) -> crash_note::Incarnation<'_> {
        crash_note::Incarnation {
            server: &self.server,
            started_ms: self.started_ms,
            group: self.group.as_deref(),
        }
    }

    /// Records that the server answered the request successfully and completely.
    pub fn record_complete_answer(&mut self) {
        self.set_outcome(selector::Outcome::Success);
        let now = self.gateway.now();
        let state = &mut *self.gateway.state.borrow_mut();
        self.record_harmless(state, now);
        if self.events == 0 {
            let queue = state.queues.entry(self.service.clone()).or_default();
            queue.record_first_answer(now.saturating_sub(self.reserved_at));
        }
    }

    /// Records that the server's answer to `req` broke off, or did not come, because of `failure`.
    pub fn record_break(&self, req: &RoutedRequest, failure: &client::Failure) {
        let now = self.gateway.now();
        let silent_for = now.saturating_sub(self.active_at);
        // The ranks of a group that stall with a crashed one break off later. A server without a group
        // may have crashed at any time.
        let may_have_crashed = self.group.is_none() || silent_for <= self.gateway.max_crash_silence;
        // A server that sends anything has not crashed.
        let has_crashed = may_have_crashed && !matches!(failure, client::Failure::Defective(_));
        let fingerprints: Vec<&str> =
            req.fingerprints.iter().map(name::Fingerprint::as_str).collect();
        log::info!(
            req:% = req.id,
            server:% = self.server,
            events = self.events,
            silent_ms = silent_for.as_millis() as u64,
            has_crashed,
            fingerprints:% = fingerprints.join(","),
            problem = failure.problem();
            "answer broke off"
        );
        if has_crashed && self.events < quarantine::ANSWERED_EVENTS {
            let quarantine = &mut self.gateway.state.borrow_mut().quarantine;
            let (server, sent_at) = (self.incarnation(), self.reserved_at);
            if quarantine.record_crash(&server, &self.fingerprints, sent_at, now) {
                self.gateway.notes_pending.notify_one();
            }
        }
    }

    /// Sets the outcome of the attempt; without a call it stays neutral.
    pub fn set_outcome(&mut self, outcome: selector::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = self.gateway.now();
        {
            let mut state = self.gateway.state.borrow_mut();
            state.selector.release(&self.server, self.outcome, now);
            if let Some(group) = self.group.as_deref().filter(|_| self.events > 0) {
                state.progress.end_stream(group);
            }
        }
        if self.outcome == selector::Outcome::Replaced {
            self.gateway.server_replaced.notify_one();
        }
        self.gateway.slot_freed.notify_waiters();
    }
}
