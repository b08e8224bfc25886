//! Integration tests, with one module for each feature.

#[path = "../stand-ins/chunks.rs"]
mod chunks;
#[path = "../stand-ins/link.rs"]
mod link;
#[path = "../stand-ins/store.rs"]
mod store;

mod admission;
mod agreement;
mod backends;
mod balance;
mod catalog;
mod claims;
mod client;
mod cluster;
mod cold;
mod collecting;
mod configuration;
mod crashing_prompts;
mod days;
mod deaths;
mod edits;
mod endless;
mod fairness;
mod faults;
mod frames;
mod fuzz;
mod fuzz_agreement;
mod fuzz_answers;
mod fuzz_gate;
mod gate;
mod gateway;
mod gateways;
mod host_settings;
mod hostile;
mod keyed;
mod leases;
mod load;
mod logs;
mod map_change;
mod maps;
mod maps_fuzz;
mod notices;
mod once;
mod operators_port;
mod outages;
mod ownership;
mod peers;
mod platform;
mod processes;
mod rebalance;
mod registry;
mod replays;
mod restores;
mod retries;
mod routes;
mod scheduling;
mod sections;
mod shutdown;
mod site;
mod soak;
mod starter;
mod streams;
mod telemetry;
mod tool;
mod zones;
