//! The callers' port: runs each request through the pipeline.

use std::{cell, collections, net, rc, sync::Arc, sync::mpsc, time};

use rand::RngExt;
use tokio::sync::watch;

use super::{Event, Refusal, Request, accept, answer, classify, once, request, session};
use crate::{http, metrics, name, peer, policy::budget, view, wire};

/// What the I/O thread of an entry shares between requests.
pub struct RequestHandler {
    /// The configuration in force.
    pub view: watch::Receiver<Arc<view::View>>,
    /// To the core on the stakker thread.
    pub events: mpsc::Sender<Event>,
    /// Connections to sidecars.
    pub pool: rc::Rc<peer::Pool>,
    /// Whether the balancer should send requests here.
    pub ready: watch::Receiver<bool>,
    /// Whether new requests are refused because the process is ending.
    pub refusing: watch::Receiver<bool>,
    /// Source of request identities.
    pub id_generator: cell::RefCell<rand_pcg::Pcg64>,
    /// Budget of retries of each service.
    pub retry_budgets: cell::RefCell<collections::BTreeMap<name::Service, budget::RetryBudget>>,
    /// When the process started_at.
    pub started_at: time::Instant,
    /// Counts of requests.
    pub metrics: metrics::Entry,
    /// Claims of calls that may not be repeated.
    pub claims: once::Claims,
    /// Closed once the last call has ended, even if its caller has gone.
    pub open_calls: tokio::sync::mpsc::Sender<()>,
    /// Takes the configuration version of a sidecar at an address.
    pub report_version: Box<dyn Fn(net::SocketAddr, u64)>,
}

/// Header with the identity that the entry gave a request.
const ID_HEADER: &str = "x-request-id";

/// When a caller finds another entry through the balancer.
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
    /// Hands the retry budget of `service` to `f`, with the time since the start.
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
        let flight = self.metrics.begin(req.stage.service.as_str(), req.arrived_at);
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
                self.metrics.refused(refusal.label());
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
