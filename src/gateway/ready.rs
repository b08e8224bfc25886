//! The balancer's and the operators' ports of a gateway.

use std::rc;

use super::desk::Desk;
use crate::{http, operators, peer, platform::exchange};

/// Tells the balancer whether to send callers here.
pub struct Ready {
    /// State of the gateway.
    pub desk: rc::Rc<Desk>,
}

impl http::Handler for Ready {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        match (req.uri().path(), self.desk.ready()) {
            (exchange::READY_PATH, true) => http::answer::text(200, "ready\n"),
            (exchange::READY_PATH, false) => http::answer::text(503, "not ready\n"),
            (path, _) => http::answer::no_path(path),
        }
    }
}

/// Metrics and state for operators.
pub struct Operators {
    /// State of the gateway.
    pub desk: rc::Rc<Desk>,
    /// Secret that operators present for the state.
    pub token: String,
}

impl http::Handler for Operators {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let header = |name| req.headers().get(name).and_then(|value| value.to_str().ok());
        let given = header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let allowed = peer::same(given.unwrap_or_default(), &self.token);
        let readable = header("accept").is_some_and(|kinds| kinds.starts_with("text/plain"));
        match req.uri().path() {
            "/metrics" => {
                self.desk.metrics.page.ready(self.desk.ready());
                http::answer::text(200, self.desk.metrics.page.render())
            }
            _ if !allowed => http::answer::refusal(401, "Present the token of the settings.", None),
            "/dump" if readable => http::answer::text(200, operators::readable(&self.desk.dump())),
            "/dump" => http::answer::json(200, &self.desk.dump()),
            path => http::answer::no_path(path),
        }
    }
}
