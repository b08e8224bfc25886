//! The entry: owns a request from accept to answer.
//!
//! The path is a pipeline: [`accept`] reads a request, [`classify`] says what it
//! is, [`session`] routes, dispatches and collects, [`answer`] hands out the
//! result. [`once`] stands around the last two for keyed calls that may not be
//! repeated. [`core`] owns the entry's state on the stakker thread.

pub mod accept;
pub mod answer;
pub mod attempt;
pub mod classify;
pub mod core;
pub mod event;
pub mod handler;
pub mod once;
pub mod refusal;
pub mod request;
pub mod session;

pub use core::Core;
pub use event::Event;
pub use handler::RequestHandler;
pub use refusal::Refusal;
pub use request::Request;
