//! The operators' port: metrics, dump, and what [`orders`] answers, behind the token.

use std::rc;

use tokio::sync::oneshot;

use super::{
    agent::{AgentHandle, Event},
    orders,
};
use crate::{http, metrics, operators, peer};

/// Answers operators.
pub struct OperatorsPort<F> {
    /// Secret that operators present.
    pub token: String,
    /// Asks the main thread for its state.
    pub dump: F,
    /// The way to the agent.
    pub link: AgentHandle,
    /// What `GET /metrics` answers with.
    pub page: metrics::Page,
}

impl<F> http::Handler for OperatorsPort<F>
where
    F: Fn(oneshot::Sender<serde_json::Value>) + 'static,
{
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let given = header(&req, "authorization").strip_prefix("Bearer ").unwrap_or_default();
        match (req.method().as_str(), req.uri().path()) {
            _ if !peer::same(given, &self.token) => {
                http::answer::refusal(401, "Present the token of the settings.", None)
            }
            ("GET", "/dump") => self.state(header(&req, "accept").starts_with("text/plain")).await,
            ("GET", "/metrics") => self.metrics().await,
            _ => orders::handle(&self.link, req).await.unwrap_or_else(|req| nothing(&req)),
        }
    }
}

impl<F> OperatorsPort<F>
where
    F: Fn(oneshot::Sender<serde_json::Value>) + 'static,
{
    async fn metrics(&self) -> http::Response {
        if let Some(status) = self.link.query(Event::LocalStatus).await {
            self.page.agreement(&status);
        }
        http::answer::text(200, self.page.render())
    }

    async fn state(&self, readable: bool) -> http::Response {
        let (tx, rx) = oneshot::channel();
        (self.dump)(tx);
        let agreement = self.link.query(Event::LocalStatus).await;
        match (rx.await, readable) {
            (Ok(state), false) => http::answer::json(200, &whole(state, &agreement)),
            (Ok(state), true) => {
                http::answer::text(200, operators::indented_text(&whole(state, &agreement)))
            }
            (Err(_), _) => http::answer::refusal(503, "The process is ending.", None),
        }
    }
}

/// The state of the process with that of its agreement.
fn whole(mut state: serde_json::Value, agreement: &impl serde::Serialize) -> serde_json::Value {
    state["agreement"] = serde_json::to_value(agreement).unwrap_or_default();
    state
}

fn nothing(req: &http::Request) -> http::Response {
    let problem = format!("There is no {} {}; see the manual.", req.method(), req.uri().path());
    http::answer::refusal(404, &problem, None)
}

fn header<'a>(req: &'a http::Request, name: &str) -> &'a str {
    req.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
