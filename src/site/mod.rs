//! State of the deployment that this process works with: the operators' configuration and the
//! registry of backend servers.

pub mod catalog;
pub mod registry;

pub use catalog::Catalog;
pub use registry::Registry;
