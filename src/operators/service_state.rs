//! Service state of zones and backend servers, and the paths of the requests that set it.

use crate::{
    agree::{change::Order, record::Target},
    config, name,
};

/// Service state that an operator sets for a zone or backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceState {
    /// Out of service: gets no new work.
    Out,
    /// In service.
    In,
}

impl ServiceState {
    /// Returns the word for the state on command lines and in paths.
    pub fn word(self) -> &'static str {
        match self {
            Self::Out => "out",
            Self::In => "in",
        }
    }

    /// Returns the path of the request that sets this state for `target`.
    pub fn path(self, target: &Target) -> String {
        match target {
            Target::Zone(zone) => format!("/zones/{zone}/{}", self.word()),
            Target::Server(server) => format!("/servers/{server}/{}", self.word()),
        }
    }

    /// Returns the order that sets this state for `target`.
    pub fn order(self, target: Target) -> Order {
        match self {
            Self::Out => Order::Out(target),
            Self::In => Order::In(target),
        }
    }

    /// Parses a path as [`ServiceState::path`] writes it; `None` for any other path.
    pub fn parse(path: &str) -> Option<(Self, Target)> {
        let mut segments = path.strip_prefix('/')?.split('/');
        let (section, name, word) = (segments.next()?, segments.next()?, segments.next()?);
        let state = match word {
            "out" => Self::Out,
            "in" => Self::In,
            _ => return None,
        };
        let target = match section {
            "zones" => Target::Zone(name::Zone::new(name)),
            "servers" => Target::Server(name::Server::new(name)),
            _ => return None,
        };
        (segments.next().is_none() && config::is_valid_name(name)).then_some((state, target))
    }
}
