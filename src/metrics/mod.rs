//! Prometheus metrics of a process. The number of label values does not grow with the number of
//! workspaces or requests.

mod clients;
mod ending;
mod entry;
mod in_flight;
mod page;
mod sidecar;

pub use clients::Clients;
pub use ending::Ending;
pub use entry::Entry;
pub use in_flight::InFlightRequest;
pub use page::Page;
pub use sidecar::Sidecar;
