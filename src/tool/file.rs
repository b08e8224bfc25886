//! Texts read from files.

use std::{fs, path};

use crate::{Error, Result, config};

/// A text from a file, found without fault.
pub struct Checked {
    /// To the letter.
    pub text: String,
    /// As read.
    pub config: config::Config,
}

/// Reads and checks the text at `path`.
pub fn read(path: &path::Path) -> Result<Checked> {
    let shown = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|source| Error::File { path: shown.clone(), source })?;
    match config::parse(&text) {
        Ok(config) => Ok(Checked { text, config }),
        Err(findings) => Err(Error::InvalidFile { path: shown, findings }),
    }
}
