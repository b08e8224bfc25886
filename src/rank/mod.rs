//! The rank agent: looks after the expert map of one model engine and its group.
//!
//! Each agent reads the state of the engine beside it and sends it to one of them, the owner of
//! the duty for the group. [`ownership`] decides there on changes of the map, [`change`] carries one
//! out, [`relay`] bounds what the owner hears in a large group. The other modules do the I/O:
//! [`actor`] runs the duty, [`poll`] watches the engine, [`orders`] carries orders to engines.

mod actor;
pub mod agent;
pub mod change;
pub mod message;
mod orders;
pub mod ownership;
mod poll;
pub mod popularity;
pub mod relay;
pub mod state;

pub use state::{
    Action, Choices, ExpertCounts, MapSwitch, Member, Order, OrderOutcome, Placement, Status,
};
