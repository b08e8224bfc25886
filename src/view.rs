//! What one process holds to be in force.

use std::{collections, net, sync::Arc};

use crate::{config, name};

/// A snapshot of the configuration in force and of where backend servers are.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Version of the configuration; 0 before the first is known.
    pub version: u64,
    /// The operators' text as parsed.
    pub config: Arc<config::Config>,
    /// Zones and servers out of service, with orders not yet durable.
    pub out: config::Out,
    /// Address of the sidecar of each backend server.
    pub places: collections::BTreeMap<name::Server, net::SocketAddr>,
}

impl View {
    /// Kind of the service that `server` serves; `None` if it is not known.
    pub fn kind(&self, server: &name::Server) -> Option<config::Kind> {
        let known = self.config.servers.get(server)?;
        Some(self.config.services.get(&known.service)?.kind)
    }

    /// Whether new work may go to `server`.
    pub fn allows(&self, server: &name::Server) -> bool {
        let known = self.config.servers.get(server);
        known.is_some_and(|known| self.out.allows(server, &known.zone))
    }

    /// Whether a backend server of each service is placed.
    pub fn placed(&self) -> bool {
        let servers = &self.config.servers;
        let placed = |service: &name::Service| {
            let mut of = servers.iter().filter(|(_, known)| known.service == *service);
            of.any(|(name, _)| self.places.contains_key(name))
        };
        self.config.services.keys().all(placed)
    }

    /// Backend servers of `service` that are known, placed and not out.
    pub fn candidates<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = (&'a name::Server, &'a config::Server, net::SocketAddr)> {
        self.config
            .servers
            .iter()
            .filter(move |(_, known)| known.service == *service)
            .filter(|(name, known)| self.out.allows(name, &known.zone))
            .filter_map(|(name, known)| Some((name, known, *self.places.get(name)?)))
    }
}
