//! Operators' configuration as the request path reads it: routes, services, workspaces.

use std::{collections::BTreeMap, time};

use crate::name;

/// How often one attempt of a caller may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// Any number of times.
    Safe,
    /// Once at most.
    Once,
    /// Once, and again from behind the last event that arrived.
    Resumable,
}

/// One service that a route leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: name::Service,
    /// Its share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Start of the paths; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Time within which an answer, or the first event of a stream, is worth most.
    pub latency_target: time::Duration,
    /// Longest pause between two events with which a stream is on time.
    pub max_event_gap: Option<time::Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services; never empty.
    pub targets: Vec<WeightedService>,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether the route is open to callers without a key.
    pub public: bool,
}

/// Cost of an engine's passes, as operators state it. A pass makes some tokens for each request
/// that writes, and reads prompts on the side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassCost {
    /// Steps of a pass, each of which makes one token a request.
    pub steps_per_pass: f64,
    /// Time of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that 1,000 tokens of a request's context add to a step, in milliseconds.
    pub per_1k_tokens_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Part of the work for tokens that is done by experts, from 0 to 1.
    pub expert_share: f64,
    /// Tokens of a usual prompt.
    pub mean_prompt_tokens: f64,
    /// Tokens of a usual answer.
    pub mean_answer_tokens: f64,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once on one server.
    pub slots: u32,
    /// Cost of passes, where it is stated.
    pub cost: Option<PassCost>,
    /// Expert group, for engines that run in lock-step.
    pub experts: Option<ExpertShape>,
}

/// Shape of the expert map of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertShape {
    /// Requests that run at once on one rank.
    pub slots: u32,
    /// Sets of layers that share one placement.
    pub layer_sets: usize,
    /// Experts in each set.
    pub experts_per_set: usize,
    /// Experts that one rank holds of each set.
    pub experts_per_rank: usize,
    /// Experts that a rank may copy for one change, in each set.
    pub max_copies: usize,
    /// Time to copy one expert.
    pub copy_time: time::Duration,
    /// Part of the work for tokens that is done by experts, from 0 to 1.
    pub expert_share: f64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Requests a second that a cold server bears; zero for servers that are never cold.
    pub cold_requests_per_s: f64,
    /// Engine, for model services.
    pub engine: Option<Engine>,
}

/// The holder of API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// Its workspace.
    pub workspace: name::Workspace,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub head_timeout: time::Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: time::Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Counts up, in uneven steps.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Holders by API key; `None` if callers need no key.
    pub api_keys: Option<BTreeMap<String, KeyHolder>>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

impl Catalog {
    /// A catalog of `routes`, each with its host.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = (String, Route)>,
        services: BTreeMap<name::Service, Service>,
        keys: Option<BTreeMap<String, KeyHolder>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for (host, route) in routes {
            by_host.entry(host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, routes: by_host, services, api_keys: keys, limits }
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let routes = self.routes.get(&host).or_else(|| {
            let (name, port) = host.rsplit_once(':')?;
            port.bytes().all(|byte| byte.is_ascii_digit()).then(|| self.routes.get(name))?
        })?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whose key `key` is; `Err` if callers need a key and this is none.
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

/// The request's API key is missing or not in the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownApiKey;

impl Route {
    /// The target whose share of the weights `draw`, from 0 to 1, falls into.
    pub fn pick_service(&self, draw: f64) -> &name::Service {
        let sum: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(sum);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}
