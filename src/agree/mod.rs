//! Agreement through the platform's table: configuration, members, leases, claims.
//!
//! All of it is state machines without I/O; `now` is the time since the
//! process started. What must last or be agreed stands in the table; peers
//! only carry it to each other sooner.

pub mod breaker;
pub mod change;
pub mod claim;
pub mod edit;
pub mod event;
pub mod fetch;
pub mod guard;
pub mod lease;
pub mod membership;
pub mod node;
pub mod order_queue;
pub mod overlay;
pub mod probe;
pub mod record;
pub mod row;
pub mod status;
pub mod store;

pub use node::Node;
