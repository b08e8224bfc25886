//! `check FILE`: reports whether a configuration is valid.

use std::path;

use super::{Exit, Report, file};
use crate::Result;

/// Checks the configuration file at `path` without contacting any process.
pub fn run(path: &path::Path) -> Result<Report> {
    let checked = file::read(path)?;
    let cfg = &checked.config;
    let text = format!(
        "{}: no errors; {} zones, {} services, {} backend servers, {} workspaces.\n",
        path.display(),
        cfg.zones.len(),
        cfg.services.len(),
        cfg.servers.len(),
        cfg.workspaces.len(),
    );
    Ok(Report::new(text, cfg, Exit::Done))
}
