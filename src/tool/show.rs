//! `show`: the text in force.

use super::{Exit, Report, history};
use crate::{Result, operators};

/// Fetches the text; what is out stands in comments after it.
pub fn run(client: &operators::Client) -> Result<Report> {
    let known = client.config()?;
    let mut text = known.text.clone();
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    text += &format!("# Version {}.\n", known.version);
    for zone in &known.out.zones {
        text += &format!("# Zone {zone} is out.\n");
    }
    for server in &known.out.servers {
        text += &format!("# Backend server {server} is out.\n");
    }
    for pending in &known.not_durable {
        text += &format!(
            "# {} is out, but not durable yet.\n",
            history::describe_target(&pending.target)
        );
    }
    Ok(Report::new(text, &known, Exit::Done))
}
