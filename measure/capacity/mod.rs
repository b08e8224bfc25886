//! Cost per unit of load for docs/CAPACITY.md, as slopes of lines through measured points.

use std::process;

mod configuration;
pub mod line;
mod request_path;

/// Runs the measurement that `args` name, or all measurements that the page uses.
pub fn run(args: &[String]) -> process::ExitCode {
    match args.first().map(String::as_str) {
        Some("data") => to_exit_code(measure_request_path()),
        Some("text") => to_exit_code(measure_configuration()),
        Some("control") => measure_control_plane(),
        None => match measure_configuration().and_then(|()| measure_request_path()) {
            Ok(()) => measure_control_plane(),
            failed => to_exit_code(failed),
        },
        Some(_) => {
            eprintln!("Usage: measure capacity [data|text|control]");
            process::ExitCode::from(2)
        }
    }
}

fn measure_request_path() -> anyhow::Result<()> {
    println!("== request path: entry and sidecar, real processes");
    request_path::run()
}

fn measure_configuration() -> anyhow::Result<()> {
    println!("== control plane: parsing and applying the configuration");
    configuration::run()
}

fn measure_control_plane() -> process::ExitCode {
    println!("== control plane: agreement in virtual time");
    super::agreement::run(&["virtual".into()]);
    println!("== decisions: routing");
    super::routing::run(&["cost".into()]);
    println!("== decisions: expert maps");
    super::maps::run(&["cost".into()])
}

fn to_exit_code(res: anyhow::Result<()>) -> process::ExitCode {
    match res {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure capacity: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}
