//! Keeps the desk current from the platform's store.

use std::{cell, collections::BTreeSet, net, rc, time};

use super::desk::Desk;
use crate::{
    balance::presence,
    name, peer,
    platform::{Store, store::TableChange},
    rank::message,
};

/// Longest wait of one question for changes, as a part of the time within which a change must be
/// in force: how long a connection that went silent delays one.
const CHANGE_WAIT: f64 = 0.5;
/// Time between two reads of the register, as a part of the time within which a server that is
/// leaving must get nothing new; leaves time for a second read if the first is lost.
const REGISTER_EVERY: f64 = 0.45;
/// Time from finding a server replaced to reading the register again: servers that come back
/// together are read together, and each read costs a call.
const REPLACED_PAUSE: time::Duration = time::Duration::from_millis(250);
/// First pause after a failed call, doubled up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Longest pause after a failed call; the store's return must be noticed within a second.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Time between two looks for groups of engines that nobody follows yet.
const GROUPS_EVERY: time::Duration = time::Duration::from_millis(500);
/// Silence of a group's owner after which another agent is asked; its words come every 100 ms.
const LOADS_SILENT: time::Duration = time::Duration::from_millis(600);
/// Pause before another agent is asked.
const LOADS_AGAIN: time::Duration = time::Duration::from_millis(150);

/// Whether the store answers, for the log.
struct Reach {
    what: &'static str,
    lost: Option<time::Duration>,
    pause: time::Duration,
}

impl Reach {
    fn new(what: &'static str) -> Self {
        Self { what, lost: None, pause: FIRST_PAUSE }
    }

    fn good(&mut self, desk: &Desk) {
        if let Some(since) = self.lost.take() {
            let away_ms = desk.now().saturating_sub(since).as_millis() as u64;
            log::info!(what = self.what, away_ms; "store regained");
        }
        self.pause = FIRST_PAUSE;
    }

    async fn bad(&mut self, desk: &Desk, err: &crate::Error) {
        if self.lost.is_none() {
            self.lost = Some(desk.now());
            log::warn!(what = self.what; "store lost: {err}");
        }
        let spread = desk.between(0.5, 1.0);
        tokio::time::sleep(self.pause.mul_f64(spread)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

/// Follows what operators want.
pub async fn orders(store: Store, desk: rc::Rc<Desk>) {
    let mut reach = Reach::new("orders");
    let mut version = None;
    loop {
        let step = async {
            let changed = match version {
                Some(version) => {
                    store
                        .wait_for_change(version, desk.within().orders.mul_f64(CHANGE_WAIT))
                        .await?
                }
                None => TableChange::Changed,
            };
            match changed {
                TableChange::Unchanged { version } => Ok(version),
                TableChange::Changed => {
                    let orders = store.read_operator_state().await?;
                    let version = orders.version;
                    desk.adopt(orders);
                    Ok(version)
                }
            }
        };
        match step.await {
            Ok(newest) => {
                reach.good(&desk);
                version = Some(newest);
            }
            Err(err) => {
                reach.bad(&desk, &err).await;
                version = None;
            }
        }
    }
}

/// Follows the register of backend servers.
pub async fn servers(store: Store, desk: rc::Rc<Desk>) {
    let mut reach = Reach::new("register");
    loop {
        match store.read_servers().await {
            Ok(entries) => {
                reach.good(&desk);
                desk.register(entries);
                tokio::select! {
                    () = tokio::time::sleep(desk.within().servers.mul_f64(REGISTER_EVERY)) => {}
                    () = desk.replaced.notified() => tokio::time::sleep(REPLACED_PAUSE).await,
                }
            }
            Err(err) => reach.bad(&desk, &err).await,
        }
    }
}

/// Says that this gateway runs, and counts the others.
pub async fn gateways(store: Store, desk: rc::Rc<Desk>, host: name::Host) {
    let mut reach = Reach::new("gateways");
    loop {
        let step = async {
            store.announce_gateway(&host).await?;
            store.read_gateways().await
        };
        match step.await {
            Ok(words) => {
                reach.good(&desk);
                desk.gateways(words);
                tokio::time::sleep(presence::EVERY.mul_f64(desk.between(0.9, 1.1))).await;
            }
            Err(err) => reach.bad(&desk, &err).await,
        }
    }
}

/// Follows the loads of each group of engines, as the owner of the group's duty tells them.
pub async fn loads(desk: rc::Rc<Desk>, token: String, port: u16) {
    let followed = rc::Rc::new(cell::RefCell::new(BTreeSet::new()));
    let peers = peer::Pool::new(&token);
    loop {
        for group in desk.groups().into_keys() {
            if followed.borrow_mut().insert(group.clone()) {
                let (desk, peers) = (rc::Rc::clone(&desk), rc::Rc::clone(&peers));
                let followed = rc::Rc::clone(&followed);
                tokio::task::spawn_local(async move {
                    follow(&desk, &peers, &group, port).await;
                    followed.borrow_mut().remove(&group);
                });
            }
        }
        tokio::time::sleep(GROUPS_EVERY).await;
    }
}

/// Follows one group until it is not listed any more.
async fn follow(desk: &Desk, peers: &peer::Pool, group: &str, port: u16) {
    let mut heard = false;
    loop {
        let Some(engines) = desk.groups().remove(group) else { return };
        for engine in engines {
            let agent = net::SocketAddr::new(engine.ip(), port);
            let words = listen(desk, peers, agent).await;
            if words > 0 {
                log::info!(group, agent:%, words; "loads of the group lost");
                heard = false;
            }
        }
        if !std::mem::replace(&mut heard, true) {
            log::info!(group; "no agent tells the loads of the group");
        }
        tokio::time::sleep(LOADS_AGAIN).await;
    }
}

/// Takes the words of one agent as long as it acts; gives their number.
async fn listen(desk: &Desk, peers: &peer::Pool, agent: net::SocketAddr) -> u64 {
    let starting = peers.exchange(agent, message::LOADS_PATH, &());
    let mut words = 0;
    let Ok(Ok(mut source)) = tokio::time::timeout(LOADS_SILENT, starting).await else {
        peers.forget(agent);
        return words;
    };
    while let Ok(Ok(Some(loads))) = tokio::time::timeout(LOADS_SILENT, source.next()).await {
        let loads: message::Loads = loads;
        if !loads.is_owner {
            return words;
        }
        if words == 0 {
            log::info!(agent:%, engines = loads.engines.len(); "loads of a group heard");
        }
        words += 1;
        desk.loads(&loads.engines);
    }
    peers.forget(agent);
    words
}
