//! HTTP client for the operators' port of one process.

use std::{net, time};

use serde::de;

use super::{ConfigInForce, Refusal, ServiceState};
use crate::{
    Error, Result,
    agree::{
        change::Outcome,
        record::{Change, Target},
        status::Status,
    },
};

/// Longest time for one request; an order may wait for the platform.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Longest time to open the connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// HTTP statuses of answers that carry the outcome of an order.
const OUTCOME_STATUSES: [u16; 5] = [200, 202, 409, 503, 504];

/// A client for the operators' port at one address.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    address: net::SocketAddr,
    token: String,
}

impl Client {
    /// Creates a client that sends `token` to the process at `address`.
    pub fn new(address: net::SocketAddr, token: &str) -> Self {
        let cfg = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self { agent: cfg.into(), address, token: token.into() }
    }

    /// Returns the address of the process.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Fetches the state of the process.
    pub fn dump(&self) -> Result<serde_json::Value> {
        self.get("/dump")
    }

    /// Fetches the status of the agreement; the process also asks all others for their version.
    pub fn status(&self) -> Result<Status> {
        self.get("/status")
    }

    /// Fetches the configuration in force at the process.
    pub fn config(&self) -> Result<ConfigInForce> {
        self.get("/config")
    }

    /// Fetches the committed changes, oldest first.
    pub fn history(&self) -> Result<Vec<Change>> {
        self.get("/history")
    }

    /// Puts the configuration `text` in force. With `base`, the version that `text` was made from,
    /// the order is refused if another configuration was applied after that version.
    pub fn apply(&self, text: &str, base: Option<u64>) -> Result<Outcome> {
        let query = base.map_or_else(String::new, |base| format!("?base={base}"));
        self.post(&format!("/apply{query}"), text)
    }

    /// Takes `target` out of service or back into service.
    pub fn set_state(&self, state: ServiceState, target: &Target) -> Result<Outcome> {
        self.post(&state.path(target), "")
    }

    fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<T> {
        let req = self.agent.get(self.url(path)).header("authorization", self.authorization());
        self.parse_answer(req.call(), &[200])
    }

    fn post<T: de::DeserializeOwned>(&self, path: &str, body: &str) -> Result<T> {
        let req = self.agent.post(self.url(path)).header("authorization", self.authorization());
        self.parse_answer(req.send(body), &OUTCOME_STATUSES)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.token)
    }

    fn parse_answer<T: de::DeserializeOwned>(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
        expected_statuses: &[u16],
    ) -> Result<T> {
        let mut res = result.map_err(|err| self.connection_error(&err))?;
        let status = res.status().as_u16();
        let body = res.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_string();
        let body = body.map_err(|err| self.connection_error(&err))?;
        match (status, serde_json::from_str(&body)) {
            (status, Ok(value)) if expected_statuses.contains(&status) => Ok(value),
            (200, Err(err)) => Err(self.parse_error(&err)),
            (401, _) => Err(Error::TokenRejected { address: self.address }),
            (status, _) => Err(self.refusal_error(status, &body)),
        }
    }

    fn connection_error(&self, err: &ureq::Error) -> Error {
        Error::Connection { peer: self.address.to_string(), problem: err.to_string() }
    }

    fn parse_error(&self, err: &serde_json::Error) -> Error {
        let problem = format!(
            "The answer does not parse ({err}); use the tool version that matches the process."
        );
        Error::Refused { address: self.address, status: 200, problem }
    }

    fn refusal_error(&self, status: u16, body: &str) -> Error {
        let refusal: Refusal = serde_json::from_str(body).unwrap_or_default();
        match refusal {
            Refusal { findings, .. } if !findings.is_empty() => {
                Error::InvalidFile { path: "configuration".into(), findings }
            }
            Refusal { error, .. } => {
                Error::Refused { address: self.address, status, problem: error }
            }
        }
    }
}
