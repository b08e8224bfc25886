//! Gateways in front of model workers and their clients, through a final fault. With trouble, many
//! machines of the system were replaced before.

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
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{self, Duration, Instant},
};

use processes::{Block, Program};

const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const PEER_PORT: u16 = 7340;
const WORKER_PORT: u16 = 8122;
const STORE_PORT: u16 = 8223;
const STORE_MACHINE: usize = 250;
const FIRST_WORKER_MACHINE: usize = 100;
const FIRST_EARLIER_MACHINE: usize = 20;

const GATEWAYS: usize = 4;
const WORKERS: usize = 12;
/// Requests a second of all clients.
const REQUESTS_PER_S: f64 = 64.7;
const EVENTS: usize = 10;
const EVENT_GAP: Duration = Duration::from_millis(30);

/// Machines that were replaced before, and how many of them run at a time.
const REPLACED: usize = 120;
const REPLACED_AT_A_TIME: usize = 8;
const RECOVER: Duration = Duration::from_secs(12);

#[derive(Clone, Debug)]
struct Attempt {
    sent_at: Duration,
    gateway: usize,
    status: u16,
    complete: bool,
}

struct Case {
    root: PathBuf,
    dir: PathBuf,
    block: Block,
}

impl Case {
    /// Starts the gateway of a machine.
    fn start_gateway(&self, machine: usize, name: &str) -> io::Result<Program> {
        let ip = self.block.addr(machine, 0).ip().to_string();
        let values = BTreeMap::from([
            ("node_name", name.to_owned()),
            ("zone", "z".to_owned()),
            ("listen.front", format!("{ip}:{FRONT_PORT}")),
            ("listen.ready", format!("{ip}:{READY_PORT}")),
            ("internal_port_range.0", PEER_PORT.to_string()),
            ("internal_port_range.1", (PEER_PORT + 1).to_string()),
            ("ip", ip),
            ("platform.address", self.block.addr(STORE_MACHINE, STORE_PORT).to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.retry_budget_slack", "90".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.stall_ms", "1500".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
        ]);
        Program::start(&self.root, &self.dir, name, "deploy/gateway.yaml", &values)
    }

    fn is_ready(&self, machine: usize) -> bool {
        let get = || -> io::Result<u16> {
            let addr = self.block.addr(machine, READY_PORT);
            let mut conn = TcpStream::connect_timeout(&addr, Duration::from_millis(500))?;
            conn.set_read_timeout(Some(Duration::from_secs(1)))?;
            conn.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
            status_of(&mut BufReader::new(conn))
        };
        get().is_ok_and(|status| status == 200)
    }
}

fn status_of(from: &mut impl io::BufRead) -> io::Result<u16> {
    let head = wire::read_head(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    head.target.parse().map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Serves a worker, which streams events to each request that names it.
fn serve_worker(id: String, conn: TcpStream) -> io::Result<()> {
    let mut out = conn.try_clone()?;
    let mut from = BufReader::new(conn);
    while let Some(message) = wire::read(&mut from)? {
        let request = message.header("x-knapweedford-request-id").unwrap_or_default().to_owned();
        let echo = format!("X-Knapweedford-Request-Id: {request}\r\n");
        if message.header("x-knapweedford-expect-instance") != Some(&id) {
            let headers = echo + "X-Knapweedford-Not-Executed: 1\r\n";
            out.write_all(&wire::json_answer(421, &headers, "{}"))?;
            continue;
        }
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Keep-Alive: timeout=15\r\nX-Knapweedford-Response-Seal: {id}\r\n{echo}\r\n"
        )?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let text = format!("id: {event}\ndata: {request} {event}\n\n");
            write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        }
        out.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Sends one request on a new connection; returns the status and whether the answer is complete.
fn send(addr: SocketAddr, id: &str) -> io::Result<(u16, bool)> {
    let mut conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    conn.set_read_timeout(Some(Duration::from_secs(8)))?;
    let body = "p".repeat(700);
    write!(
        conn,
        "POST /s/a HTTP/1.1\r\nHost: a.example\r\nX-Knapweedford-Request-Id: {id}\r\n\
         X-Knapweedford-Model: m\r\nX-Knapweedford-Token-Usage: 714,159\r\n\
         X-Knapweedford-Prefix-Hash: 5c1e07a2:40,{id}:674\r\n\
         X-Knapweedford-Deadline-Ms: 8000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut from = BufReader::new(conn);
    let status = status_of(&mut from)?;
    let mut rest = Vec::new();
    from.read_to_end(&mut rest)?;
    Ok((status, status == 200 && rest.ends_with(b"0\r\n\r\n")))
}

/// Sends requests at a steady rate until `stop`.
fn run_clients(
    addrs: Vec<SocketAddr>,
    started: Instant,
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
) {
    let mut number = 0u64;
    let mut sending = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let due = started + Duration::from_secs_f64(number as f64 / REQUESTS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let gateway = number as usize % addrs.len();
        let (addr, attempts) = (addrs[gateway], Arc::clone(&attempts));
        let id = format!("{number:016x}");
        sending.push(thread::spawn(move || {
            let sent_at = started.elapsed();
            let (status, complete) = send(addr, &id).unwrap_or((0, false));
            attempts.lock().unwrap().push(Attempt { sent_at, gateway, status, complete });
        }));
        sending.retain(|thread| !thread.is_finished());
        number += 1;
    }
    sending.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
}

fn share_served(attempts: &[Attempt], from: Duration, to: Duration) -> (usize, f64) {
    let sent = attempts.iter().filter(|attempt| attempt.sent_at >= from && attempt.sent_at < to);
    let (mut all, mut served) = (0, 0);
    for attempt in sent {
        all += 1;
        served += usize::from(attempt.complete);
    }
    (all, served as f64 / all.max(1) as f64)
}

fn replace_machines(case: &Case, store: &store::Store) -> io::Result<()> {
    for first in (0..REPLACED).step_by(REPLACED_AT_A_TIME) {
        let mut running = Vec::new();
        for at in 0..REPLACED_AT_A_TIME {
            let name = format!("front-z-earlier-{}", first + at);
            running.push(case.start_gateway(FIRST_EARLIER_MACHINE + at, &name)?);
        }
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until
            && store.count("gateways") < GATEWAYS + first + REPLACED_AT_A_TIME
        {
            thread::sleep(Duration::from_millis(10));
        }
    }
    Ok(())
}

fn unix_ms() -> u128 {
    time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Starts the store and the workers, and writes the configuration and the workers' entries.
fn start_platform(block: &Block) -> io::Result<store::Store> {
    let store = store::Store::start(block.addr(STORE_MACHINE, STORE_PORT))?;
    store.put("op", "config", r#"{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/s/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"llm","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_aim_ms":120}],"services":[{"name":"llm","health_path":"/healthz","max_conns":408,"cold_start_s":3.0,"cold_per_s":36.0,"engine":{"slots":12,"stride":6,"step_ms":4.84,"per_seq_ms":0.362,"context_per_k":0.011,"read_per_s":74800.0,"usual":{"prompt":810,"answer":159}}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    for worker in 0..WORKERS {
        let addr = block.addr(FIRST_WORKER_MACHINE + worker, WORKER_PORT);
        let id = format!("i-{worker:04}");
        let row = format!(
            r#"{{"service":"llm","address":"{addr}","zone":"z","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"born":{},"seq":1}}"#,
            unix_ms() - 60_000
        );
        store.put("servers", &id, &row);
        wire::listen(addr, move |conn| serve_worker(id.clone(), conn))?;
    }
    Ok(store)
}

fn run(root: &Path, case_dir: &Path) -> Result<i32, Box<dyn std::error::Error>> {
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = env::temp_dir().join(format!("knapweedford-fleet-{}", process::id()));
    fs::create_dir_all(&dir)?;
    let block = Block::free(&[FRONT_PORT, READY_PORT, PEER_PORT, PEER_PORT + 1, WORKER_PORT]);
    let store = start_platform(&block)?;
    let case = Case { root: root.into(), dir: dir.clone(), block };
    let names: Vec<String> = (1..=GATEWAYS).map(|n| format!("front-z-{n}")).collect();
    let start_all = || -> io::Result<Vec<Program>> {
        (0..GATEWAYS).map(|n| case.start_gateway(n + 1, &names[n])).collect()
    };
    let mut gateways = start_all()?;
    let ready_until = Instant::now() + Duration::from_secs(10);
    while !(1..=GATEWAYS).all(|machine| case.is_ready(machine)) {
        if Instant::now() > ready_until {
            return Err("the gateways did not become ready".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let started = Instant::now();
    let (stop, attempts) = (Arc::<AtomicBool>::default(), Arc::default());
    let addrs = (1..=GATEWAYS).map(|machine| case.block.addr(machine, FRONT_PORT)).collect();
    let clients = {
        let (stop, attempts) = (Arc::clone(&stop), Arc::clone(&attempts));
        thread::spawn(move || run_clients(addrs, started, stop, attempts))
    };
    thread::sleep(Duration::from_secs(12));
    if with_trouble {
        replace_machines(&case, &store)?;
    }
    let rows = store.count("gateways");
    // Longer than the 30 s for which a gateway counts after its last heartbeat.
    thread::sleep(Duration::from_secs(40));
    let fault_at = started.elapsed();
    gateways.clear();
    thread::sleep(Duration::from_millis(800));
    gateways = start_all()?;
    let back_at = started.elapsed();
    thread::sleep(RECOVER + Duration::from_secs(18));
    let ready = (1..=GATEWAYS).filter(|machine| case.is_ready(*machine)).count();
    stop.store(true, Ordering::Relaxed);
    let _ = clients.join();
    let running =
        gateways.iter_mut().map(|gateway| usize::from(gateway.is_running())).sum::<usize>();
    drop(gateways);
    let mut attempts: Vec<Attempt> = std::mem::take(&mut *attempts.lock().unwrap());
    attempts.sort_by_key(|attempt| attempt.sent_at);
    let before = share_served(&attempts, Duration::from_secs(1), fault_at);
    let after = share_served(&attempts, back_at + RECOVER, Duration::MAX);
    let verdict = format!(
        "{rows} gateways had written a row; before the final fault {:.3} of {} requests were served; \
         of the {} sent 12 s to 30 s after the machines were back, {:.3}; {ready} gateways were \
         ready, {running} running",
        before.1, before.0, after.0, after.1
    );
    let mut record = fs::File::create(case_dir.join("record.txt"))?;
    writeln!(record, "{verdict}\n\nKilled at {fault_at:?}, started again at {back_at:?}.\n")?;
    for attempt in &attempts {
        let Attempt { sent_at, gateway, status, complete } = attempt;
        let at = sent_at.as_secs_f64();
        writeln!(record, "{at:8.3} gateway {gateway} status {status} complete {complete}")?;
    }
    fs::remove_dir_all(&dir)?;
    println!("{verdict}");
    match (before.1 >= 0.25, after.1 < 0.25) {
        (false, _) => Err("too few requests were served before the fault".into()),
        (true, is_broken) => Ok(i32::from(is_broken)),
    }
}

/// Requests a second of the clients of the plain service, and for how long they send.
const PLAIN_REQUESTS_PER_S: f64 = 30.0;
const PLAIN_TIME: Duration = Duration::from_secs(64);
const PLAIN_WORKERS: usize = 3;
const PLAIN_WORK: Duration = Duration::from_millis(60);
/// A faulty worker hands out wrong bytes in place of each of this many answers, for the first
/// [`GARBLE_TIME`] of each [`GARBLE_PERIOD`].
const GARBLED_EACH: u64 = 34;
const GARBLE_TIME: Duration = Duration::from_secs(5);
const GARBLE_PERIOD: Duration = Duration::from_secs(6);

/// What plain workers ran, and what they handed out in place of an answer.
#[derive(Default)]
struct PlainLog {
    lines: Vec<String>,
    garbled: usize,
}

/// Serves a plain worker, which answers with its seal and the request's id.
fn serve_plain_worker(
    id: String,
    is_faulty: bool,
    started: Instant,
    answers: Arc<Mutex<u64>>,
    log: Arc<Mutex<PlainLog>>,
    conn: TcpStream,
) -> io::Result<()> {
    let mut out = conn.try_clone()?;
    let mut from = BufReader::new(conn);
    while let Some(message) = wire::read(&mut from)? {
        let request = message.header("x-knapweedford-request-id").unwrap_or_default().to_owned();
        let echo = format!("X-Knapweedford-Request-Id: {request}\r\n");
        if message.header("x-knapweedford-expect-instance") != Some(&id) {
            let headers = echo + "X-Knapweedford-Not-Executed: 1\r\n";
            out.write_all(&wire::json_answer(421, &headers, "{}"))?;
            continue;
        }
        thread::sleep(PLAIN_WORK);
        let at = started.elapsed();
        let is_due = {
            let mut answers = answers.lock().unwrap();
            *answers += 1;
            let into_period = at.as_secs_f64() % GARBLE_PERIOD.as_secs_f64();
            is_faulty
                && *answers >= GARBLED_EACH
                && into_period < GARBLE_TIME.as_secs_f64()
                && std::mem::take(&mut *answers) > 0
        };
        let mut log = log.lock().unwrap();
        let what = if is_due { "hands out wrong bytes" } else { "answers" };
        log.lines.push(format!("{:8.3} worker {id} runs {request} and {what}", at.as_secs_f64()));
        log.garbled += usize::from(is_due);
        drop(log);
        let body = "x".repeat(800);
        match is_due {
            true => {
                write!(out, "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n{}", "#".repeat(800))?
            }
            false => write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: 800\r\nKeep-Alive: timeout=15\r\n\
                 X-Knapweedford-Response-Seal: {id}.{request}\r\n{echo}\r\n{body}"
            )?,
        }
    }
    Ok(())
}

/// Sends one unsafe or safe request; returns the status, the seal and the first byte of the body.
fn send_plain(addr: SocketAddr, id: &str, is_safe: bool) -> io::Result<(u16, Option<String>, u8)> {
    let mut conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    conn.set_read_timeout(Some(Duration::from_secs(3)))?;
    let (line, body) = match is_safe {
        true => ("GET /r/a", String::new()),
        false => ("POST /u/a", "b".repeat(600)),
    };
    write!(
        conn,
        "{line} HTTP/1.1\r\nHost: a.example\r\nX-Knapweedford-Request-Id: {id}\r\n\
         X-Knapweedford-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let answer = wire::read(&mut BufReader::new(conn))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = answer.target.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    let seal = answer.header("x-knapweedford-response-seal").map(str::to_owned);
    Ok((status, seal, answer.body.first().copied().unwrap_or_default()))
}

/// Clients send unsafe and safe requests to a plain service; with trouble, one of its three workers
/// hands out wrong bytes in place of some answers.
fn run_garbled(root: &Path, case_dir: &Path) -> Result<i32, Box<dyn std::error::Error>> {
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = env::temp_dir().join(format!("knapweedford-fleet-{}", process::id()));
    fs::create_dir_all(&dir)?;
    let block = Block::free(&[FRONT_PORT, READY_PORT, PEER_PORT, PEER_PORT + 1, WORKER_PORT]);
    let store = store::Store::start(block.addr(STORE_MACHINE, STORE_PORT))?;
    store.put("op", "config", r#"{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/u/","kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":1,"public":true},{"name":"r-2","host":"a.example","prefix":"/r/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":true}],"services":[{"name":"ledger","health_path":"/healthz","max_conns":100,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let started = Instant::now();
    let log = Arc::<Mutex<PlainLog>>::default();
    for worker in 0..PLAIN_WORKERS {
        let addr = block.addr(FIRST_WORKER_MACHINE + worker, WORKER_PORT);
        let id = format!("i-{worker:04}");
        let row = format!(
            r#"{{"service":"ledger","address":"{addr}","zone":"z","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"born":{},"seq":1}}"#,
            unix_ms() - 60_000
        );
        store.put("servers", &id, &row);
        let (answers, log) = (Arc::default(), Arc::clone(&log));
        let is_faulty = with_trouble && worker < 1;
        wire::listen(addr, move |conn| {
            let (answers, log) = (Arc::clone(&answers), Arc::clone(&log));
            serve_plain_worker(id.clone(), is_faulty, started, answers, log, conn)
        })?;
    }
    let case = Case { root: root.into(), dir: dir.clone(), block };
    let gateways = (1..=GATEWAYS)
        .map(|n| case.start_gateway(n, &format!("front-z-{n}")))
        .collect::<io::Result<Vec<_>>>()?;
    thread::sleep(Duration::from_secs(10));
    let (mut number, first_at) = (0u64, Instant::now());
    let answered = Arc::<Mutex<Vec<(u16, bool, bool, String)>>>::default();
    let mut sending = Vec::new();
    while first_at.elapsed() < PLAIN_TIME {
        let due = first_at + Duration::from_secs_f64(number as f64 / PLAIN_REQUESTS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let addr = case.block.addr(number as usize % GATEWAYS + 1, FRONT_PORT);
        let (is_safe, answered) = (number % 8 >= 5, Arc::clone(&answered));
        sending.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let at = started.elapsed().as_secs_f64();
            let (status, seal, first) = send_plain(addr, &id, is_safe).unwrap_or((0, None, 0));
            let kind = if is_safe { "safe" } else { "unsafe" };
            let body = if first == b'#' { "the wrong bytes" } else { "another body" };
            let line =
                format!("{at:8.3} {kind} request {id}: status {status}, seal {seal:?}, {body}");
            let is_mixed = (200..300).contains(&status) && seal.is_none();
            answered.lock().unwrap().push((status, is_mixed, is_safe, line));
        }));
        number += 1;
    }
    sending.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    drop(gateways);
    let answered = std::mem::take(&mut *answered.lock().unwrap());
    let served = answered.iter().filter(|(status, ..)| *status == 200).count();
    let mixed: Vec<_> = answered.iter().filter(|(_, is_mixed, ..)| *is_mixed).collect();
    let unsafe_ones = mixed.iter().filter(|(_, _, is_safe, _)| !is_safe).count();
    let log = log.lock().unwrap();
    let verdict = format!(
        "{} of {} requests answered 200; wrong bytes {} times in place of an answer; clients got {} \
         successes without a worker's seal, {unsafe_ones} of them to unsafe requests",
        served,
        answered.len(),
        log.garbled,
        mixed.len()
    );
    let mut record = fs::File::create(case_dir.join("record.txt"))?;
    writeln!(record, "{verdict}\n\nSuccesses without a seal:")?;
    mixed.iter().try_for_each(|(.., line)| writeln!(record, "{line}"))?;
    writeln!(record, "\nAll answers:")?;
    answered.iter().try_for_each(|(.., line)| writeln!(record, "{line}"))?;
    writeln!(record, "\nWhat the workers ran:")?;
    log.lines.iter().try_for_each(|line| writeln!(record, "{line}"))?;
    fs::remove_dir_all(&dir)?;
    println!("{verdict}");
    match (mixed.is_empty(), served) {
        (_, 0) => Err("no request was served".into()),
        (is_kept, _) => Ok(i32::from(!is_kept)),
    }
}

fn main() {
    let mut args = env::args().skip(1);
    let (root, case) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let run = match args.next().as_deref() {
        Some("garbled") => run_garbled,
        _ => run,
    };
    let code = run(Path::new(&root), Path::new(&case)).unwrap_or_else(|err| {
        eprintln!("the case could not run: {err}");
        2
    });
    process::exit(code);
}
