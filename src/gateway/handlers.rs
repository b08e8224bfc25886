//! HTTP handlers of a gateway's readiness port and operators' port.

use std::rc;

use super::state::Gateway;
use crate::{http, operators, peer, platform::exchange};

/// Answers the balancer's readiness polls: whether it may send clients to this gateway.
pub struct Readiness {
    /// State of the gateway.
    pub gateway: rc::Rc<Gateway>,
}

impl http::Handler for Readiness {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        match (req.uri().path(), self.gateway.is_ready()) {
            (exchange::READY_PATH, true) => http::answer::text(200, "ready\n"),
            (exchange::READY_PATH, false) => http::answer::text(503, "not ready\n"),
            (path, _) => http::answer::path_not_found(path),
        }
    }
}

/// Serves metrics and the state dump to operators.
pub struct Operators {
    /// State of the gateway.
    pub gateway: rc::Rc<Gateway>,
    /// Secret that operators must present for everything but the metrics.
    pub token: String,
}

impl http::Handler for Operators {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let header = |name| req.headers().get(name).and_then(|value| value.to_str().ok());
        let token = header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let allowed = peer::secrets_match(token.unwrap_or_default(), &self.token);
        let readable = header("accept").is_some_and(|kinds| kinds.starts_with("text/plain"));
        match req.uri().path() {
            "/metrics" => {
                self.gateway.metrics.page.set_ready(self.gateway.is_ready());
                http::answer::text(200, self.gateway.metrics.page.render())
            }
            _ if !allowed => http::answer::refusal(
                401,
                "Send the token of the settings as `Authorization: Bearer TOKEN`.",
                None,
            ),
            "/dump" if readable => {
                http::answer::text(200, operators::indented_text(&self.gateway.dump()))
            }
            "/dump" => http::answer::json(200, &self.gateway.dump()),
            path => http::answer::path_not_found(path),
        }
    }
}
