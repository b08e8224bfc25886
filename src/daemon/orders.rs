//! Operators' orders and questions about the agreement, as [`operators`] describes them.

use std::time;

use http_body_util::BodyExt;

use super::agent::{AgentHandle, Event};
use crate::{
    agree::{
        change::{Order, Outcome},
        record::Target,
    },
    config, http, operators, yaml,
};

/// Longest time for a text to arrive.
const BODY_TIME: time::Duration = time::Duration::from_secs(10);

/// Answers `req` if its path is one of the agreement's; gives it back if not.
pub async fn handle(
    link: &AgentHandle,
    req: http::Request,
) -> Result<http::Response, http::Request> {
    let method = req.method().as_str().to_owned();
    let path = req.uri().path().to_owned();
    Ok(match (method.as_str(), path.as_str(), operators::ServiceState::parse(&path)) {
        ("GET", "/status", _) => reply(link.query(Event::SurveyedStatus).await),
        ("GET", "/history", _) => reply(link.query(Event::History).await),
        ("GET", "/config", _) => {
            reply(link.query(Event::Config).await.map(operators::ConfigInForce::from))
        }
        ("POST", "/apply", _) => apply(link, req).await,
        ("POST", _, Some((turn, target))) => order_turn(link, turn, target).await,
        _ => return Err(req),
    })
}

async fn apply(link: &AgentHandle, req: http::Request) -> http::Response {
    let query = req.uri().query().unwrap_or_default().to_string();
    let base = query.split('&').find_map(|pair| pair.strip_prefix("base="));
    let base = match base.map(str::parse) {
        None => None,
        Some(Ok(base)) => Some(base),
        Some(Err(_)) => {
            return http::answer::refusal(400, "Give base as a version, such as base=12.", None);
        }
    };
    let Some(text) = text(req).await else {
        let problem = "Send the text as UTF-8 of at most 3 MiB, within 10 s.";
        return http::answer::refusal(400, problem, None);
    };
    match config::parse(&text) {
        Ok(_) => order(link, Order::Apply { text, base }).await,
        Err(findings) => faulty(findings),
    }
}

/// The request's body as text; `None` if it is too long, too late or no text.
async fn text(req: http::Request) -> Option<String> {
    let body = http_body_util::Limited::new(req.into_body(), config::TEXT_BYTES).collect();
    let body = tokio::time::timeout(BODY_TIME, body).await.ok()?.ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}

fn faulty(findings: yaml::Findings) -> http::Response {
    let error = "The text has faults; nothing was changed. Correct them and apply it again.".into();
    http::answer::json(422, &operators::Refusal { error, findings })
}

async fn order_turn(
    link: &AgentHandle,
    turn: operators::ServiceState,
    target: Target,
) -> http::Response {
    if turn == operators::ServiceState::Out && !known(link, &target).await {
        let problem = format!("The configuration in force has no {target}; see GET /config.");
        return http::answer::refusal(404, &problem, None);
    }
    order(link, turn.order(target)).await
}

async fn known(link: &AgentHandle, target: &Target) -> bool {
    let Some(effective) = link.query(Event::Config).await else { return false };
    let Ok(config) = config::parse(&effective.committed.text) else { return true };
    match target {
        Target::Zone(zone) => config.zones.contains_key(zone),
        Target::Server(server) => config.servers.contains_key(server),
    }
}

async fn order(link: &AgentHandle, order: Order) -> http::Response {
    let Some(outcome) = link.query(|tx| Event::Order(order, tx)).await else {
        return http::answer::refusal(503, "The process is ending.", None);
    };
    http::answer::json(status(&outcome), &outcome)
}

fn status(outcome: &Outcome) -> u16 {
    match outcome {
        Outcome::Committed { .. } => 200,
        Outcome::NotDurable { .. } => 202,
        Outcome::Conflict { .. } => 409,
        Outcome::Unavailable { .. } => 503,
        Outcome::Unknown { .. } => 504,
    }
}

fn reply<T: serde::Serialize>(answer: Option<T>) -> http::Response {
    match answer {
        Some(answer) => http::answer::json(200, &answer),
        None => http::answer::refusal(503, "The process is ending.", None),
    }
}
