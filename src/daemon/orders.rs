//! Operators' orders and questions about the agreement, over HTTP.
//!
//! | Request | Answer |
//! |---|---|
//! | `GET /status` | [`Status`](crate::agree::status::Status); starts a survey of who is behind |
//! | `GET /config` | version, text, what is out, orders not yet durable |
//! | `GET /history` | latest changes, oldest first |
//! | `POST /apply?base=N` | [`Outcome`]; the body is the text, `base` the version it started from |
//! | `POST /zones/NAME/out`, `/in`; `POST /servers/NAME/out`, `/in` | [`Outcome`] |

use http_body_util::BodyExt;

use super::agent::{Event, Link};
use crate::{
    agree::{
        change::{Order, Outcome},
        record::Target,
    },
    config, http,
};

/// Largest text taken, in bytes.
const TEXT_LIMIT: usize = 2 << 20;

/// Answers `req` if its path is one of the agreement's; gives it back if not.
pub async fn handle(link: &Link, req: http::Request) -> Result<http::Response, http::Request> {
    let path = req.uri().path().trim_matches('/').to_string();
    let parts: Vec<&str> = path.split('/').collect();
    let method = req.method().as_str().to_string();
    Ok(match (method.as_str(), parts.as_slice()) {
        ("GET", ["status"]) => reply(link.ask(Event::Status).await),
        ("GET", ["history"]) => reply(link.ask(Event::History).await),
        ("GET", ["config"]) => shown(link).await,
        ("POST", ["apply"]) => apply(link, req).await,
        ("POST", ["zones", name, side]) => turn(link, Target::Zone((*name).into()), side).await,
        ("POST", ["servers", name, side]) => turn(link, Target::Server((*name).into()), side).await,
        _ => return Err(req),
    })
}

async fn shown(link: &Link) -> http::Response {
    let effective = link.ask(Event::Config).await;
    reply(effective.map(|effective| {
        serde_json::json!({
            "version": effective.committed.version,
            "text": effective.committed.text,
            "out": effective.out(),
            "not-durable": effective.pending,
        })
    }))
}

async fn apply(link: &Link, req: http::Request) -> http::Response {
    let query = req.uri().query().unwrap_or_default().to_string();
    let base = query.split('&').find_map(|pair| pair.strip_prefix("base="));
    let base = match base.map(str::parse) {
        None => None,
        Some(Ok(base)) => Some(base),
        Some(Err(_)) => {
            return http::answer::refusal(400, "Give base as a version, such as base=12.", None);
        }
    };
    let body = http_body_util::Limited::new(req.into_body(), TEXT_LIMIT).collect().await;
    let text = body.ok().and_then(|body| String::from_utf8(body.to_bytes().to_vec()).ok());
    let Some(text) = text else {
        return http::answer::refusal(400, "Send the text as UTF-8 of at most 2 MiB.", None);
    };
    match config::parse(&text) {
        Ok(_) => order(link, Order::Apply { text, base }).await,
        Err(err) => http::answer::refusal(422, &err.to_string(), None),
    }
}

async fn turn(link: &Link, target: Target, side: &str) -> http::Response {
    if side == "out" && !known(link, &target).await {
        let problem = format!("The configuration in force has no {target}; see GET /config.");
        return http::answer::refusal(404, &problem, None);
    }
    match side {
        "out" => order(link, Order::Out(target)).await,
        "in" => order(link, Order::In(target)).await,
        _ => http::answer::refusal(404, "End the path with out or in.", None),
    }
}

async fn known(link: &Link, target: &Target) -> bool {
    let Some(effective) = link.ask(Event::Config).await else { return false };
    let Ok(config) = config::parse(&effective.committed.text) else { return true };
    match target {
        Target::Zone(zone) => config.zones.contains_key(zone),
        Target::Server(server) => config.servers.contains_key(server),
    }
}

async fn order(link: &Link, order: Order) -> http::Response {
    let Some(outcome) = link.ask(|tx| Event::Order(order, tx)).await else {
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
