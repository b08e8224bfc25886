//! Integration tests: one module a feature.

mod agreement;
mod claims;
mod collecting;
mod fairness;
mod frames;
mod frames;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod gate;
mod host_settings;
mod leases;
mod operators_port;
mod platform;
mod processes;
mod retries;
mod routes;
mod site;
mod telemetry;
mod texts;
mod tool;
