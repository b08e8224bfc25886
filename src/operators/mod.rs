//! The operators' port: what the tool and every process say to each other, as JSON over HTTP.
//!
//! | Request | Answer |
//! |---|---|
//! | `GET /metrics` | Prometheus text |
//! | `GET /dump` | state of the process; as text for `Accept: text/plain` |
//! | `GET /status` | [`Status`](crate::agree::status::Status); starts a survey of who is behind |
//! | `GET /config` | [`ConfigInForce`] |
//! | `GET /history` | list of [`Change`](crate::agree::record::Change), oldest first |
//! | `POST /apply?base=N`, the body is the text | [`Outcome`](crate::agree::change::Outcome) |
//! | `POST /zones/NAME/out`, `/in` | the same |
//! | `POST /servers/NAME/out`, `/in` | the same |
//!
//! Every request carries `Authorization: Bearer TOKEN`. A refusal is a [`Refusal`].

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
