//! One process's view of the configuration in force and of the sidecars' addresses.

use std::{collections, net, sync::Arc};

use crate::{config, name};

/// Snapshot of the configuration in force and of the addresses of the sidecars.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Version of the configuration; 0 before the first one is known.
    pub version: u64,
    /// The parsed configuration.
    pub config: Arc<config::Config>,
    /// Zones and servers that are out of service, including by orders that are not durable yet.
    pub out: config::OutOfService,
    /// Address of the sidecar of each backend server.
    pub sidecar_addresses: collections::BTreeMap<name::Server, net::SocketAddr>,
}

impl View {
    /// Returns the kind of the service that `server` serves; `None` if the server is unknown.
    pub fn kind(&self, server: &name::Server) -> Option<config::Kind> {
        let server_config = self.config.servers.get(server)?;
        Some(self.config.services.get(&server_config.service)?.kind)
    }

    /// Returns whether new requests may be sent to `server`.
    pub fn allows(&self, server: &name::Server) -> bool {
        let server_config = self.config.servers.get(server);
        server_config.is_some_and(|server_config| self.out.allows(server, &server_config.zone))
    }

    /// Returns whether each service has a backend server with a known sidecar address.
    pub fn all_services_reachable(&self) -> bool {
        let servers = &self.config.servers;
        let has_address = |service: &name::Service| {
            let mut serving =
                servers.iter().filter(|(_, server_config)| server_config.service == *service);
            serving.any(|(name, _)| self.sidecar_addresses.contains_key(name))
        };
        self.config.services.keys().all(has_address)
    }

    /// Returns the backend servers of `service` that have a known sidecar address and are not out
    /// of service.
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
