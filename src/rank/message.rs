//! What rank agents say to each other.

use std::{collections::BTreeSet, net};

use serde::{Deserialize, Serialize};

use super::{Accepted, Choices, Order, Placed, Status};

/// Path of the exchange that carries a list of [`Pulse`] to the owner and one [`PulseReply`].
pub const PULSE: &str = "/pulse";
/// Path of the exchange that carries one [`Pulse`] to the agent that speaks for its section, and
/// one [`PulseReply`].
pub const RELAY: &str = "/relay";
/// Path of the exchange that carries an [`Order`] and one [`OrderReply`].
pub const ORDER: &str = "/order";
/// Path of the exchange that carries the ranks of a section and an [`Order`] for them, and
/// answers with each rank and its [`OrderReply`].
pub const ORDERS: &str = "/orders";

/// Path of the exchange that asks for [`Loads`], again and again; its request is `()`.
pub const LOADS: &str = "/loads";

/// What the engines of one group have to do, as the owner of its duty knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Loads {
    /// Whether the sender holds the duty; if not, another agent does.
    pub acts: bool,
    /// Requests that run or wait, by the engine's address.
    pub engines: Vec<(net::SocketAddr, u32)>,
}

/// State of one engine, sent to the owner of the group's duty.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pulse {
    /// State of the engine.
    pub status: Status,
    /// What its requests chose since the last pulse that said so.
    pub choices: Option<Choices>,
    /// What it holds; sent when the owner asked for it.
    pub placed: Option<Placed>,
}

/// The owner's answer to pulses.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PulseReply {
    /// Ranks whose next pulse is to say what the engine holds.
    pub want_placed: BTreeSet<usize>,
}

/// An agent's answer to an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderReply {
    /// The engine's answer; `None` if it gave none, and the order may be carried out later.
    pub accepted: Option<Accepted>,
    /// State of the engine after it.
    pub status: Option<Status>,
}

/// An order with the place that it is for, as the owner sends it out.
#[derive(Clone, Debug, PartialEq)]
pub struct Errand {
    /// Rank that the order is for.
    pub rank: usize,
    /// The order.
    pub order: Order,
}
