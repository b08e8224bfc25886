//! The sidecar: process next to one backend server, through which all calls to that server pass.
//!
//! [`call_handler`] receives calls from entries, [`core`] admits them through a gate that bounds
//! the calls in flight, [`backend`] sends them to the backend server over HTTP on worker threads,
//! and [`health`] polls the server's health.

pub mod backend;
pub mod call_handler;
pub mod core;
pub mod health;

pub use backend::Backend;
pub use call_handler::CallHandler;
pub use core::{Core, Event};
