//! A load balancer for expert-parallel model groups.
//!
//! The daemon, `knapweedfordd`, runs as an entry, a gateway, a sidecar or a rank agent; the
//! command-line tool for operators is `knapweedford`. `docs/DESIGN.md` describes the architecture.

pub mod agree;
pub mod balance;
pub mod cloud;
pub mod config;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod gateway;
pub mod group;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod name;
pub mod operators;
pub mod peer;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod rank;
pub mod settings;
pub mod sidecar;
pub mod site;
pub mod tool;
pub mod view;
pub mod wire;
pub mod yaml;

pub use error::Error;

/// The result type of this crate's fallible functions.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
