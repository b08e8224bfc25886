//! HTTP calls that a client of the demo makes.

use std::{io::Read, net, time};

/// Time limit of one call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Answer as the client received it.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `Ran`; empty if the answer has none.
    pub ran: String,
    /// Value of the header `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// Body as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body was received completely.
    pub complete: bool,
}

/// Sends a GET request.
pub fn get(at: net::SocketAddr, path: &str) -> anyhow::Result<Answer> {
    send("GET", at, path, &[], "")
}

/// Sends a POST request.
pub fn post(
    at: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<Answer> {
    send("POST", at, path, headers, body)
}

fn send(
    method: &str,
    at: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<Answer> {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent();
    let req = http::Request::builder().method(method).uri(format!("http://{at}{path}"));
    let req = headers.iter().fold(req, |req, (name, value)| req.header(*name, *value));
    let res = agent.run(req.body(body.to_owned())?)?;
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (status, ran) = (res.status().as_u16(), header("ran"));
    let retry_after = header("retry-after").parse().ok();
    let mut body = Vec::new();
    let complete = res.into_body().into_reader().read_to_end(&mut body).is_ok();
    Ok(Answer { status, ran, retry_after, body, complete })
}
