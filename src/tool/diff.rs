//! `diff FILE`: lists what a configuration would change.

use std::path;

use super::{Exit, Report, file};
use crate::{Result, config, operators};

/// Compares the configuration in force with the file at `path`.
pub fn run(client: &operators::Client, path: &path::Path) -> Result<Report> {
    let new = file::read(path)?.config;
    let committed = client.config()?;
    let old = match committed.version {
        0 => config::Config::default(),
        _ => config::parse(&committed.text).unwrap_or_default(),
    };
    Ok(report(&config::diff(&old, &new)))
}

/// Returns the report on the differences.
pub fn report(differences: &[config::Difference]) -> Report {
    let text = match differences {
        [] => "No differences.\n".into(),
        differences => {
            differences.iter().map(|difference| format!("{difference}\n")).collect::<String>()
        }
    };
    let exit = if differences.is_empty() { Exit::Done } else { Exit::Differs };
    Report::new(text, &differences, exit)
}
