//! A group of engines with their rank agents, while other experts are in demand every few seconds.
//! With trouble, some engines send second copies of answers, late.

mod group;
#[allow(dead_code)]
mod json;
#[allow(dead_code)]
mod processes;
#[allow(dead_code)]
mod store;
#[allow(dead_code)]
mod wire;

use std::{
    collections::BTreeMap,
    env, fs,
    io::Write,
    path::PathBuf,
    process,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use group::{Group, Shape, Trouble};

const ENGINE_PORT: u16 = 8420;
const PEER_PORT: u16 = 7020;
const STORE_PORT: u16 = 8424;
const STORE_MACHINE: usize = 250;

fn run() -> Result<i32, Box<dyn std::error::Error>> {
    let mut args = env::args().skip(1);
    let (root, case) =
        (PathBuf::from(args.next().ok_or("root")?), PathBuf::from(args.next().ok_or("case")?));
    let seconds: u64 = args.next().ok_or("seconds")?.parse()?;
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    // As in the site file.
    let shape = Shape {
        ranks: 12,
        sets: 4,
        experts: 72,
        places: 8,
        spare: 3,
        slots: 12,
        stride: 6.0,
        step_ms: 4.84,
        per_seq_ms: 0.362,
        context_per_k: 0.011,
        read_per_s: 74_800.0,
        prompt: 810.0,
        answer: 159.0,
        expert_share: 0.85,
        expert_mb: 2_200.0,
        link_mbps: 180_000.0,
        running: 4,
    };
    let dir = env::temp_dir().join(format!("knapweedford-maps-{}", process::id()));
    fs::create_dir_all(&dir)?;
    let block = processes::Block::free(&[ENGINE_PORT, PEER_PORT, PEER_PORT + 1, STORE_PORT]);
    let store_addr = block.addr(STORE_MACHINE, STORE_PORT);
    let store = store::Store::start(store_addr)?;
    let group = Group::start(shape.clone());
    let trouble = with_trouble.then(|| {
        Arc::new(Trouble {
            second_copies: 0.02,
            share: 0.5,
            period: Duration::from_secs(6),
            duration: Duration::from_secs(5),
        })
    });
    let service = format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"a.example","prefix":"/s/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"llm","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_aim_ms":120}}],"services":[{{"name":"llm","health_path":"/healthz","max_conns":408,"cold_start_s":3.0,"cold_per_s":36.0,"engine":{}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        shape.config()
    );
    store.put("op", "config", &service);
    for rank in 0..shape.ranks {
        let addr = block.addr(rank + 1, ENGINE_PORT);
        group.serve(rank, addr, trouble.clone())?;
        let row = format!(
            r#"{{"service":"llm","address":"{addr}","zone":"z","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[],"group":{{"name":"g","epoch":1,"rank":{rank},"state":"open"}},"size":{},"born":1,"seq":1}}"#,
            shape.ranks
        );
        store.put("servers", &format!("i-{rank:04}"), &row);
    }
    let mut agents = Vec::new();
    for rank in 0..shape.ranks {
        let ip = block.addr(rank + 1, 0).ip().to_string();
        let values = BTreeMap::from([
            ("node_name", format!("side-z-{rank}")),
            ("zone", "z".to_owned()),
            ("app", format!("{ip}:{ENGINE_PORT}")),
            ("service", "llm".to_owned()),
            ("ip", ip),
            ("internal_port_range.0", PEER_PORT.to_string()),
            ("internal_port_range.1", (PEER_PORT + 1).to_string()),
            ("platform.address", store_addr.to_string()),
            ("bounds.grace_s", "8".to_owned()),
        ]);
        let name = format!("agent-{rank}");
        agents.push(processes::Program::start(&root, &dir, &name, "deploy/rank.yaml", &values)?);
    }
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut broken_at = None;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
        if agents.iter_mut().any(|agent| !agent.is_running()) {
            return Err("an agent ended by itself".into());
        }
        if !group.result().0.is_empty() {
            let at = *broken_at.get_or_insert(Instant::now());
            if at.elapsed() > Duration::from_millis(500) {
                break;
            }
        }
    }
    group.stop();
    let (mixed, passes, changes, log) = group.result();
    let (copies, reports) = group.copies();
    let logs: String = agents
        .iter()
        .filter_map(|agent| fs::read_to_string(&agent.log).ok())
        .flat_map(|text| {
            text.lines()
                .filter(|line| line.contains("map change") || line.contains("ownership"))
                .map(|line| line.to_owned() + "\n")
                .collect::<Vec<_>>()
        })
        .collect();
    drop(agents);
    let verdict = format!(
        "{passes} passes, {changes} of them with a change of the map; {} began while two ranks had \
         different maps; engines sent {copies} late second copies of {reports} reports",
        mixed.len()
    );
    let mut record = fs::File::create(case.join("record.txt"))?;
    writeln!(record, "{verdict}\n\nWhat the engines were sent and ran:")?;
    log.iter().try_for_each(|line| writeln!(record, "{line}"))?;
    writeln!(record, "\nWhat the agents logged of changes:\n{logs}")?;
    fs::remove_dir_all(&dir)?;
    println!("{verdict}");
    match (mixed.is_empty(), changes) {
        (false, _) => Ok(1),
        (true, 0..=2) => Err("the map hardly changed".into()),
        (true, _) => Ok(0),
    }
}

fn main() {
    let code = run().unwrap_or_else(|err| {
        eprintln!("the case could not run: {err}");
        2
    });
    process::exit(code);
}
