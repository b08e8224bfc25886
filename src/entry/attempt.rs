//! Handle of one attempt, which reports the attempt's end to the core when it is dropped.

use std::{net, sync::mpsc};

use super::{
    Event,
    event::{Outcome, Target},
};
use crate::{name, policy::scheduler};

/// Attempt at the backend server that the core chose. When dropped, it reports its end to the core:
/// the outcome given to [`Attempt::finish`], else [`Outcome::Cancelled`].
pub struct Attempt {
    /// Address of the server's sidecar.
    pub address: net::SocketAddr,
    /// The scheduler's ticket for the attempt.
    pub ticket: scheduler::Ticket,
    service: name::Service,
    events: mpsc::Sender<Event>,
    outcome: Option<Outcome>,
}

impl Attempt {
    /// Creates the attempt at the `target` that the core chose.
    pub fn new(target: Target, service: &name::Service, events: mpsc::Sender<Event>) -> Self {
        let Target { address, ticket } = target;
        let outcome = Some(Outcome::Cancelled);
        Self { address, ticket, service: service.clone(), events, outcome }
    }

    /// Returns the name of the backend server.
    pub fn server(&self) -> &name::Server {
        &self.ticket.server
    }

    /// Reports `outcome` to the core while the attempt continues.
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
