//! Group duties: expert maps of a model group and the orders that install them.
//!
//! Deciding is pure: counts → plan → map. Changing is two state machines
//! without I/O, [`controller`] and [`rank`], joined by [`order`]s.

pub mod bound;
pub mod choice;
pub mod controller;
pub mod decider;
pub mod guard;
pub mod history;
pub mod layout;
pub mod loads;
pub mod map;
pub mod order;
pub mod pack;
pub mod plan;
pub mod popularity;
pub mod rank;
pub mod rebalance;
pub mod repack;
pub mod row;
pub mod straggler;
