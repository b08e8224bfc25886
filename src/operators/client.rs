//! Requests to the operators' port of one process.

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

/// Longest time for one answer; an order may wait for the platform.
const WITHIN: time::Duration = time::Duration::from_secs(15);

/// Longest time until the connection stands.
const CONNECT: time::Duration = time::Duration::from_secs(3);

/// Largest answer, in bytes.
const ANSWER_BYTES: u64 = 64 << 20;

/// HTTP statuses with which an order's outcome comes.
const OUTCOMES: [u16; 5] = [200, 202, 409, 503, 504];

/// A client of the process at one address.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    address: net::SocketAddr,
    token: String,
}

impl Client {
    /// Makes a client that presents `token` to the process at `address`.
    pub fn new(address: net::SocketAddr, token: &str) -> Self {
        let cfg = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(WITHIN))
            .timeout_connect(Some(CONNECT))
            .build();
        Self { agent: cfg.into(), address, token: token.into() }
    }

    /// The process's address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// State of the process.
    pub fn dump(&self) -> Result<serde_json::Value> {
        self.get("/dump")
    }

    /// State of the agreement; asks the process to look at all others.
    pub fn status(&self) -> Result<Status> {
        self.get("/status")
    }

    /// Configuration in force at the process.
    pub fn config(&self) -> Result<ConfigInForce> {
        self.get("/config")
    }

    /// Committed changes, oldest first.
    pub fn history(&self) -> Result<Vec<Change>> {
        self.get("/history")
    }

    /// Puts `text`, which was made from version `base`, in force.
    pub fn apply(&self, text: &str, base: Option<u64>) -> Result<Outcome> {
        let query = base.map_or_else(String::new, |base| format!("?base={base}"));
        self.post(&format!("/apply{query}"), text)
    }

    /// Takes `target` out of service or brings it back.
    pub fn set_state(&self, turn: ServiceState, target: &Target) -> Result<Outcome> {
        self.post(&turn.path(target), "")
    }

    fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<T> {
        let req = self.agent.get(self.url(path)).header("authorization", self.bearer());
        self.answer(req.call(), &[200])
    }

    fn post<T: de::DeserializeOwned>(&self, path: &str, body: &str) -> Result<T> {
        let req = self.agent.post(self.url(path)).header("authorization", self.bearer());
        self.answer(req.send(body), &OUTCOMES)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }

    fn answer<T: de::DeserializeOwned>(
        &self,
        answered: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
        taken: &[u16],
    ) -> Result<T> {
        let mut res = answered.map_err(|err| self.unreached(&err))?;
        let status = res.status().as_u16();
        let body = res.body_mut().with_config().limit(ANSWER_BYTES).read_to_string();
        let body = body.map_err(|err| self.unreached(&err))?;
        match (status, serde_json::from_str(&body)) {
            (status, Ok(value)) if taken.contains(&status) => Ok(value),
            (200, Err(err)) => Err(self.unreadable(&err)),
            (401, _) => Err(Error::TokenRejected { address: self.address }),
            (status, _) => Err(self.refused(status, &body)),
        }
    }

    fn unreached(&self, err: &ureq::Error) -> Error {
        Error::Connection { peer: self.address.to_string(), problem: err.to_string() }
    }

    fn unreadable(&self, err: &serde_json::Error) -> Error {
        let problem = format!("Its answer does not parse ({err}); use the tool of its version.");
        Error::Refused { address: self.address, status: 200, problem }
    }

    fn refused(&self, status: u16, body: &str) -> Error {
        let fault: Refusal = serde_json::from_str(body).unwrap_or_default();
        match fault {
            Refusal { findings, .. } if !findings.is_empty() => {
                Error::InvalidFile { path: "text".into(), findings }
            }
            Refusal { error, .. } => {
                Error::Refused { address: self.address, status, problem: error }
            }
        }
    }
}
