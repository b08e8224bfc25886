//! Integration tests: one module a feature.

mod agreement;
mod claims;
mod cold;
mod deaths;
mod frames;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod host_settings;
mod leases;
mod load;
mod once;
mod outages;
mod platform;
mod processes;
mod shutdown;
mod site;
mod streams;
mod texts;
mod zones;
