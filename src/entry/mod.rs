//! The entry: front process that owns a caller's request from its arrival to its answer.
//!
//! A request passes through a pipeline: [`accept`] reads it, [`classify`] matches it against the
//! configuration, [`session`] chooses backend servers, calls their sidecars and assembles the
//! answer, and [`answer`] sends the answer to the caller. [`once`] wraps the last two stages for
//! calls that carry an idempotency key and may not be repeated. [`handler`] runs the pipeline on
//! the I/O thread; [`core`] owns the queues and the state of the backend servers on the stakker
//! thread.

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
