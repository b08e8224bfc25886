//! HTTP handler of the callers' port: runs each request through the pipeline.

use std::{cell, collections, net, rc, sync::Arc, sync::mpsc, time};

use rand::RngExt;
use tokio::sync::watch;

use super::{Event, Refusal, Request, accept, answer, classify, once, request, session};
use crate::{http, metrics, name, peer, policy::budget, view, wire};

/// HTTP handler of an entry, with the state that its requests share on the I/O thread.
pub struct RequestHandler {
    /// The configuration in force.
    pub view: watch::Receiver<Arc<view::View>>,
    /// Channel to the core, which runs on the stakker thread.
    pub events: mpsc::Sender<Event>,
    /// Pool of connections to sidecars.
    pub pool: rc::Rc<peer::Pool>,
    /// Whether the platform's balancer should send requests to this entry.
    pub ready: watch::Receiver<bool>,
    /// Whether new requests are refused because the process is ending.
    pub refusing: watch::Receiver<bool>,
    /// Random generator for request identities and claims.
    pub id_generator: cell::RefCell<rand_pcg::Pcg64>,
    /// Retry budget of each service.
    pub retry_budgets: cell::RefCell<collections::BTreeMap<name::Service, budget::RetryBudget>>,
    /// When the process started.
    pub started_at: time::Instant,
    /// Metrics of the entry.
    pub metrics: metrics::Entry,
    /// Claims of calls that may not be repeated.
    pub claims: once::Claims,
    /// Channel that closes when the last call has ended, even if its caller has disconnected; the
    /// process waits for that before it ends.
    pub open_calls: tokio::sync::mpsc::Sender<()>,
    /// Reports the address of a sidecar and the newer configuration version that it has.
    pub report_version: Box<dyn Fn(net::SocketAddr, u64)>,
}

/// Header with the identity that the entry assigned to the request.
const ID_HEADER: &str = "x-request-id";

/// `Retry-After` of an entry that is ending; by then the balancer sends the caller to another
/// entry.
const ENDING_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl http::Handler for RequestHandler {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        match req.uri().path() {
            "/healthz" => http::answer::text(200, "alive\n"),
            "/readyz" if *self.ready.borrow() => http::answer::text(200, "ready\n"),
            "/readyz" => http::answer::text(503, "not ready\n"),
            _ if *self.refusing.borrow() => {
                Refusal::Unavailable { retry_after: ENDING_RETRY_AFTER }.to_response()
            }
            _ => self.process_request(req).await,
        }
    }
}

impl RequestHandler {
    /// Calls `f` with the retry budget of `service` and the time since the process started.
    pub fn with_retry_budget<T>(
        &self,
        service: &name::Service,
        f: impl FnOnce(&mut budget::RetryBudget, time::Duration) -> T,
    ) -> T {
        let now = self.started_at.elapsed();
        let mut budgets = self.retry_budgets.borrow_mut();
        f(budgets.entry(service.clone()).or_insert_with(|| budget::RetryBudget::new(now)), now)
    }

    async fn run_classified(
        self: &rc::Rc<Self>,
        req: Request<request::Classified>,
    ) -> http::Response {
        let flight = self.metrics.begin_request(req.stage.service.as_str(), req.arrived_at);
        match req.stage.idempotency_key.clone() {
            Some(key) if !req.stage.repeatable => {
                once::run_detached(rc::Rc::clone(self), req, key, flight).await
            }
            _ => answer::respond(session::Session::new(rc::Rc::clone(self), req), flight).await,
        }
    }

    async fn process_request(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let id = wire::RequestId(self.id_generator.borrow_mut().random());
        let accepted = accept::read_request(id, req).await;
        let view = Arc::clone(&self.view.borrow());
        let mut res = match accepted.and_then(|req| classify::classify(req, &view)) {
            Ok(req) => self.run_classified(req).await,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.label());
                refusal.to_response()
            }
        };
        log::info!(req:% = id, status = res.status().as_u16(); "answered");
        if let Ok(value) = hyper::header::HeaderValue::try_from(id.to_string()) {
            res.headers_mut().insert(ID_HEADER, value);
        }
        res
    }
}
