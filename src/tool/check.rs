//! `check FILE`: whether a text would be accepted.

use std::path;

use super::{Exit, Report, file};
use crate::Result;

/// Checks the text at `path` without asking any process.
pub fn run(path: &path::Path) -> Result<Report> {
    let checked = file::read(path)?;
    let cfg = &checked.config;
    let text = format!(
        "{}: no fault; {} zones, {} services, {} backend servers, {} workspaces.\n",
        path.display(),
        cfg.zones.len(),
        cfg.services.len(),
        cfg.servers.len(),
        cfg.workspaces.len(),
    );
    Ok(Report::new(text, cfg, Exit::Done))
}
