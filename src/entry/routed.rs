//! One attempt on its way, which reports its end when dropped.

use std::{net, sync::mpsc};

use super::{
    Event,
    event::{Outcome, Target},
};
use crate::{name, policy::scheduler};

/// A routed attempt; reports its end when dropped.
pub struct Routed {
    /// Address of the sidecar.
    pub address: net::SocketAddr,
    /// The placement.
    pub ticket: scheduler::Ticket,
    service: name::Service,
    events: mpsc::Sender<Event>,
    outcome: Option<Outcome>,
}

impl Routed {
    /// Wraps a decision of the core.
    pub fn new(to: Target, service: &name::Service, events: mpsc::Sender<Event>) -> Self {
        let Target { address, ticket } = to;
        let outcome = Some(Outcome::Cancelled);
        Self { address, ticket, service: service.clone(), events, outcome }
    }

    /// Name of the backend server.
    pub fn server(&self) -> &name::Server {
        &self.ticket.server
    }

    /// Tells what was seen while the attempt goes on.
    pub fn tell(&self, outcome: Outcome) {
        self.send(outcome, false);
    }

    /// Ends the attempt with `outcome`.
    pub fn report(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    fn send(&self, outcome: Outcome, over: bool) {
        let (service, ticket) = (self.service.clone(), self.ticket.clone());
        let _ = self.events.send(Event::News { service, ticket, outcome, over });
    }
}

impl Drop for Routed {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            self.send(outcome, true);
        }
    }
}
