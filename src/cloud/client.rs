//! The platform over HTTP: conditional requests of RFC 9110 through `ureq`.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time,
};

use serde::de;
use ureq::http;

use crate::{Error, Result, cloud};

const TABLE: &str = "table";
const OBJECTS: &str = "object store";
const HOSTS: &str = "host list";

/// Largest body read from the platform, in bytes.
const BODY_LIMIT: u64 = 64 << 20;

/// Idle connections kept to the platform.
const IDLE_CONNECTIONS: usize = 4;

/// A client of the platform's services; cheap to share between threads.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    root: String,
    listed: Arc<Mutex<Option<Listing>>>,
}

/// The host list as last read, and its tag.
#[derive(Clone, Debug)]
struct Listing {
    etag: String,
    hosts: Vec<cloud::ListedHost>,
}

impl Client {
    /// Makes a client for the platform at `root`, such as `http://10.0.0.9:8000`.
    pub fn new(root: &str) -> Self {
        let cfg = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(IDLE_CONNECTIONS)
            .build();
        Self { agent: cfg.into(), root: root.trim_end_matches('/').into(), listed: Arc::default() }
    }

    fn listing(&self) -> MutexGuard<'_, Option<Listing>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn url(&self, service: &str, key: &str) -> String {
        format!("{}/{service}/{}", self.root, encode(key))
    }

    fn get(&self, url: &str, service: &'static str, within: time::Duration) -> Result<Answer> {
        self.get_newer(url, None, service, within)
    }

    /// Reads `url` unless it still has the tag `known`; then the status is 304.
    fn get_newer(
        &self,
        url: &str,
        known: Option<&str>,
        service: &'static str,
        within: time::Duration,
    ) -> Result<Answer> {
        let req = self.agent.get(url);
        let req = match known {
            Some(etag) => req.header("If-None-Match", etag),
            None => req,
        };
        let req = req.config().timeout_global(Some(within)).build();
        Answer::collect(req.call(), service)
    }
}

impl cloud::Table for Client {
    fn read(&self, key: &str, within: time::Duration) -> Result<Option<cloud::Row>> {
        let answer = self.get(&self.url("table", key), TABLE, within)?;
        match answer.status {
            200 => Ok(Some(cloud::Row { etag: answer.etag()?, value: answer.text()? })),
            404 => Ok(None),
            _ => Err(answer.unexpected()),
        }
    }

    fn read_if_changed(
        &self,
        key: &str,
        known: Option<&cloud::Etag>,
        within: time::Duration,
    ) -> Result<cloud::ConditionalRead> {
        let known = known.map(|etag| etag.0.as_str());
        let answer = self.get_newer(&self.url("table", key), known, TABLE, within)?;
        match answer.status {
            304 => Ok(cloud::ConditionalRead::Unchanged),
            404 => Ok(cloud::ConditionalRead::Row(None)),
            200 => {
                let row = cloud::Row { etag: answer.etag()?, value: answer.text()? };
                Ok(cloud::ConditionalRead::Row(Some(row)))
            }
            _ => Err(answer.unexpected()),
        }
    }

    fn write(
        &self,
        key: &str,
        value: &str,
        when: &cloud::Precondition,
        within: time::Duration,
    ) -> Result<cloud::WriteOutcome> {
        let req = self.agent.put(self.url("table", key));
        let req = match when {
            cloud::Precondition::Absent => req.header("If-None-Match", "*"),
            cloud::Precondition::Unchanged(etag) => req.header("If-Match", &etag.0),
        };
        let req = req.config().timeout_global(Some(within)).build();
        let answer = Answer::collect(req.send(value), TABLE)?;
        match answer.status {
            200 | 201 | 204 => Ok(cloud::WriteOutcome::Done(answer.etag()?)),
            412 => Ok(cloud::WriteOutcome::Refused),
            _ => Err(answer.unexpected()),
        }
    }

    fn delete(&self, key: &str, etag: &cloud::Etag, within: time::Duration) -> Result<bool> {
        let req = self.agent.delete(self.url("table", key)).header("If-Match", &etag.0);
        let req = req.config().timeout_global(Some(within)).build();
        let answer = Answer::collect(req.call(), TABLE)?;
        match answer.status {
            200 | 204 => Ok(true),
            404 | 412 => Ok(false),
            _ => Err(answer.unexpected()),
        }
    }
}

impl cloud::Objects for Client {
    fn get(&self, key: &str, within: time::Duration) -> Result<Option<Vec<u8>>> {
        let answer = Client::get(self, &self.url("objects", key), OBJECTS, within)?;
        match answer.status {
            200 => Ok(Some(answer.body)),
            404 => Ok(None),
            _ => Err(answer.unexpected()),
        }
    }

    fn put(&self, key: &str, data: &[u8], within: time::Duration) -> Result {
        let req = self.agent.put(self.url("objects", key));
        let req = req.config().timeout_global(Some(within)).build();
        let answer = Answer::collect(req.send(data), OBJECTS)?;
        match answer.status {
            200 | 201 | 204 => Ok(()),
            _ => Err(answer.unexpected()),
        }
    }
}

impl cloud::Hosts for Client {
    fn list(&self, within: time::Duration) -> Result<Vec<cloud::ListedHost>> {
        let kept = self.listing().clone();
        let known = kept.as_ref().map(|kept| kept.etag.as_str());
        let answer = self.get_newer(&format!("{}/hosts", self.root), known, HOSTS, within)?;
        let hosts = match (answer.status, kept) {
            (304, Some(kept)) => return Ok(kept.hosts),
            (200, _) => answer.json::<Vec<cloud::ListedHost>>()?,
            _ => return Err(answer.unexpected()),
        };
        let keep = |etag| Listing { etag, hosts: hosts.clone() };
        *self.listing() = answer.etag.map(keep);
        Ok(hosts)
    }
}

struct Answer {
    service: &'static str,
    status: u16,
    etag: Option<String>,
    body: Vec<u8>,
}

impl Answer {
    fn collect(
        res: Result<http::Response<ureq::Body>, ureq::Error>,
        service: &'static str,
    ) -> Result<Self> {
        let mut res = res.map_err(|err| down(service, err.to_string()))?;
        let etag = res.headers().get("ETag").and_then(|tag| tag.to_str().ok()).map(String::from);
        let body = res.body_mut().with_config().limit(BODY_LIMIT).read_to_vec();
        let body = body.map_err(|err| down(service, err.to_string()))?;
        Ok(Self { service, status: res.status().as_u16(), etag, body })
    }

    fn etag(&self) -> Result<cloud::Etag> {
        match &self.etag {
            Some(etag) => Ok(cloud::Etag(etag.clone())),
            None => Err(down(self.service, "the answer has no ETag".into())),
        }
    }

    fn text(self) -> Result<String> {
        String::from_utf8(self.body).map_err(|err| down(self.service, err.to_string()))
    }

    fn json<T: de::DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|err| down(self.service, err.to_string()))
    }

    fn unexpected(&self) -> Error {
        down(self.service, format!("it answered with status {}", self.status))
    }
}

fn down(service: &'static str, problem: String) -> Error {
    Error::PlatformDown { service, problem }
}

/// Percent-encodes all but unreserved characters and `/`.
fn encode(key: &str) -> String {
    let mut buf = String::with_capacity(key.len());
    for byte in key.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                buf.push(byte.into());
            }
            _ => buf.push_str(&format!("%{byte:02X}")),
        }
    }
    buf
}
