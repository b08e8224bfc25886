//! Crowds of clients that send or read in ways that cost much memory or many descriptors, against
//! real processes. The tests run one at a time, in a program of their own: they measure memory.

#[allow(dead_code)]
#[path = "../agents.rs"]
mod agents;
#[allow(dead_code)]
#[path = "../../stand-ins/chunks.rs"]
mod chunks;
#[allow(dead_code)]
#[path = "../gateways.rs"]
mod gateways;
#[allow(dead_code)]
#[path = "../processes.rs"]
mod processes;
#[allow(dead_code)]
#[path = "../raw_servers.rs"]
mod raw_servers;
#[allow(dead_code)]
#[path = "../starter.rs"]
mod starter;
#[allow(dead_code)]
#[path = "../../stand-ins/store.rs"]
mod store;

mod answers;
mod bodies;
mod calm;
mod connections;
mod crowd;
mod older_path;
mod ports;
mod usage;
