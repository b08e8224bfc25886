//! The rank agent: looks after the expert map of one model engine and its group.
//!
//! Each agent reads the state of the engine beside it and sends it to one of them, the owner of
//! the duty for the group. [`duty`] decides there on changes of the map, [`change`] carries one
//! out, [`relay`] bounds what the owner hears in a large group. The other modules do the I/O:
//! [`owner`] runs the duty, [`look`] watches the engine, [`orders`] carries orders to engines.

pub mod agent;
pub mod change;
pub mod duty;
mod look;
pub mod message;
mod orders;
mod owner;
pub mod popularity;
pub mod relay;
pub mod state;

pub use state::{Accepted, Act, Choices, Demand, Member, Order, Placed, Status, Step};
