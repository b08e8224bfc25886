//! `zone out|in NAME` and `server out|in NAME`: set the service state of a zone or server.

use super::{Report, apply};
use crate::{Result, agree::record::Target, operators};

/// Takes `target` out of service or back into service and returns the report on the outcome.
pub fn run(
    client: &operators::Client,
    state: operators::ServiceState,
    target: &Target,
) -> Result<Report> {
    Ok(apply::report(&client.set_state(state, target)?))
}
