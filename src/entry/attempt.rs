//! One attempt on its way, which reports its end when dropped.

use std::{net, sync::mpsc};

use super::{
    Event,
    event::{Outcome, Target},
};
use crate::{name, policy::scheduler};

/// A routed attempt; reports its end when dropped.
pub struct Attempt {
    /// Address of the sidecar.
    pub address: net::SocketAddr,
    /// The placement.
    pub ticket: scheduler::Ticket,
    service: name::Service,
    events: mpsc::Sender<Event>,
    outcome: Option<Outcome>,
}

impl Attempt {
    /// Wraps a decision of the core.
    pub fn new(target: Target, service: &name::Service, events: mpsc::Sender<Event>) -> Self {
        let Target { address, ticket } = target;
        let outcome = Some(Outcome::Cancelled);
        Self { address, ticket, service: service.clone(), events, outcome }
    }

    /// Name of the backend server.
    pub fn server(&self) -> &name::Server {
        &self.ticket.server
    }

    /// Tells what was seen while the attempt goes on.
    pub fn report_progress(&self, outcome: Outcome) {
        self.send_update(outcome, false);
    }

    /// Ends the attempt with `outcome`.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    fn send_update(&self, outcome: Outcome, ended: bool) {
        let (service, ticket) = (self.service.clone(), self.ticket.clone());
        let _ = self.events.send(Event::AttemptUpdate { service, ticket, outcome, ended });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            self.send_update(outcome, true);
        }
    }
}
