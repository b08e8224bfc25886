//! Configuration files.

use std::{fs, path};

use crate::{Error, Result, config};

/// A configuration file without errors.
pub struct CheckedFile {
    /// The text, exactly as it stands in the file.
    pub text: String,
    /// The configuration parsed from the text.
    pub config: config::Config,
}

/// Reads and checks the configuration file at `path`.
pub fn read(path: &path::Path) -> Result<CheckedFile> {
    let display = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|source| Error::File { path: display.clone(), source })?;
    match config::parse(&text) {
        Ok(config) => Ok(CheckedFile { text, config }),
        Err(findings) => Err(Error::InvalidFile { path: display, findings }),
    }
}
