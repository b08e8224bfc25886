//! Test harness that runs rank agents as processes, with a stand-in for the engines of their group.

use std::{
    fs,
    io::Write,
    net, path, process,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    agents, gateways,
    processes::{Process, wait_until},
    store::Store,
};

const EPOCH: u64 = 1;
const EXPERTS: usize = 4;
/// Duration of a pass of the group.
const PASS_TIME: Duration = Duration::from_millis(30);

/// Passes after which requests choose another expert most of the time.
const PASSES_PER_SHIFT: u64 = 50;

/// How engines answer orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswers {
    /// Once, with the outcome.
    Normal,
    /// With a refusal of an earlier order and, after a pause, with the outcome.
    AfterEarlierRefusal(Duration),
}

/// State of one engine, as the platform's protocol names it.
#[derive(Clone, Debug, Default)]
struct Engine {
    map: (u64, Vec<u64>),
    prepared: Option<(u64, Vec<u64>)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    newest_version: u64,
}

/// State of all engines, which make their passes together.
#[derive(Debug)]
struct Engines {
    step: u64,
    ranks: Vec<Engine>,
    /// How often requests chose each expert.
    counts: [u64; EXPERTS],
    answers: OrderAnswers,
    /// Passes that began while engines had different maps.
    mixed_passes: Vec<u64>,
}

impl Engines {
    /// Begins the next pass unless an engine holds it.
    fn begin_pass(&mut self) {
        let next = self.step + 1;
        if self.ranks.iter().any(|engine| engine.held == Some(next)) {
            return;
        }
        self.step = next;
        let popular = (next / PASSES_PER_SHIFT) as usize % EXPERTS;
        for (expert, count) in self.counts.iter_mut().enumerate() {
            *count += if expert == popular { 20 } else { 1 };
        }
        for engine in &mut self.ranks {
            if engine.armed.is_some_and(|(_, step)| step <= next) {
                engine.armed = None;
                engine.map = engine.prepared.take().expect("an armed engine has prepared a map");
            }
        }
        if self.ranks.iter().any(|engine| engine.map.0 != self.ranks[0].map.0) {
            self.mixed_passes.push(next);
        }
    }

    /// Carries out an order at `rank`; returns the status of the answer.
    fn order(&mut self, rank: usize, order: &serde_json::Value) -> u16 {
        let number = |field: &str| order[field].as_u64().unwrap_or_default();
        let (version, step, now) = (number("version"), number("step"), self.step);
        let engine = &mut self.ranks[rank];
        match order["operation"].as_str().unwrap_or_default() {
            "prepare" if version <= engine.newest_version || engine.armed.is_some() => 409,
            "prepare" => {
                let experts = order["map"][0][rank].as_array().cloned().unwrap_or_default();
                let experts = experts.iter().filter_map(serde_json::Value::as_u64).collect();
                (engine.newest_version, engine.prepared) = (version, Some((version, experts)));
                202
            }
            "arm" if engine.prepared.as_ref().is_none_or(|(v, _)| *v != version) => 409,
            "arm" if step <= now => 409,
            "arm" => {
                engine.armed = Some((version, step));
                200
            }
            "disarm" if engine.map.0 == version => 409,
            "disarm" => {
                engine.armed = engine.armed.filter(|(armed, _)| *armed != version);
                200
            }
            "hold" if step <= now || engine.held.is_some_and(|held| held != step) => 409,
            "hold" => {
                engine.held = Some(step);
                200
            }
            "go" => {
                engine.held = engine.held.filter(|held| *held != step);
                200
            }
            _ => 400,
        }
    }

    fn report(&self, rank: usize) -> serde_json::Value {
        let engine = &self.ranks[rank];
        serde_json::json!({
            "queued": 0, "running": 8, "pace": 1.0, "size": self.ranks.len(), "step": self.step,
            "group": {"name": "g", "epoch": EPOCH, "rank": rank, "state": "open"},
            "map": engine.map.0, "prepared": engine.prepared.as_ref().map(|(version, _)| version),
            "armed": engine.armed.map(|(version, step)| {
                serde_json::json!({"version": version, "step": step})
            }),
            "held": engine.held,
        })
    }

