//! The sidecar: the only way in to its backend server.
//!
//! [`serve`] takes calls from entries, [`core`] admits them through an exact
//! gate, [`backend`] speaks HTTP with the backend server on worker threads,
//! [`health`] watches it.

pub mod backend;
pub mod call_handler;
pub mod core;
pub mod health;

pub use backend::Backend;
pub use call_handler::CallHandler;
pub use core::{Core, Event};
