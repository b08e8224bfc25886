//! What rank agents say to each other.

use std::{collections::BTreeSet, net};

use serde::{Deserialize, Serialize};

use super::{Choices, Order, OrderOutcome, Placement, Status};

/// Path of the exchange that carries a list of [`Heartbeat`] to the owner and one [`HeartbeatReply`].
pub const HEARTBEAT_PATH: &str = "/pulse";
/// Path of the exchange that carries one [`Heartbeat`] to the agent that speaks for its section, and
/// one [`HeartbeatReply`].
pub const RELAY_PATH: &str = "/relay";
/// Path of the exchange that carries an [`Order`] and one [`OrderReply`].
pub const ORDER_PATH: &str = "/order";
/// Path of the exchange that carries the ranks of a section and an [`Order`] for them, and
/// answers with each rank and its [`OrderReply`].
pub const ORDERS_PATH: &str = "/orders";

/// Path of the exchange that asks for [`Loads`], again and again; its request is `()`.
pub const LOADS_PATH: &str = "/loads";

/// What the engines of one group have to do, as the owner of its duty knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Loads {
    /// Whether the sender holds the duty; if not, another agent does.
    pub is_owner: bool,
    /// Requests that run or wait, by the engine's address.
    pub engines: Vec<(net::SocketAddr, u32)>,
}

/// State of one engine, sent to the owner of the group's duty.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// State of the engine.
    pub status: Status,
    /// What its requests chose since the last pulse that said so.
    pub choices: Option<Choices>,
    /// What it holds; sent when the owner asked for it.
    pub placement: Option<Placement>,
}

/// The owner's answer to pulses.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Ranks whose next pulse is to say what the engine holds.
    pub want_placement: BTreeSet<usize>,
}

/// An agent's answer to an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderReply {
    /// The engine's answer; `None` if it gave none, and the order may be carried out later.
    pub outcome: Option<OrderOutcome>,
    /// State of the engine after it.
    pub status: Option<Status>,
}

/// An order with the place that it is for, as the owner sends it out.
#[derive(Clone, Debug, PartialEq)]
pub struct RankOrder {
    /// Rank that the order is for.
    pub rank: usize,
    /// The order.
    pub order: Order,
}
