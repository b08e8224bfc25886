//! Result of a command: its output and exit code.

use serde::Serialize;

use super::Exit;

/// The result of a command, as text for operators and as JSON for programs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    text: String,
    json: serde_json::Value,
    /// Exit code of the run.
    pub exit: Exit,
}

impl Report {
    /// Creates a successful report whose JSON is `text` as a string.
    pub fn text(text: &str) -> Self {
        Self { text: text.into(), json: serde_json::Value::String(text.into()), exit: Exit::Done }
    }

    /// Creates a report with `text` for operators and `value` as its JSON.
    pub fn new(text: impl Into<String>, value: &impl Serialize, exit: Exit) -> Self {
        let json = serde_json::to_value(value).unwrap_or(serde_json::Value::Null);
        Self { text: text.into(), json, exit }
    }

    /// Returns the report with another exit code.
    pub fn with_exit(self, exit: Exit) -> Self {
        Self { exit, ..self }
    }

    /// Returns the text for operators.
    pub fn plain(&self) -> &str {
        &self.text
    }

    /// Returns the JSON for programs, in one line.
    pub fn json(&self) -> String {
        format!("{}\n", self.json)
    }
}
