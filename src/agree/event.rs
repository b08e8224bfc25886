//! What goes into a [`Node`](crate::agree::Node) and what comes out.

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

/// What a process knows of itself.
#[derive(Clone, Debug)]
pub struct Start {
    /// Itself; the incarnation is its start, in milliseconds since the epoch.
    pub me: Member,
    /// Peers to ask while the platform's host list is unreachable.
    pub seeds: Vec<net::SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What happens to a process.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`TICK`] has passed.
    Tick,
    /// A peer's message came in.
    Message(Message),
    /// The platform answered, or failed to.
    Store(store::Answer),
    /// An operator's order.
    Operator {
        /// Identity, drawn at random.
        op: OrderId,
        /// The order; texts and names have been checked.
        order: Order,
    },
    /// A call or reply of the request path carried this configuration version.
    VersionReceived {
        /// The other end, if its address is known.
        from: Option<net::SocketAddr>,
        /// Its version.
        version: u64,
    },
    /// Ask all processes for their version.
    Survey,
    /// This process is leaving.
    Leave,
}

/// What a process is to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Make this call to the platform on a worker thread.
    Store(Call),
    /// Send this message.
    Send {
        /// Address for other processes.
        to: net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// Put this in force.
    Adopt(Effective),
    /// The members changed; see [`Node::members`].
    Members,
    /// Answer an operator.
    Answer {
        /// The order.
        op: OrderId,
        /// How it ended.
        outcome: Outcome,
    },
}
