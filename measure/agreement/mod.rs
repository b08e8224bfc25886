//! Time until a configuration is in force everywhere, store traffic and cost of the control plane
//! as functions of the number of processes.

use std::process;

mod exchange;
mod real;
#[path = "../../tests/site.rs"]
#[allow(dead_code)]
mod site;
mod table;
mod virtual_time;

/// Runs the measurement that `args` name and prints its table.
pub fn run(args: &[String]) -> process::ExitCode {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let res = match args[..] {
        ["virtual", ref sizes @ ..] => virtual_time::run(sizes),
        ["real", ref sizes @ ..] => real::run(sizes),
        ["table"] => table::run(),
        _ => Err(anyhow::anyhow!(
            "Usage: measure agreement virtual [PROCESSES...]|real [PROCESSES...]|table"
        )),
    };
    match res {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure agreement: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}
