//! HTTP client for the platform's services; uses conditional requests (RFC 9110) through `ureq`.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time,
};

use serde::de;
use ureq::http;

use crate::{Error, Result, cloud};

const TABLE_SERVICE: &str = "table";
const OBJECT_STORE: &str = "object store";
const HOST_LIST: &str = "host list";

/// Limit on the size of an answer's body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Maximum number of idle connections to the platform that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Client of the platform's services; clones share connections and the cached host list.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    root: String,
    host_list: Arc<Mutex<Option<CachedHosts>>>,
}

/// Host list as last read, with its tag.
#[derive(Clone, Debug)]
struct CachedHosts {
    etag: String,
    hosts: Vec<cloud::ListedHost>,
}

impl Client {
    /// Creates a client for the platform at `root`, such as `http://10.0.0.9:8000`.
    pub fn new(root: &str) -> Self {
        let cfg = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .build();
        Self {
            agent: cfg.into(),
            root: root.trim_end_matches('/').into(),
            host_list: Arc::default(),
        }
    }

    fn lock_host_list(&self) -> MutexGuard<'_, Option<CachedHosts>> {
        self.host_list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn url(&self, service: &str, key: &str) -> String {
        format!("{}/{service}/{}", self.root, percent_encode(key))
    }

    fn get(&self, url: &str, service: &'static str, timeout: time::Duration) -> Result<Answer> {
        self.get_if_changed(url, None, service, timeout)
    }

    /// Reads `url` unless it still has the tag `known_etag`; if so, the answer has the status 304.
    fn get_if_changed(
        &self,
        url: &str,
        known_etag: Option<&str>,
        service: &'static str,
        timeout: time::Duration,
    ) -> Result<Answer> {
        let req = self.agent.get(url);
        let req = match known_etag {
            Some(etag) => req.header("If-None-Match", etag),
            None => req,
        };
        let req = req.config().timeout_global(Some(timeout)).build();
        Answer::collect(req.call(), service)
    }
}

impl cloud::Table for Client {
    fn read(&self, key: &str, timeout: time::Duration) -> Result<Option<cloud::Row>> {
        let answer = self.get(&self.url("table", key), TABLE_SERVICE, timeout)?;
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
        timeout: time::Duration,
    ) -> Result<cloud::ConditionalRead> {
        let known_etag = known.map(|etag| etag.0.as_str());
        let answer =
            self.get_if_changed(&self.url("table", key), known_etag, TABLE_SERVICE, timeout)?;
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
        precondition: &cloud::Precondition,
        timeout: time::Duration,
    ) -> Result<cloud::WriteOutcome> {
        let req = self.agent.put(self.url("table", key));
        let req = match precondition {
            cloud::Precondition::Absent => req.header("If-None-Match", "*"),
            cloud::Precondition::Unchanged(etag) => req.header("If-Match", &etag.0),
        };
        let req = req.config().timeout_global(Some(timeout)).build();
        let answer = Answer::collect(req.send(value), TABLE_SERVICE)?;
        match answer.status {
            200 | 201 | 204 => Ok(cloud::WriteOutcome::Done(answer.etag()?)),
            412 => Ok(cloud::WriteOutcome::Refused),
            _ => Err(answer.unexpected()),
        }
    }

    fn delete(&self, key: &str, etag: &cloud::Etag, timeout: time::Duration) -> Result<bool> {
        let req = self.agent.delete(self.url("table", key)).header("If-Match", &etag.0);
        let req = req.config().timeout_global(Some(timeout)).build();
        let answer = Answer::collect(req.call(), TABLE_SERVICE)?;
        match answer.status {
            200 | 204 => Ok(true),
            404 | 412 => Ok(false),
            _ => Err(answer.unexpected()),
        }
    }
}

impl cloud::Objects for Client {
    fn get(&self, key: &str, timeout: time::Duration) -> Result<Option<Vec<u8>>> {
        let answer = Client::get(self, &self.url("objects", key), OBJECT_STORE, timeout)?;
        match answer.status {
            200 => Ok(Some(answer.body)),
            404 => Ok(None),
            _ => Err(answer.unexpected()),
        }
    }

    fn put(&self, key: &str, data: &[u8], timeout: time::Duration) -> Result {
        let req = self.agent.put(self.url("objects", key));
        let req = req.config().timeout_global(Some(timeout)).build();
        let answer = Answer::collect(req.send(data), OBJECT_STORE)?;
        match answer.status {
            200 | 201 | 204 => Ok(()),
            _ => Err(answer.unexpected()),
        }
    }
}

impl cloud::Hosts for Client {
    fn list(&self, timeout: time::Duration) -> Result<Vec<cloud::ListedHost>> {
        let cached = self.lock_host_list().clone();
        let known_etag = cached.as_ref().map(|cached| cached.etag.as_str());
        let answer =
            self.get_if_changed(&format!("{}/hosts", self.root), known_etag, HOST_LIST, timeout)?;
        let hosts = match (answer.status, cached) {
            (304, Some(cached)) => return Ok(cached.hosts),
            (200, _) => answer.json::<Vec<cloud::ListedHost>>()?,
            _ => return Err(answer.unexpected()),
        };
        let cache = |etag| CachedHosts { etag, hosts: hosts.clone() };
        *self.lock_host_list() = answer.etag.map(cache);
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
        let mut res = res.map_err(|err| unavailable(service, err.to_string()))?;
        let etag = res.headers().get("ETag").and_then(|tag| tag.to_str().ok()).map(String::from);
        let body = res.body_mut().with_config().limit(MAX_BODY_BYTES).read_to_vec();
        let body = body.map_err(|err| unavailable(service, err.to_string()))?;
        Ok(Self { service, status: res.status().as_u16(), etag, body })
    }

    fn etag(&self) -> Result<cloud::Etag> {
        match &self.etag {
            Some(etag) => Ok(cloud::Etag(etag.clone())),
            None => Err(unavailable(self.service, "the answer has no ETag".into())),
        }
    }

    fn text(self) -> Result<String> {
        String::from_utf8(self.body).map_err(|err| unavailable(self.service, err.to_string()))
    }

    fn json<T: de::DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|err| unavailable(self.service, err.to_string()))
    }

    fn unexpected(&self) -> Error {
        unavailable(self.service, format!("it answered with status {}", self.status))
    }
}

fn unavailable(service: &'static str, problem: String) -> Error {
    Error::PlatformUnavailable { service, problem }
}

/// Percent-encodes all bytes of `key` but unreserved characters and `/`.
fn percent_encode(key: &str) -> String {
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
