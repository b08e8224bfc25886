//! Prometheus metrics of a process. No label grows with workspaces or requests.

mod ending;
mod entry;
mod in_flight;
mod page;
mod sidecar;

pub use ending::Ending;
pub use entry::Entry;
pub use in_flight::InFlightRequest;
pub use page::Page;
pub use sidecar::Sidecar;
