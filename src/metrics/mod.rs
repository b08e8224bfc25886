//! Prometheus metrics of a process. No label grows with workspaces or requests.

mod ending;
mod entry;
mod flight;
mod page;
mod sidecar;

pub use ending::Ending;
pub use entry::Entry;
pub use flight::Flight;
pub use page::Page;
pub use sidecar::Sidecar;
