//! The rank agent: manages the expert map of one model engine and its group.
//!
//! Each agent polls the engine on its host and sends heartbeats to one agent of the group, the
//! owner. On the owner, [`ownership`] decides on changes of the map, [`change`] carries out one
//! change, and [`relay`] bounds the number of messages that the owner receives in a large group.
//! The other modules do the I/O: `actor` runs the ownership state, `poll` polls the engine,
//! `orders` sends orders to engines, and `loads` sends the engines' loads to gateways.

mod actor;
pub mod agent;
pub mod change;
mod loads;
pub mod message;
mod orders;
pub mod ownership;
pub mod pass_times;
mod poll;
pub mod popularity;
pub mod relay;
pub mod state;

pub use state::{
    Action, Choices, ExpertCounts, MapSwitch, Member, Order, OrderOutcome, Placement, Status,
    valid_pace,
};
