//! Tasks that keep the gateway's state current from the store and from rank agents.

use std::{cell, collections::BTreeSet, net, rc, time};

use super::{backoff::Backoff, state::Gateway};
use crate::{
    balance::gateways,
    name, peer,
    platform::{
        Store,
        store::{TableChange, WatchedTable},
    },
    rank::{message, relay},
};

/// Longest wait of one call for changes, as a fraction of the time within which a change must be
/// in force: bounds the delay caused by an answer that was lost. The platform counts a machine as
/// disturbed for longer than that after it has lost an answer.
const CHANGE_WAIT_FRACTION: f64 = 1.0;
/// Time between two reads of the registry, as a fraction of the time within which a server that is
/// leaving must stop receiving new work; leaves time for a second read if the first one fails.
const REGISTRY_READ_FRACTION: f64 = 0.7;
/// Delay from finding a server replaced to reading the registry again: servers that return
/// together are read together, and each read costs a call.
const REPLACED_READ_DELAY: time::Duration = time::Duration::from_millis(250);
/// Time between two reads of the operators' table while evacuations are kept that a restored store
/// lacks.
const KEPT_EVACUATIONS_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two checks for groups of engines that are not watched yet.
const GROUP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time without a load report after which another agent of the group is asked; an agent sends one
/// about every 100 ms.
const LOADS_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Delay before the agents of a group are asked again, after each of them was asked.
const ASK_AGENTS_DELAY: time::Duration = time::Duration::from_millis(150);

/// Applies the operators' configuration and zone evacuations from the store whenever they change.
pub async fn watch_operator_state(store: Store, gateway: rc::Rc<Gateway>) {
    let mut backoff = Backoff::new("orders");
    let mut version = None;
    loop {
        let update = async {
            let changed = match version {
                // Evacuations that are kept end at a time, without a change of the table.
                Some(_) if gateway.keeps_evacuations() => {
                    tokio::time::sleep(KEPT_EVACUATIONS_CHECK_INTERVAL).await;
                    TableChange::Changed
                }
                Some(version) => {
                    store
                        .wait_for_change(
                            WatchedTable::Operators,
                            version,
                            gateway.max_view_age().orders.mul_f64(CHANGE_WAIT_FRACTION),
                        )
                        .await?
                }
                None => TableChange::Changed,
            };
            match changed {
                TableChange::Unchanged { version } => Ok(version),
                TableChange::Changed => {
                    let operator_state = store.read_operator_state().await?;
                    let version = operator_state.version;
                    gateway.apply_operator_state(operator_state);
                    Ok(version)
                }
            }
        };
        version = backoff.record(&gateway, update.await).await;
    }
}

/// Reads the registry of backend servers at regular intervals, soon after a server was found
/// replaced, and when a server that is missing from it is due to count as gone.
pub async fn watch_servers(store: Store, gateway: rc::Rc<Gateway>) {
    let mut backoff = Backoff::new("registry");
    loop {
        match store.read_servers().await {
            Ok(registrations) => {
                backoff.reset(&gateway);
                gateway.update_registry(registrations, store.era());
                let interval = gateway.max_view_age().servers.mul_f64(REGISTRY_READ_FRACTION);
                let delay =
                    gateway.time_to_registry_expiry().map_or(interval, |left| left.min(interval));
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = gateway.server_replaced.notified() => {
                        tokio::time::sleep(REPLACED_READ_DELAY).await
                    }
                }
            }
            Err(err) => {
                gateway.record_failed_registry_read();
                backoff.wait(&gateway, &err).await
            }
        }
    }
}

/// Sends this gateway's heartbeats to the store, and counts the gateways that send theirs.
pub async fn send_heartbeats(store: Store, gateway: rc::Rc<Gateway>, host: name::Host) {
    let mut backoff = Backoff::new("gateways");
    let mut interval = gateways::FIRST_HEARTBEAT_INTERVAL;
    loop {
        let exchange = async {
            store.announce_gateway(&host).await?;
            store.read_gateways().await
        };
        match exchange.await {
            Ok(versions) => {
                backoff.reset(&gateway);
                gateway.record_heartbeats(versions);
                tokio::time::sleep(interval.mul_f64(gateway.random_between(0.9, 1.1))).await;
                interval = gateways::HEARTBEAT_INTERVAL;
            }
            Err(err) => backoff.wait(&gateway, &err).await,
        }
    }
}

/// Receives the loads of each group of engines, as reported by the group's owner.
pub async fn watch_loads(gateway: rc::Rc<Gateway>, token: String, peer_port: u16) {
    let source_choice = gateway.random_u64();
    let watched = rc::Rc::new(cell::RefCell::new(BTreeSet::new()));
    let peers = peer::Pool::new(&token);
    loop {
        for group in gateway.engine_groups().into_keys() {
            if watched.borrow_mut().insert(group.clone()) {
                let (gateway, peers) = (rc::Rc::clone(&gateway), rc::Rc::clone(&peers));
                let watched = rc::Rc::clone(&watched);
                tokio::task::spawn_local(async move {
                    watch_group(&gateway, &peers, &group, peer_port, source_choice).await;
                    watched.borrow_mut().remove(&group);
                });
            }
        }
        tokio::time::sleep(GROUP_CHECK_INTERVAL).await;
    }
}

/// Receives the loads of one group until the group is no longer listed. `source_choice` is a random
/// number that decides which agents are asked first.
async fn watch_group(
    gateway: &Gateway,
    peers: &peer::Pool,
    group: &str,
    peer_port: u16,
    source_choice: u64,
) {
    let mut silence_logged = false;
    loop {
        let Some(engines) = gateway.engine_groups().remove(group) else { return };
        for rank in relay::load_sources(engines.len(), source_choice) {
            let engine = engines[rank];
            let agent = net::SocketAddr::new(engine.ip(), peer_port);
            let reports = receive_loads(gateway, peers, group, agent).await;
            if reports > 0 {
                log::info!(
                    group, agent:%, reports;
                    "agent stopped reporting the group's loads; asking the group's agents in turn"
                );
                silence_logged = false;
            }
        }
        if !std::mem::replace(&mut silence_logged, true) {
            log::info!(group; "no agent reports the loads of the group");
        }
        tokio::time::sleep(ASK_AGENTS_DELAY).await;
    }
}

/// Receives load reports from one agent as long as it has those of the group's owner; returns their
/// number.
async fn receive_loads(
    gateway: &Gateway,
    peers: &peer::Pool,
    group: &str,
    agent: net::SocketAddr,
) -> u64 {
    let starting = peers.exchange(agent, message::LOADS_PATH, &());
    let mut reports = 0;
    let Ok(Ok(mut source)) = tokio::time::timeout(LOADS_TIMEOUT, starting).await else {
        peers.remove(agent);
        return reports;
    };
    while let Ok(Ok(Some(loads))) = tokio::time::timeout(LOADS_TIMEOUT, source.next()).await {
        let loads: message::Loads = loads;
        if !loads.is_owner {
            return reports;
        }
        if reports == 0 {
            log::info!(agent:%, engines = loads.engines.len(); "receiving load reports of a group");
        }
        reports += 1;
        gateway.record_loads(group, &loads);
    }
    peers.remove(agent);
    reports
}
