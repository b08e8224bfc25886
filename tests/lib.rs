//! Integration tests: one module a feature.

mod agreement;
mod claims;
mod frames;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod host_settings;
mod leases;
mod operators_port;
mod platform;
mod processes;
mod site;
mod telemetry;
mod texts;
mod tool;
mod collecting;
mod fairness;
mod frames;
mod gate;
mod retries;
mod routes;
