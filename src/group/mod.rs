//! Expert maps of a model group: how they are chosen, and the protocol that puts them in force.
//!
//! Choosing a map is a pure computation: token counts give an estimate of each expert's
//! popularity, the estimate gives a plan, and the plan gives a map. Putting a map in force takes
//! two state machines without I/O, [`controller`] and [`rank`], which exchange [`order`]s and
//! answers.

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
