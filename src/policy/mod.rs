//! Pure decisions of entries and sidecars: routing, queueing, retries, ejection and admission.
//!
//! No code in this module does I/O, reads a clock or starts a thread. Every
//! `now` parameter is the time since the process started; random numbers come
//! from a seeded generator that the caller passes in.

pub mod budget;
pub mod cache;
pub mod candidate;
pub mod candidates;
pub mod collector;
pub mod decision;
pub mod eject;
pub mod estimate;
pub mod gate;
pub mod prefix;
pub mod queue;
pub mod recent;
pub mod retry;
pub mod route;
pub mod scheduler;
pub mod subset;
