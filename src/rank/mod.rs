//! The rank agent: looks after the expert map of one model engine and its group.
//!
//! Each agent reads the state of the engine beside it and sends it to one of them, the owner of
//! the duty for the group. [`duty`] decides there on changes of the map, [`change`] carries one
//! out, [`agent`] does the I/O of both.

pub mod agent;
pub mod change;
pub mod duty;
pub mod message;
pub mod popularity;
pub mod state;

pub use state::{Accepted, Act, Choices, Demand, Member, Order, Placed, Status, Step};
