//! `zone out|in NAME` and `server out|in NAME`.

use super::{Report, apply};
use crate::{Result, agree::record::Target, operators};

/// Takes `target` out of service or brings it back.
pub fn run(
    client: &operators::Client,
    turn: operators::ServiceState,
    target: &Target,
) -> Result<Report> {
    Ok(apply::report(&client.set_state(turn, target)?))
}
