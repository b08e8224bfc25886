//! Agreement between the processes: configuration, membership, leases and claims.
//!
//! The modules are state machines without I/O; `now` is the time since the process started.
//! Whatever must last or be agreed on is stored in the platform's table. Gossip between the
//! processes only spreads it sooner than their polls of the table would.

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
