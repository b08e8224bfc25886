//! Integration tests: one module a feature.

mod agreement;
mod claims;
mod deaths;
mod frames;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod host_settings;
mod leases;
mod platform;
mod processes;
mod site;
mod streams;
mod texts;
