//! `show`: prints the configuration in force.

use super::{Exit, Report, history};
use crate::{Result, operators};

/// Fetches the configuration in force and returns its text, followed by YAML comments with the
/// version and with the zones and servers that are out of service.
pub fn run(client: &operators::Client) -> Result<Report> {
    let in_force = client.config()?;
    let mut text = in_force.text.clone();
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    text += &format!("# Version {}.\n", in_force.version);
    for zone in &in_force.out.zones {
        text += &format!("# Zone {zone} is out.\n");
    }
    for server in &in_force.out.servers {
        text += &format!("# Backend server {server} is out.\n");
    }
    for pending in &in_force.not_durable {
        text += &format!(
            "# {} is out, but not durable yet.\n",
            history::describe_target(&pending.target)
        );
    }
    Ok(Report::new(text, &in_force, Exit::Done))
}
