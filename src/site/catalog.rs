//! Operators' configuration in the form used on the request path: routes, services, workspaces.

use std::{
    collections::{BTreeMap, BTreeSet},
    time,
};

use crate::name;

/// How often a caller's request may run on backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// The request may run any number of times.
    Safe,
    /// The request runs at most once.
    Once,
    /// The request runs at most once, but an interrupted stream may be resumed after the last
    /// event received.
    Resumable,
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: name::Service,
    /// Share of the route's requests, relative to the weights of the other services.
    pub weight: u32,
}

/// Destination and treatment of the requests for one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Longest time until a request ends, whatever deadline the caller sets.
    pub timeout: time::Duration,
    /// Target for the time until an answer, or the first event of a stream.
    pub latency_target: time::Duration,
    /// Longest gap between two events at which a stream still counts as on time.
    pub max_event_gap: Option<time::Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests; never empty.
    pub targets: Vec<WeightedService>,
    /// Maximum number of attempts of one request that reach a server.
    pub max_attempts: u32,
    /// Whether callers without an API key may use the route.
    pub public: bool,
}

/// Cost of an engine's passes, as stated by operators. A pass generates several tokens for each
/// decoding request and processes a part of waiting prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassCost {
    /// Decoding steps in one pass; each generates one token per request.
    pub steps_per_pass: f64,
    /// Duration of a decoding step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each request adds to a decoding step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that 1,000 tokens of a request's context add to a decoding step, in milliseconds.
    pub per_1k_tokens_ms: f64,
    /// Prompt tokens processed per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Share of the decoding work that is done by experts, from 0 to 1.
    pub expert_share: f64,
    /// Mean number of tokens in a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean number of tokens in an answer.
    pub mean_answer_tokens: f64,
}

/// Engine of a model service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that run concurrently on one server.
    pub slots: u32,
    /// Cost of passes, if operators state it.
    pub cost: Option<PassCost>,
    /// Shape of the expert map, for engines that run in lockstep in expert groups.
    pub experts: Option<ExpertShape>,
}

/// Shape of the expert map of an expert group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertShape {
    /// Maximum number of requests that run concurrently on one rank.
    pub slots: u32,
    /// Number of layer sets; the layers of a set share one placement.
    pub layer_sets: usize,
    /// Experts in each layer set.
    pub experts_per_set: usize,
    /// Experts of each layer set that one rank holds.
    pub experts_per_rank: usize,
    /// Experts of each layer set that a rank may copy for one map change.
    pub max_copies: usize,
    /// Time that a rank needs to copy one expert.
    pub copy_time: time::Duration,
    /// Share of the decoding work that is done by experts, from 0 to 1.
    pub expert_share: f64,
}

/// Configuration of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Request rate that a cold server can handle; zero if servers of the service are never cold.
    pub cold_requests_per_s: f64,
    /// Engine of the service's servers, for model services.
    pub engine: Option<Engine>,
}

/// Holder of one or more API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// Workspace of the holder's requests.
    pub workspace: name::Workspace,
    /// Priority of the holder's requests, which overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time until a request head has arrived completely.
    pub head_timeout: time::Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: time::Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version; a newer configuration has a higher one, not always the next.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: BTreeMap<String, Vec<Route>>,
    /// Services by their names.
    pub services: BTreeMap<name::Service, Service>,
    /// Holders by their API keys; `None` if callers need no key.
    pub api_keys: Option<BTreeMap<String, KeyHolder>>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
}

impl Catalog {
    /// Creates a catalog from `routes`, each given with its host.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = (String, Route)>,
        services: BTreeMap<name::Service, Service>,
        api_keys: Option<BTreeMap<String, KeyHolder>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for (host, route) in routes {
            by_host.entry(host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, routes: by_host, services, api_keys, limits }
    }

    /// Returns the route of `host` with the longest prefix of `path`. `host` may have a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let routes = self.routes.get(&host).or_else(|| {
            let (name, port) = host.rsplit_once(':')?;
            port.bytes().all(|byte| byte.is_ascii_digit()).then(|| self.routes.get(name))?
        })?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the services that are defined, and those that routes lead to.
    pub fn named_services(&self) -> BTreeSet<name::Service> {
        let targets = self.routes.values().flatten().flat_map(|route| &route.targets);
        self.services.keys().chain(targets.map(|target| &target.service)).cloned().collect()
    }

    /// Returns the holder of the API key `key`; `None` if the request needs no key.
    ///
    /// # Errors
    ///
    /// [`UnknownApiKey`] if the route needs a key and `key` is missing or unknown.
    pub fn key_holder(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&KeyHolder>, UnknownApiKey> {
        match (&self.api_keys, key) {
            (None, _) => Ok(None),
            (Some(keys), Some(key)) if keys.contains_key(key) => Ok(keys.get(key)),
            (Some(_), _) if route.public => Ok(None),
            (Some(_), _) => Err(UnknownApiKey),
        }
    }
}

/// Error for a request whose API key is missing or not in the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownApiKey;

impl Route {
    /// Picks the service into whose share of the weights `draw`, from 0 to 1, falls.
    pub fn pick_service(&self, draw: f64) -> &name::Service {
        let total_weight: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut remaining = draw * total_weight;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}