    fn lists(&self, rank: usize) -> serde_json::Value {
        let list = |(version, experts): &(u64, Vec<u64>)| serde_json::json!({"version": version, "experts": [experts]});
        let engine = &self.ranks[rank];
        serde_json::json!({
            "step": self.step, "epoch": EPOCH, "map": list(&engine.map),
            "prepared": engine.prepared.as_ref().map(list),
        })
    }
}

/// Starts an agent on `ip` next to `engine`, with this line of the settings for the service; returns
/// its log file too.
fn run_agent(
    store: &Store,
    engine: net::SocketAddr,
    ip: net::IpAddr,
    service: &str,
) -> (Process, path::PathBuf) {
    let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let base = dir.join(format!("rank-{}", ip.to_string().replace('.', "-")));
    let (settings, log) = (base.with_extension("yaml"), base.with_extension("log"));
    let text = format!(
        "host: r-{ip}\nzone: z\nrole: rank\nengine: {engine}\n{service}\
         operators: {ip}:7341\npeers: {ip}:7340\nstore: {}\n\
         token: secret-of-the-tests\ngrace-s: 4\n",
        store.addr
    );
    fs::write(&settings, text).unwrap();
    let child = process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd"))
        .env("KNAPWEEDFORD_CONFIG", &settings)
        .stdout(fs::File::create(&log).unwrap())
        .spawn()
        .unwrap();
    (Process::new(child, engine), log)
}

/// Starts an agent next to `engine`, which may be any server.
pub fn start_agent(store: &Store, engine: net::SocketAddr) -> Process {
    run_agent(store, engine, gateways::unused_address(0).ip(), "service: llm\n").0
}

/// A group of engines and its rank agents.
pub struct Group {
    pub agents: Vec<Process>,
    addresses: Vec<net::SocketAddr>,
    logs: Vec<path::PathBuf>,
    engines: Arc<Mutex<Engines>>,
}

