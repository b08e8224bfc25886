//! Program that produces the figures of docs/MEASUREMENTS.md, with one subcommand per topic.

use std::{env, process};

mod agreement;
mod capacity;
mod maps;
mod path;
mod routing;

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("agreement") => agreement::run(&args[1..]),
        Some("capacity") => capacity::run(&args[1..]),
        Some("maps") => maps::run(&args[1..]),
        Some("path") => path::run(&args[1..]),
        Some("routing") => routing::run(&args[1..]),
        _ => {
            eprintln!("Usage: measure agreement|capacity|maps|path|routing [ARGS]");
            process::ExitCode::from(2)
        }
    }
}
