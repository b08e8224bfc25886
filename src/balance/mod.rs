//! Choice of the backend server for a request, and the bounds on the number of attempts.
//!
//! Nothing here does I/O; times are durations on the process's monotonic clock.

pub mod budget;
pub mod capacity;
pub mod cleared_fingerprints;
pub mod crash_note;
pub mod gateways;
pub mod group_reports;
mod known_note;
pub mod probe;
pub mod progress;
pub mod quarantine;
pub mod rate_limit;
pub mod selector;
pub mod wait_queue;
pub mod window;

pub use budget::RetryBudget;
pub use cleared_fingerprints::ClearedFingerprints;
pub use gateways::GatewaySet;
pub use group_reports::GroupReports;
pub use progress::GroupProgress;
pub use quarantine::Quarantine;
pub use rate_limit::RateLimit;
pub use selector::{Choice, ServerSelector};
pub use wait_queue::WaitQueue;
pub use window::SlidingWindow;
