//! Command line and environment of the tool.

use std::{ffi, fs, net, path, time};

use lexopt::ValueExt;

use crate::{Error, Result, agree::record::Target, config, name, operators};

/// Longest time for which `wait` waits without `--timeout`.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Args {
    /// The command.
    pub command: Command,
    /// Address of the operators' port that requests are sent to.
    pub address: Option<net::SocketAddr>,
    /// Source of the token.
    pub token: TokenSource,
    /// Whether the result is printed as JSON.
    pub json: bool,
    /// Longest time for which `wait` waits.
    pub timeout: time::Duration,
}

/// A command with its operands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check a configuration.
    Check {
        /// The configuration file.
        file: path::PathBuf,
    },
    /// Put a configuration in force.
    Apply {
        /// The configuration file.
        file: path::PathBuf,
        /// Version that the configuration was made from.
        base: Option<u64>,
    },
    /// Compare a configuration with the one in force.
    Diff {
        /// The configuration file.
        file: path::PathBuf,
    },
    /// Print the configuration in force.
    Show,
    /// List committed changes.
    History,
    /// Show the status of the agreement.
    Status,
    /// Take a zone or backend server out of service, or back into service.
    SetState {
        /// The state to set.
        state: operators::ServiceState,
        /// The zone or backend server.
        target: Target,
    },
    /// Print the state of one process.
    Dump {
        /// Address of the process's operators' port.
        process: net::SocketAddr,
    },
    /// Wait until a version is in force everywhere.
    Wait {
        /// The version; `None` for the version now in force.
        version: Option<u64>,
    },
}

/// The source of the operators' token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenSource {
    /// Neither the command line nor the environment sets a token.
    Missing,
    /// The token itself.
    Value(String),
    /// A file that contains the token.
    File(path::PathBuf),
}

impl TokenSource {
    /// Returns the token, read from its file if need be; an error if it is missing.
    pub fn read(&self) -> Result<String> {
        match self {
            Self::Missing => {
                Err(usage_error("No token: give --token-file or set KNAPWEEDFORD_TOKEN"))
            }
            Self::Value(token) => Ok(token.clone()),
            Self::File(path) => {
                let display = path.display().to_string();
                let text = fs::read_to_string(path)
                    .map_err(|source| Error::File { path: display, source })?;
                Ok(text.trim().to_owned())
            }
        }
    }
}

/// Options and operands of the command line before they are interpreted.
#[derive(Default)]
struct RawArgs {
    operands: Vec<ffi::OsString>,
    address: Option<String>,
    token_file: Option<path::PathBuf>,
    base: Option<u64>,
    timeout: Option<u64>,
    json: bool,
    print: Option<Command>,
}

impl Args {
    /// Parses the arguments, without the program's name; `env` returns the value of an environment
    /// variable.
    pub fn parse(
        args: impl IntoIterator<Item = ffi::OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self> {
        let raw = RawArgs::parse(args).map_err(|err| usage_error(&err.to_string()))?;
        let address = raw.address.clone().or_else(|| env("KNAPWEEDFORD_ADDRESS"));
        let file = raw.token_file.clone();
        let file = file.or_else(|| env("KNAPWEEDFORD_TOKEN_FILE").map(path::PathBuf::from));
        let token = match (file, env("KNAPWEEDFORD_TOKEN")) {
            (Some(file), _) => TokenSource::File(file),
            (None, Some(token)) => TokenSource::Value(token),
            (None, None) => TokenSource::Missing,
        };
        Ok(Self {
            address: address.as_deref().map(parse_address).transpose()?,
            token,
            json: raw.json,
            timeout: raw.timeout.map_or(DEFAULT_TIMEOUT, time::Duration::from_secs),
            command: raw.command()?,
        })
    }
}

impl RawArgs {
    fn parse(args: impl IntoIterator<Item = ffi::OsString>) -> Result<Self, lexopt::Error> {
        use lexopt::Arg::{Long, Short, Value};
        let mut parser = lexopt::Parser::from_args(args);
        let mut raw = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Short('h') | Long("help") => raw.print = Some(Command::Help),
                Short('V') | Long("version") => raw.print = Some(Command::Version),
                Short('a') | Long("address") => raw.address = Some(parser.value()?.string()?),
                Short('t') | Long("token-file") => raw.token_file = Some(parser.value()?.into()),
                Long("base") => raw.base = Some(parser.value()?.parse()?),
                Long("timeout") => raw.timeout = Some(parser.value()?.parse()?),
                Long("json") => raw.json = true,
                Value(operand) => raw.operands.push(operand),
                other => return Err(other.unexpected()),
            }
        }
        Ok(raw)
    }

    fn command(self) -> Result<Command> {
        if let Some(print) = self.print {
            return Ok(print);
        }
        let operands: Vec<String> =
            self.operands.iter().map(|operand| operand.to_string_lossy().into_owned()).collect();
        let words: Vec<&str> = operands.iter().map(String::as_str).collect();
        let file = || self.operands.last().map(path::PathBuf::from).unwrap_or_default();
        let command = match words[..] {
            [] => return Err(usage_error("No command is given")),
            ["check", _] => Command::Check { file: file() },
            ["apply", _] => Command::Apply { file: file(), base: self.base },
            ["diff", _] => Command::Diff { file: file() },
            ["show"] => Command::Show,
            ["history"] => Command::History,
            ["status"] => Command::Status,
            ["zone", word, name] => {
                set_state_command(word, Target::Zone(name::Zone::new(name)), name)?
            }
            ["server", word, name] => {
                set_state_command(word, Target::Server(name::Server::new(name)), name)?
            }
            ["dump", process] => Command::Dump { process: parse_address(process)? },
            ["wait"] => Command::Wait { version: None },
            ["wait", version] => Command::Wait { version: Some(parse_version(version)?) },
            [word, ..] => return Err(operand_error(word)),
        };
        match command {
            Command::Apply { .. } => Ok(command),
            _ if self.base.is_some() => Err(usage_error("--base is valid with apply only")),
            _ => Ok(command),
        }
    }
}

fn set_state_command(word: &str, target: Target, name: &str) -> Result<Command> {
    let state = match word {
        "out" => operators::ServiceState::Out,
        "in" => operators::ServiceState::In,
        _ => return Err(usage_error(&format!("Write `out` or `in` instead of `{word}`"))),
    };
    match config::is_valid_name(name) {
        true => Ok(Command::SetState { state, target }),
        false => Err(usage_error(&format!("`{name}` is not a valid name"))),
    }
}

fn operand_error(word: &str) -> Error {
    let commands =
        ["check", "apply", "diff", "show", "history", "status", "zone", "server", "dump", "wait"];
    match commands.contains(&word) {
        true => usage_error(&format!("The operands of `{word}` are wrong")),
        false => usage_error(&format!("Unknown command `{word}`")),
    }
}

fn parse_address(text: &str) -> Result<net::SocketAddr> {
    let invalid = |_| usage_error(&format!("`{text}` is not an address such as 10.0.0.7:8081"));
    text.parse().map_err(invalid)
}

fn parse_version(text: &str) -> Result<u64> {
    text.parse().map_err(|_| usage_error(&format!("`{text}` is not a version")))
}

fn usage_error(problem: &str) -> Error {
    Error::Usage { problem: problem.into() }
}
