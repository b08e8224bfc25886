//! `diff FILE`: what a text would change.

use std::path;

use super::{Exit, Report, file};
use crate::{Result, config, operators};

/// Compares the text in force with that at `path`.
pub fn run(client: &operators::Client, path: &path::Path) -> Result<Report> {
    let new = file::read(path)?.config;
    let committed = client.config()?;
    let old = match committed.version {
        0 => config::Config::default(),
        _ => config::parse(&committed.text).unwrap_or_default(),
    };
    Ok(report(&config::diff(&old, &new)))
}

/// Differences for printing.
pub fn report(found: &[config::Difference]) -> Report {
    let text = match found {
        [] => "No difference.\n".into(),
        found => found.iter().map(|difference| format!("{difference}\n")).collect::<String>(),
    };
    let exit = if found.is_empty() { Exit::Done } else { Exit::Differs };
    Report::new(text, &found, exit)
}
