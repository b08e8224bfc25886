//! The sidecar: the only way in to its backend server.
//!
//! [`serve`] takes calls from entries, [`core`] admits them through an exact
//! gate, [`backend`] speaks HTTP with the backend server on worker threads,
//! [`health`] watches it.

pub mod backend;
pub mod core;
pub mod health;
pub mod serve;

pub use backend::Backend;
pub use core::{Core, Event};
pub use serve::Side;
