//! What a command prints and how it ends.

use serde::Serialize;

use super::Exit;

/// A result, as text for a person and as JSON for a program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    text: String,
    json: serde_json::Value,
    /// How the run ends.
    pub exit: Exit,
}

impl Report {
    /// A result that is text alone.
    pub fn text(text: &str) -> Self {
        Self { text: text.into(), json: serde_json::Value::String(text.into()), exit: Exit::Done }
    }

    /// A result of `value`, which reads as `text`.
    pub fn new(text: impl Into<String>, value: &impl Serialize, exit: Exit) -> Self {
        let json = serde_json::to_value(value).unwrap_or(serde_json::Value::Null);
        Self { text: text.into(), json, exit }
    }

    /// The same with another end.
    pub fn with_exit(self, exit: Exit) -> Self {
        Self { exit, ..self }
    }

    /// For a person.
    pub fn plain(&self) -> &str {
        &self.text
    }

    /// For a program, in one line.
    pub fn json(&self) -> String {
        format!("{}\n", self.json)
    }
}
