//! The operators' port: the JSON messages over HTTP between the tool and every process.
//!
//! | Request | Answer |
//! |---|---|
//! | `GET /metrics` | Prometheus text |
//! | `GET /dump` | state of the process; indented text for `Accept: text/plain` |
//! | `GET /status` | [`Status`]; the process also asks all others for their version |
//! | `GET /config` | [`ConfigInForce`] |
//! | `GET /history` | list of [`Change`], oldest first |
//! | `POST /apply?base=N`, the body is the configuration | [`Outcome`] |
//! | `POST /zones/NAME/out`, `/in` | [`Outcome`] |
//! | `POST /servers/NAME/out`, `/in` | [`Outcome`] |
//!
//! Every request carries `Authorization: Bearer TOKEN`. The body of a refusal is a [`Refusal`].
//!
//! [`Status`]: crate::agree::status::Status
//! [`Change`]: crate::agree::record::Change
//! [`Outcome`]: crate::agree::change::Outcome

mod client;
mod config_in_force;
mod indented_text;
mod refusal;
mod service_state;

pub use client::Client;
pub use config_in_force::ConfigInForce;
pub use indented_text::indented_text;
pub use refusal::Refusal;
pub use service_state::ServiceState;
