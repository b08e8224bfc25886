//! The operators' port: dump, and what [`orders`] answers, behind the token of the settings.

use std::rc;

use tokio::sync::oneshot;

use super::{agent::Link, orders};
use crate::{http, peer};

/// Answers operators.
pub struct Port<F> {
    /// Secret that operators present.
    pub token: String,
    /// Asks the main thread for its state.
    pub dump: F,
    /// The way to the agent.
    pub link: Link,
}

impl<F> http::Handler for Port<F>
where
    F: Fn(oneshot::Sender<serde_json::Value>) + 'static,
{
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let given = req.headers().get("authorization").and_then(|value| value.to_str().ok());
        let given = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        match req.uri().path() {
            _ if !peer::same(given, &self.token) => {
                http::answer::refusal(401, "Present the token of the settings.", None)
            }
            "/dump" => self.state().await,
            _ => orders::handle(&self.link, req).await.unwrap_or_else(|req| {
                let problem = format!("There is nothing at {}.", req.uri().path());
                http::answer::refusal(404, &problem, None)
            }),
        }
    }
}

impl<F> Port<F>
where
    F: Fn(oneshot::Sender<serde_json::Value>) + 'static,
{
    async fn state(&self) -> http::Response {
        let (tx, rx) = oneshot::channel();
        (self.dump)(tx);
        match rx.await {
            Ok(state) => http::answer::json(200, &state),
            Err(_) => http::answer::refusal(503, "The process is ending.", None),
        }
    }
}
