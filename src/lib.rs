//! A load balancer for expert-parallel model groups.
//!
//! One daemon, `knapweedfordd`, runs as an entry or as a sidecar; one tool,
//! `knapweedford`, is for operators. `docs/DESIGN.md` gives the shape.

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

/// What every fallible function of this crate returns.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
