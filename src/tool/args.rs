//! The tool's command line and environment.

use std::{ffi, fs, net, path, time};

use lexopt::ValueExt;

use crate::{Error, Result, agree::record::Target, config, name, operators};

/// Longest wait unless the command line says otherwise.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// What a run is asked to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Args {
    /// The command.
    pub command: Command,
    /// Operators' port to ask.
    pub address: Option<net::SocketAddr>,
    /// Where the token is.
    pub token: TokenSource,
    /// Whether JSON is printed.
    pub json: bool,
    /// Longest time to wait.
    pub timeout: time::Duration,
}

/// A command with its operands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check a text.
    Check {
        /// The text's file.
        file: path::PathBuf,
    },
    /// Put a text in force.
    Apply {
        /// The text's file.
        file: path::PathBuf,
        /// Version that the text was made from.
        base: Option<u64>,
    },
    /// Compare a text with that in force.
    Diff {
        /// The text's file.
        file: path::PathBuf,
    },
    /// Print the text in force.
    Show,
    /// List committed changes.
    History,
    /// Show the state of the agreement.
    Status,
    /// Take out of service or bring back.
    SetState {
        /// Which of the two.
        state: operators::ServiceState,
        /// Zone or backend server.
        target: Target,
    },
    /// Print the state of one process.
    Dump {
        /// Its operators' port.
        process: net::SocketAddr,
    },
    /// Wait until a version is in force everywhere.
    Wait {
        /// The version; `None` for the one now in force.
        version: Option<u64>,
    },
}

/// Where the token comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenSource {
    /// Nothing says.
    Missing,
    /// The token itself.
    Value(String),
    /// A file that holds it.
    File(path::PathBuf),
}

impl TokenSource {
    /// The token.
    pub fn read(&self) -> Result<String> {
        match self {
            Self::Missing => Err(usage("No token: give --token-file or set KNAPWEEDFORD_TOKEN")),
            Self::Value(token) => Ok(token.clone()),
            Self::File(path) => {
                let shown = path.display().to_string();
                let text = fs::read_to_string(path)
                    .map_err(|source| Error::File { path: shown, source })?;
                Ok(text.trim().to_owned())
            }
        }
    }
}

/// Options and operands as they stand on the command line.
#[derive(Default)]
struct Raw {
    operands: Vec<ffi::OsString>,
    address: Option<String>,
    token_file: Option<path::PathBuf>,
    base: Option<u64>,
    timeout: Option<u64>,
    json: bool,
    print: Option<Command>,
}

impl Args {
    /// Reads the arguments, without the program's name; `env` looks up the environment.
    pub fn parse(
        args: impl IntoIterator<Item = ffi::OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self> {
        let raw = Raw::parse(args).map_err(|err| usage(&err.to_string()))?;
        let address = raw.address.clone().or_else(|| env("KNAPWEEDFORD_ADDRESS"));
        let file = raw.token_file.clone();
        let file = file.or_else(|| env("KNAPWEEDFORD_TOKEN_FILE").map(path::PathBuf::from));
        let token = match (file, env("KNAPWEEDFORD_TOKEN")) {
            (Some(file), _) => TokenSource::File(file),
            (None, Some(token)) => TokenSource::Value(token),
            (None, None) => TokenSource::Missing,
        };
        Ok(Self {
            address: address.as_deref().map(socket).transpose()?,
            token,
            json: raw.json,
            timeout: raw.timeout.map_or(TIMEOUT, time::Duration::from_secs),
            command: raw.command()?,
        })
    }
}

impl Raw {
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
            [] => return Err(usage("No command is given")),
            ["check", _] => Command::Check { file: file() },
            ["apply", _] => Command::Apply { file: file(), base: self.base },
            ["diff", _] => Command::Diff { file: file() },
            ["show"] => Command::Show,
            ["history"] => Command::History,
            ["status"] => Command::Status,
            ["zone", word, name] => turn(word, Target::Zone(name::Zone::new(name)), name)?,
            ["server", word, name] => turn(word, Target::Server(name::Server::new(name)), name)?,
            ["dump", process] => Command::Dump { process: socket(process)? },
            ["wait"] => Command::Wait { version: None },
            ["wait", version] => Command::Wait { version: Some(number(version)?) },
            [word, ..] => return Err(unfit(word)),
        };
        match command {
            Command::Apply { .. } => Ok(command),
            _ if self.base.is_some() => Err(usage("--base goes with apply only")),
            _ => Ok(command),
        }
    }
}

fn turn(word: &str, target: Target, name: &str) -> Result<Command> {
    let turn = match word {
        "out" => operators::ServiceState::Out,
        "in" => operators::ServiceState::In,
        _ => return Err(usage(&format!("Write `out` or `in` in place of `{word}`"))),
    };
    match config::is_name(name) {
        true => Ok(Command::SetState { state: turn, target }),
        false => Err(usage(&format!("`{name}` is not a name"))),
    }
}

fn unfit(word: &str) -> Error {
    let known =
        ["check", "apply", "diff", "show", "history", "status", "zone", "server", "dump", "wait"];
    match known.contains(&word) {
        true => usage(&format!("The operands of `{word}` do not fit")),
        false => usage(&format!("There is no command `{word}`")),
    }
}

fn socket(text: &str) -> Result<net::SocketAddr> {
    let wrong = |_| usage(&format!("`{text}` is not an address such as 10.0.0.7:8081"));
    text.parse().map_err(wrong)
}

fn number(text: &str) -> Result<u64> {
    text.parse().map_err(|_| usage(&format!("`{text}` is not a version")))
}

fn usage(problem: &str) -> Error {
    Error::Usage { problem: problem.into() }
}
