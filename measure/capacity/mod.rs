//! Slopes behind docs/CAPACITY.md.

use std::process;

mod data;
pub mod slope;
mod text;

/// Runs every measurement that the page uses, or the one named.
pub fn run(args: &[String]) -> process::ExitCode {
    match args.first().map(String::as_str) {
        Some("data") => finish(data()),
        Some("text") => finish(text()),
        Some("control") => control(),
        None => match text().and_then(|()| data()) {
            Ok(()) => control(),
            failed => finish(failed),
        },
        Some(_) => {
            eprintln!("Usage: measure capacity [data|text|control]");
            process::ExitCode::from(2)
        }
    }
}

fn data() -> anyhow::Result<()> {
    println!("== request path: entry and sidecar, real processes");
    data::run()
}

fn text() -> anyhow::Result<()> {
    println!("== control: the operators' text");
    text::run()
}

fn control() -> process::ExitCode {
    println!("== control: agreement, virtual time");
    super::agreement::run(&["virtual".into()]);
    println!("== decisions: routing");
    super::routing::run(&["cost".into()]);
    println!("== decisions: expert maps");
    super::maps::run(&["cost".into()])
}

fn finish(ended: anyhow::Result<()>) -> process::ExitCode {
    match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure capacity: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}
