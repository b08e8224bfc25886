//! The deployment as this process knows it: what operators want, and which servers there are.

pub mod catalog;
pub mod registry;

pub use catalog::Catalog;
pub use registry::Registry;
