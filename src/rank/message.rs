//! Messages between rank agents, and from the owner to gateways. They are encoded by position: the
//! order and types of fields and variants must not change without new paths.

use std::{collections::BTreeSet, net};

use serde::{Deserialize, Serialize};

use super::{Choices, Order, OrderOutcome, Placement, Status};
use crate::balance::capacity;

/// Path on which the owner receives a list of [`Heartbeat`] and answers with one
/// [`HeartbeatReply`].
pub const HEARTBEAT_PATH: &str = "/2/heartbeats";
/// Path on which the relay of a section receives one [`Heartbeat`] of another rank in its section
/// and answers with one [`HeartbeatReply`].
pub const RELAY_PATH: &str = "/2/relay";
/// Path on which an agent receives an [`Order`] for its engine and answers with one [`OrderReply`].
pub const ORDER_PATH: &str = "/2/order";
/// Path on which an agent receives an [`Order`] with the ranks of its section that are to get it,
/// and answers with each rank and its [`OrderReply`].
pub const ORDERS_PATH: &str = "/2/orders";

/// Path on which an agent answers the request `()` of a gateway with a [`Loads`] for each that it
/// knows as the owner or receives from the owner.
pub const LOADS_PATH: &str = "/2/loads";
/// Path on which an agent answers the request `()` of another agent with a [`Loads`] at once, and
/// then with one at regular intervals while it is the owner.
pub const OWNER_LOADS_PATH: &str = "/2/owner-loads";

/// Loads of the engines of one group, as the group's owner knows them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Loads {
    /// Whether the loads are from the owner; otherwise another agent has them.
    pub is_owner: bool,
    /// Number of running and queued requests, by the engine's address.
    pub engines: Vec<(net::SocketAddr, u32)>,
    /// Engines that are slow and are to get no requests.
    pub slow: Vec<net::SocketAddr>,
    /// Measured passes of the group, if it makes passes.
    pub passes: Option<capacity::PassEstimate>,
}

/// State of one engine, sent to the group's owner at regular intervals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// State of the engine.
    pub status: Status,
    /// Experts that its requests chose since the last heartbeat with choices.
    pub choices: Option<Choices>,
    /// Experts that it holds; sent if the owner asked for them.
    pub placement: Option<Placement>,
}

/// The owner's answer to heartbeats.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Ranks whose next heartbeat is to include the placement.
    pub want_placement: BTreeSet<usize>,
}

/// An agent's answer to an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderReply {
    /// The engine's answer; `None` if there was none, in which case the engine may still carry out
    /// the order later.
    pub outcome: Option<OrderOutcome>,
    /// State of the engine after the order.
    pub status: Option<Status>,
}

/// An order with the rank whose engine is to carry it out.
#[derive(Clone, Debug, PartialEq)]
pub struct RankOrder {
    /// Rank whose engine is to carry out the order.
    pub rank: usize,
    /// The order.
    pub order: Order,
}
