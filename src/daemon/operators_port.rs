//! The operators' port: metrics, dump and the requests that [`orders`] answers. Every request
//! needs the token.

use std::rc;

use tokio::sync::oneshot;

use super::{
    agent::{AgentHandle, Event},
    orders,
};
use crate::{http, metrics, operators, peer};

/// Answers the requests of operators.
pub struct OperatorsPort<F> {
    /// Secret that operators send with each request.
    pub token: String,
    /// Requests the state of the main thread, which is sent to the given channel.
    pub dump: F,
    /// Handle to the agent.
    pub agent: AgentHandle,
    /// The metrics that `GET /metrics` returns.
    pub page: metrics::Page,
}

impl<F> http::Handler for OperatorsPort<F>
where
    F: Fn(oneshot::Sender<serde_json::Value>) + 'static,
{
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let given_token = header(&req, "authorization").strip_prefix("Bearer ").unwrap_or_default();
        match (req.method().as_str(), req.uri().path()) {
            _ if !peer::secrets_match(given_token, &self.token) => http::answer::refusal(
                401,
                "Send the token of the settings as `Authorization: Bearer TOKEN`.",
                None,
            ),
            ("GET", "/dump") => {
                self.dump_state(header(&req, "accept").starts_with("text/plain")).await
            }
            ("GET", "/metrics") => self.metrics().await,
            _ => orders::handle(&self.agent, req).await.unwrap_or_else(|req| not_found(&req)),
        }
    }
}

impl<F> OperatorsPort<F>
where
    F: Fn(oneshot::Sender<serde_json::Value>) + 'static,
{
    async fn metrics(&self) -> http::Response {
        if let Some(status) = self.agent.query(Event::LocalStatus).await {
            self.page.set_agreement(&status);
        }
        http::answer::text(200, self.page.render())
    }

    async fn dump_state(&self, as_text: bool) -> http::Response {
        let (tx, rx) = oneshot::channel();
        (self.dump)(tx);
        let agreement = self.agent.query(Event::LocalStatus).await;
        match (rx.await, as_text) {
            (Ok(state), false) => http::answer::json(200, &with_agreement(state, &agreement)),
            (Ok(state), true) => http::answer::text(
                200,
                operators::indented_text(&with_agreement(state, &agreement)),
            ),
            (Err(_), _) => http::answer::refusal(503, "The process is shutting down.", None),
        }
    }
}

/// Adds the status of the agreement to the state of the process.
fn with_agreement(
    mut state: serde_json::Value,
    agreement: &impl serde::Serialize,
) -> serde_json::Value {
    state["agreement"] = serde_json::to_value(agreement).unwrap_or_default();
    state
}

fn not_found(req: &http::Request) -> http::Response {
    let problem = format!(
        "The request {} {} is not supported; see the manual.",
        req.method(),
        req.uri().path()
    );
    http::answer::refusal(404, &problem, None)
}

fn header<'a>(req: &'a http::Request, name: &str) -> &'a str {
    req.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
