//! What one process holds to be in force.

use std::{collections, net, sync::Arc};

use crate::{config, name};

/// A snapshot of the configuration in force and of where backend servers are.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Version of the configuration; 0 before the first is server_config.
    pub version: u64,
    /// The operators' text as parsed.
    pub config: Arc<config::Config>,
    /// Zones and servers out of service, with orders not yet durable.
    pub out: config::Out,
    /// Address of the sidecar of each backend server.
    pub sidecar_addresses: collections::BTreeMap<name::Server, net::SocketAddr>,
}

impl View {
    /// Kind of the service that `server` serves; `None` if it is not server_config.
    pub fn kind(&self, server: &name::Server) -> Option<config::Kind> {
        let server_config = self.config.servers.get(server)?;
        Some(self.config.services.get(&server_config.service)?.kind)
    }

    /// Whether new work may go to `server`.
    pub fn allows(&self, server: &name::Server) -> bool {
        let server_config = self.config.servers.get(server);
        server_config.is_some_and(|server_config| self.out.allows(server, &server_config.zone))
    }

    /// Whether a backend server of each service is placed.
    pub fn all_services_reachable(&self) -> bool {
        let servers = &self.config.servers;
        let has_address = |service: &name::Service| {
            let mut serving =
                servers.iter().filter(|(_, server_config)| server_config.service == *service);
            serving.any(|(name, _)| self.sidecar_addresses.contains_key(name))
        };
        self.config.services.keys().all(has_address)
    }

    /// Backend servers of `service` that are server_config, placed and not out.
    pub fn candidates<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = (&'a name::Server, &'a config::Server, net::SocketAddr)> {
        self.config
            .servers
            .iter()
            .filter(move |(_, server_config)| server_config.service == *service)
            .filter(|(name, server_config)| self.out.allows(name, &server_config.zone))
            .filter_map(|(name, server_config)| {
                Some((name, server_config, *self.sidecar_addresses.get(name)?))
            })
    }
}
