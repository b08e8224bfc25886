//! The operators' command line tool. It runs one command and prints the result on stdout, errors on
//! stderr.

use std::{
    env,
    io::{self, Write},
    process,
};

use crate::{Error, Result, operators};

pub mod args;

mod apply;
mod check;
mod diff;
mod dump;
mod exit;
mod file;
mod help;
mod history;
mod report;
mod set_state;
mod show;
mod status;
mod wait;

pub use args::{Args, Command};
pub use exit::Exit;
pub use report::Report;

/// Runs the tool with the arguments and environment of the process, and returns its exit code.
pub fn main() -> process::ExitCode {
    let args = Args::parse(env::args_os().skip(1), |name| env::var(name).ok());
    let json = args.as_ref().is_ok_and(|args| args.json);
    let exit = match args.and_then(|args| run(&args)) {
        Ok(report) => print(&report, json),
        Err(err) => {
            eprintln!("knapweedford: {err}");
            Exit::for_error(&err)
        }
    };
    exit.into()
}

/// Runs the command of `args` and returns the report on its result.
pub fn run(args: &Args) -> Result<Report> {
    match &args.command {
        Command::Help => Ok(Report::text(help::TEXT)),
        Command::Version => Ok(Report::text(help::VERSION)),
        Command::Check { file } => check::run(file),
        Command::Apply { file, base } => apply::run(&client(args)?, file, *base),
        Command::Diff { file } => diff::run(&client(args)?, file),
        Command::Show => show::run(&client(args)?),
        Command::History => history::run(&client(args)?),
        Command::Status => status::run(&client(args)?),
        Command::SetState { state, target } => set_state::run(&client(args)?, *state, target),
        Command::Dump { process } => {
            dump::run(&operators::Client::new(*process, &args.token.read()?))
        }
        Command::Wait { version } => wait::run(&client(args)?, *version, args.timeout),
    }
}

fn client(args: &Args) -> Result<operators::Client> {
    let missing = || Error::Usage {
        problem: "No address of a process: give --address or set KNAPWEEDFORD_ADDRESS".into(),
    };
    let address = args.address.ok_or_else(missing)?;
    Ok(operators::Client::new(address, &args.token.read()?))
}

/// Prints `report` and returns its exit code. A closed stdout is not an error.
fn print(report: &Report, json: bool) -> Exit {
    let text = if json { report.json() } else { report.plain().to_owned() };
    let _ = io::stdout().lock().write_all(text.as_bytes());
    report.exit
}