impl Group {
    /// Starts engines and writes them and their configuration to `store`.
    pub fn start(store: &Store, ranks: usize) -> Self {
        let in_turn = |rank| (0..EXPERTS as u64).filter(|n| *n as usize % ranks == rank).collect();
        let engine = |rank| Engine { map: (0, in_turn(rank)), ..Engine::default() };
        let engines = Arc::new(Mutex::new(Engines {
            step: 0,
            counts: [0; EXPERTS],
            ranks: (0..ranks).map(engine).collect(),
            answers: OrderAnswers::Normal,
            mixed_passes: Vec::new(),
        }));
        let passing = Arc::clone(&engines);
        thread::spawn(move || {
            loop {
                thread::sleep(PASS_TIME);
                passing.lock().unwrap().begin_pass();
            }
        });
        let addresses: Vec<_> = (0..ranks).map(|rank| serve(&engines, rank)).collect();
        for (rank, addr) in addresses.iter().enumerate() {
            let group = format!(r#"{{"name":"g","epoch":1,"rank":{rank},"state":"open"}}"#);
            let fields = format!(r#","group":{group},"size":{ranks}"#);
            let row = gateways::row(*addr, "ready", 2, &fields);
            store.put("servers", &format!("i-rank{rank}"), &row);
        }
        let shape = r#""sets":8,"experts":32,"places":5,"spare":2"#;
        let config = agents::config(1);
        assert!(config.contains(shape));
        let small_shape = format!(r#""sets":1,"experts":{EXPERTS},"places":3,"spare":3"#);
        // The engines are busy, and the work of the experts takes long enough to be worth a change.
        let config = config.replace(shape, &small_shape).replace(r#""slots":1000"#, r#""slots":8"#);
        let config = config.replace(r#""per_seq_ms":0.001"#, r#""per_seq_ms":2.0"#);
        store.put("op", "config", &config);
        Self { agents: Vec::new(), addresses, logs: Vec::new(), engines }
    }

    /// Returns the address of the engine of `rank`.
    pub fn address(&self, rank: usize) -> net::SocketAddr {
        self.addresses[rank]
    }

    /// Starts an agent next to each engine.
    pub fn start_agents(&mut self, store: &Store) {
        self.start_agents_with(store, "service: llm\n");
    }

    /// Like [`start_agents`](Self::start_agents), with this line of the settings for the service.
    pub fn start_agents_with(&mut self, store: &Store, service: &str) {
        for addr in &self.addresses {
            let (agent, log) = run_agent(store, *addr, addr.ip(), service);
            self.agents.push(agent);
            self.logs.push(log);
        }
    }

    /// Sets how all engines answer orders from now on.
    pub fn set_answers(&self, answers: OrderAnswers) {
        self.engines.lock().unwrap().answers = answers;
    }

    /// Whether an agent acts as the owner of the group.
    pub fn has_owner(&self) -> bool {
        self.logs().contains("is_owner=true")
    }

    /// Returns what the agents have logged.
    pub fn logs(&self) -> String {
        self.logs.iter().map(|log| fs::read_to_string(log).unwrap()).collect()
    }

    /// Waits until all engines use a map that they did not use before.
    pub fn wait_for_change(&self) {
        let before = self.map_version();
        wait_until("the map changes", || {
            let version = self.map_version();
            (version.is_some() && version != before).then_some(())
        });
    }

    /// Returns the passes that began while engines had different maps.
    pub fn mixed_passes(&self) -> Vec<u64> {
        self.engines.lock().unwrap().mixed_passes.clone()
    }

    /// Returns the version of the map that all engines use, if it is the same.
    fn map_version(&self) -> Option<u64> {
        let engines = self.engines.lock().unwrap();
        let first = engines.ranks[0].map.0;
        engines.ranks.iter().all(|engine| engine.map.0 == first).then_some(first)
    }
}

/// Serves the calls to the engine of `rank`; returns its address.
fn serve(engines: &Arc<Mutex<Engines>>, rank: usize) -> net::SocketAddr {
    let addr = gateways::unused_address(8228);
    let server = tiny_http::Server::http(addr).unwrap();
    let engines = Arc::clone(engines);
    thread::spawn(move || {
        for req in server.incoming_requests() {
            let engines = Arc::clone(&engines);
            thread::spawn(move || answer(req, &engines, rank));
        }
    });
    addr
}

fn answer(mut req: tiny_http::Request, engines: &Mutex<Engines>, rank: usize) {
    let (status, body, answers) = {
        let mut engines = engines.lock().unwrap();
        match req.url() {
            "/-/report" => (200, engines.report(rank), OrderAnswers::Normal),
            "/-/picked" => {
                let (step, counts) = (engines.step, engines.counts);
                let body = serde_json::json!({"step": step, "epoch": EPOCH, "counts": counts});
                (200, body, OrderAnswers::Normal)
            }
            "/-/picked?lists=1" => (200, engines.lists(rank), OrderAnswers::Normal),
            "/-/order" => {
                let order = serde_json::from_reader(req.as_reader()).unwrap();
                (engines.order(rank, &order), serde_json::json!({}), engines.answers)
            }
            _ => (404, serde_json::json!({}), OrderAnswers::Normal),
        }
    };
    let mut tx = req.into_writer();
    let text = |status: u16, body: &str| {
        format!("HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    // The agent may have closed its connection.
    if let OrderAnswers::AfterEarlierRefusal(pause) = answers {
        let _ = tx.write_all(text(409, "{}").as_bytes()).and_then(|()| tx.flush());
        thread::sleep(pause);
    }
    let _ = tx.write_all(text(status, &body.to_string()).as_bytes()).and_then(|()| tx.flush());
}
