//! Integration tests: one module a feature.

mod agreement;
mod claims;
mod frames;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod host_settings;
mod leases;
mod once;
mod platform;
mod processes;
mod site;
mod texts;
