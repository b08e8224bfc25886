//! Operators' requests to the agreement: orders and queries, as [`operators`] describes them.

use std::time;

use super::agent::{AgentHandle, Event};
use crate::{
    agree::{
        change::{Order, Outcome},
        record::Target,
    },
    config, http, operators, yaml,
};

/// Longest time for the body of a request to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Answers `req` if its method and path are a request to the agreement, else returns it as the
/// error.
pub async fn handle(
    agent: &AgentHandle,
    req: http::Request,
) -> Result<http::Response, http::Request> {
    let method = req.method().as_str().to_owned();
    let path = req.uri().path().to_owned();
    Ok(match (method.as_str(), path.as_str(), operators::ServiceState::parse(&path)) {
        ("GET", "/status", _) => answer_json(agent.query(Event::SurveyedStatus).await),
        ("GET", "/history", _) => answer_json(agent.query(Event::History).await),
        ("GET", "/config", _) => {
            answer_json(agent.query(Event::Config).await.map(operators::ConfigInForce::from))
        }
        ("POST", "/apply", _) => apply(agent, req).await,
        ("POST", _, Some((state, target))) => order_state(agent, state, target).await,
        _ => return Err(req),
    })
}

async fn apply(agent: &AgentHandle, req: http::Request) -> http::Response {
    let query = req.uri().query().unwrap_or_default().to_string();
    let base = query.split('&').find_map(|pair| pair.strip_prefix("base="));
    let base = match base.map(str::parse) {
        None => None,
        Some(Ok(base)) => Some(base),
        Some(Err(_)) => {
            return http::answer::refusal(400, "Give base as a version, such as base=12.", None);
        }
    };
    let Some(text) = read_text(req).await else {
        let problem = "Send the configuration as UTF-8 of at most 3 MiB, within 10 s.";
        return http::answer::refusal(400, problem, None);
    };
    match config::parse(&text) {
        Ok(_) => submit(agent, Order::Apply { text, base }).await,
        Err(findings) => refuse_findings(findings),
    }
}

/// Reads the request's body as text; `None` if it is too long, too late or not UTF-8.
async fn read_text(req: http::Request) -> Option<String> {
    let timeout_at = tokio::time::Instant::now() + BODY_TIMEOUT;
    let body = req.into_body().read_to_end(config::MAX_CONFIG_BYTES, timeout_at).await.ok()?;
    String::from_utf8(body.to_vec()).ok()
}

fn refuse_findings(findings: yaml::Findings) -> http::Response {
    let error =
        "The configuration has errors; nothing was changed. Correct them and apply it again."
            .into();
    http::answer::json(422, &operators::Refusal { error, findings })
}

async fn order_state(
    agent: &AgentHandle,
    state: operators::ServiceState,
    target: Target,
) -> http::Response {
    if state == operators::ServiceState::Out && !is_configured(agent, &target).await {
        let problem = format!("The configuration in force has no {target}; see GET /config.");
        return http::answer::refusal(404, &problem, None);
    }
    submit(agent, state.order(target)).await
}

/// Whether the configuration in force contains `target`; true if it does not parse.
async fn is_configured(agent: &AgentHandle, target: &Target) -> bool {
    let Some(effective) = agent.query(Event::Config).await else { return false };
    let Ok(config) = config::parse(&effective.committed.text) else { return true };
    match target {
        Target::Zone(zone) => config.zones.contains_key(zone),
        Target::Server(server) => config.servers.contains_key(server),
    }
}

async fn submit(agent: &AgentHandle, order: Order) -> http::Response {
    let Some(outcome) = agent.query(|tx| Event::Order(order, tx)).await else {
        return http::answer::refusal(503, "The process is shutting down.", None);
    };
    http::answer::json(status_code(&outcome), &outcome)
}

fn status_code(outcome: &Outcome) -> u16 {
    match outcome {
        Outcome::Committed { .. } => 200,
        Outcome::NotDurable { .. } => 202,
        Outcome::Conflict { .. } => 409,
        Outcome::Unavailable { .. } => 503,
        Outcome::Unknown { .. } => 504,
    }
}

fn answer_json<T: serde::Serialize>(value: Option<T>) -> http::Response {
    match value {
        Some(value) => http::answer::json(200, &value),
        None => http::answer::refusal(503, "The process is shutting down.", None),
    }
}
