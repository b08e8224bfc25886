//! Command line of the daemon.

use std::{env, ffi, path};

use crate::{Error, Result};

/// The action that the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Args {
    /// Run with the settings in this file.
    Run {
        /// The settings file.
        settings: path::PathBuf,
    },
    /// Print this text and exit.
    Print(String),
}

/// Environment variable with the path of the settings file, used without an argument.
const SETTINGS_VARIABLE: &str = "KNAPWEEDFORD_CONFIG";

const HELP: &str = "\
Runs one process of knapweedford in the role that its settings file sets.

Usage: knapweedfordd [SETTINGS.yaml]

Without an argument, the path is read from the environment variable KNAPWEEDFORD_CONFIG.

Options:
  -h, --help     Print this help
  -V, --version  Print the version

The environment variable RUST_LOG sets the log level, for example debug.
On SIGTERM the process answers all requests in flight and then exits.
";

/// Parses the arguments, without the program's name.
pub fn parse(args: impl IntoIterator<Item = ffi::OsString>) -> Result<Args> {
    let usage = |problem: String| Error::Usage { problem };
    let mut parser = lexopt::Parser::from_args(args);
    let mut settings = None;
    while let Some(arg) = parser.next().map_err(|err| usage(err.to_string()))? {
        match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                return Ok(Args::Print(HELP.into()));
            }
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Args::Print(format!("knapweedfordd {version}\n")));
            }
            lexopt::Arg::Value(file) if settings.is_none() => settings = Some(file.into()),
            other => return Err(usage(other.unexpected().to_string())),
        }
    }
    let missing = || usage("No settings file is given".into());
    let settings = settings.or_else(|| env::var_os(SETTINGS_VARIABLE).map(Into::into));
    Ok(Args::Run { settings: settings.ok_or_else(missing)? })
}
