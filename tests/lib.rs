//! Integration tests: one module a feature.

mod agreement;
mod claims;
mod frames;
mod leases;
mod host_settings;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod platform;
mod processes;
mod site;
mod texts;
