//! Integration tests: one module a feature.

mod agreement;
mod claims;
mod frames;
mod leases;
mod platform;
mod processes;
mod site;
mod texts;
