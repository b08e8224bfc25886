//! Paths that take zones and backend servers out of service and bring them back.

use crate::{
    agree::{change::Order, record::Target},
    config, name,
};

/// Whether something is taken out of service or brought back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceState {
    /// Taken out.
    Out,
    /// Brought back.
    In,
}

impl ServiceState {
    /// The word for it on command lines and in paths.
    pub fn word(self) -> &'static str {
        match self {
            Self::Out => "out",
            Self::In => "in",
        }
    }

    /// Path of the request that turns `target`.
    pub fn path(self, target: &Target) -> String {
        match target {
            Target::Zone(zone) => format!("/zones/{zone}/{}", self.word()),
            Target::Server(server) => format!("/servers/{server}/{}", self.word()),
        }
    }

    /// The order that turns `target`.
    pub fn order(self, target: Target) -> Order {
        match self {
            Self::Out => Order::Out(target),
            Self::In => Order::In(target),
        }
    }

    /// Reads a path as [`ServiceState::path`] writes it; `None` for any other path.
    pub fn parse(path: &str) -> Option<(Self, Target)> {
        let mut steps = path.strip_prefix('/')?.split('/');
        let (section, name, word) = (steps.next()?, steps.next()?, steps.next()?);
        let turn = match word {
            "out" => Self::Out,
            "in" => Self::In,
            _ => return None,
        };
        let target = match section {
            "zones" => Target::Zone(name::Zone::new(name)),
            "servers" => Target::Server(name::Server::new(name)),
            _ => return None,
        };
        (steps.next().is_none() && config::is_name(name)).then_some((turn, target))
    }
}
