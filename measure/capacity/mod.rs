//! Slopes behind docs/CAPACITY.md.

use std::process;

mod data;
pub mod slope;

/// Runs every measurement that the page uses, one section each.
pub fn run(_args: &[String]) -> process::ExitCode {
    println!("== request path: entry and sidecar, real processes");
    if let Err(err) = data::run() {
        eprintln!("measure capacity: {err:#}");
        return process::ExitCode::FAILURE;
    }
    println!("== control: agreement, virtual time");
    super::agreement::run(&["virtual".into()]);
    println!("== decisions: routing");
    super::routing::run(&["cost".into()]);
    println!("== decisions: expert maps");
    super::maps::run(&["cost".into()]);
    process::ExitCode::SUCCESS
}
