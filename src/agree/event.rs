//! Inputs and outputs of a [`Node`](crate::agree::Node).

use std::{net, time};

use crate::{
    agree::{
        change::{Order, Outcome},
        record::{Effective, OrderId},
        store::{self, Call},
    },
    wire::gossip::{Member, Message},
};

/// Time between two [`Input::Tick`]s.
pub const TICK: time::Duration = time::Duration::from_millis(100);

/// Initial state of a process.
#[derive(Clone, Debug)]
pub struct Start {
    /// The process itself; its incarnation is the time at which it started, in milliseconds since
    /// the Unix epoch.
    pub me: Member,
    /// Peers to join through while the platform's host list is unavailable.
    pub seeds: Vec<net::SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Input of a process.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`TICK`] has passed.
    Tick,
    /// A peer's message was received.
    Message(Message),
    /// The platform answered, or did not answer in time.
    Store(store::Answer),
    /// An operator gave an order.
    Operator {
        /// Id of the order, drawn at random.
        op: OrderId,
        /// The order; its text and names have been validated.
        order: Order,
    },
    /// A call or answer on the request path carried this configuration version.
    VersionReceived {
        /// Peer that sent the version, if its address is known.
        from: Option<net::SocketAddr>,
        /// Version of the peer.
        version: u64,
    },
    /// Request the version of all processes.
    Survey,
    /// This process is leaving.
    Leave,
}

/// Action that a process must take.
#[derive(Clone, Debug)]
pub enum Output {
    /// Make this call to the platform, on a worker thread.
    Store(Call),
    /// Send this message.
    Send {
        /// Address of the peer.
        to: net::SocketAddr,
        /// The message to send.
        message: Message,
    },
    /// Put this configuration in force.
    Adopt(Effective),
    /// The members changed; see [`Node::members`](crate::agree::Node::members).
    Members,
    /// Answer an operator's order.
    Answer {
        /// Id of the order.
        op: OrderId,
        /// Outcome of the order.
        outcome: Outcome,
    },
}
