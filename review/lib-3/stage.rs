//! Plays one case of this review: starts the gateways and rank agents of a small deployment as the
//! deploy file does, with stand-ins for the store, the workers and the clients.
//!
//! `stage CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` it leaves out the disruption.

mod group;
mod net;
mod plain;
mod store;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use std::{env, fs, path, process};

use group::{Group, Late, Lateness};
use store::Store;

const ZONES: [&str; 3] = ["zhubei", "hukou", "xinfeng"];
const PROGRAM: &str = "target/release/knapweedfordd";

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}

/// Processes that this one started; they are killed as it ends.
struct Processes {
    children: BTreeMap<String, Child>,
    dir: path::PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
        if env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Processes {
    fn kill_all(&mut self) {
        while let Some((_, mut child)) = self.children.pop_first() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn start(&mut self, host: &str, settings: &str) {
        fs::write(self.dir.join(host).with_extension("yaml"), settings).unwrap();
        self.restart(host);
    }

    /// Starts the process of `host` with the settings that it had.
    fn restart(&mut self, host: &str) {
        let base = self.dir.join(host);
        let mut log = fs::OpenOptions::new();
        let log = log.create(true).append(true).open(base.with_extension("log")).unwrap();
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("KNAPWEEDFORD_CONFIG", base.with_extension("yaml"))
            .env("PATH", env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        self.children.insert(host.into(), child);
    }

    fn kill(&mut self, host: &str) {
        if let Some(mut child) = self.children.remove(host) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One front host.
#[derive(Clone, Copy)]
struct Front {
    callers: SocketAddr,
    readiness: SocketAddr,
}

/// A running deployment.
struct Site {
    fronts: Vec<Front>,
    group: Arc<Group>,
    record: Arc<Record>,
    processes: Mutex<Processes>,
}

fn listener(ip: [u8; 4]) -> TcpListener {
    TcpListener::bind((IpAddr::V4(Ipv4Addr::from(ip)), 0)).expect("a port is free")
}

fn free_addr(ip: [u8; 4]) -> SocketAddr {
    listener(ip).local_addr().unwrap()
}

/// Finds a port that is free on each of `ips`.
fn common_port(ips: &[[u8; 4]]) -> u16 {
    loop {
        let port = free_addr([127, 0, 0, 1]).port();
        if ips.iter().all(|ip| TcpListener::bind((Ipv4Addr::from(*ip), port)).is_ok()) {
            return port;
        }
    }
}

/// Kinds of requests: name, prefix of the route, shared part of the prompt.
const KINDS: [(&str, &str, &str); 2] =
    [("item-describe", "/describe/", "a1b2c3d4"), ("slot-suggest", "/suggest/", "5e6f7a8b")];
/// Kind of requests that the plain service answers, and prefix of its route.
const LOOKUP: (&str, &str) = ("schedule-lookup", "/schedule/");

fn operator_config(experts: usize) -> String {
    let lookup = format!(
        "{{\"name\":\"{}\",\"host\":\"chat.example\",\"prefix\":\"{}\",\"kind\":\"safe\",\
         \"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\
         \"service\":\"booking-core\",\"max_attempts\":2,\"public\":false}}",
        LOOKUP.0, LOOKUP.1
    );
    let routes: Vec<String> = KINDS
        .iter()
        .map(|(name, prefix, _)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"chat.example\",\"prefix\":\"{prefix}\",\
                 \"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,\
                 \"priority\":1,\"service\":\"assist-llm\",\"max_attempts\":2,\"public\":false,\
                 \"sticky\":true,\"resumable\":true,\"gap_aim_ms\":120}}"
            )
        })
        .chain([lookup])
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"assist-llm\",\
         \"health_path\":\"/healthz\",\"max_conns\":328,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":3.0,\"cold_per_s\":36.0,\"engine\":{{\"slots\":12,\
         \"kv_capacity\":494000,\"kv_token_bytes\":35136,\"link_mbps\":180000.0,\"stride\":6,\
         \"models\":[{{\"name\":\"m\"}}],\"step_ms\":4.84,\"per_seq_ms\":0.362,\
         \"context_per_k\":0.011,\"read_per_s\":74800.0,\"pairs_per_m\":0.232,\"chunk\":512,\
         \"report_lag_ms\":200.0,\"delays\":[],\"usual\":{{\"prompt\":835,\"answer\":159}},\
         \"sets\":{},\"experts\":{experts},\"places\":8,\"spare\":3,\"expert_mb\":2200.0,\
         \"expert_share\":0.85,\"form_ms\":600.0}}}},{{\"name\":\"booking-core\",\
         \"health_path\":\"/healthz\",\"max_conns\":49,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"county\",\"api_keys\":[\"key-of-the-county\"],\"priority\":1}}]}}",
        routes.join(","),
        group::SETS
    )
}

/// Starts the deployment and waits until its gateways are ready and its agents have found the group.
fn start_site(
    case: &str,
    folder: &path::Path,
    fronts: usize,
    ranks: usize,
    experts: usize,
) -> Site {
    let file = fs::File::create(folder.join("record.txt")).expect("the folder can be written");
    let record = Arc::new(Record { started: Instant::now(), file: Mutex::new(file) });
    let dir = env::temp_dir().join(format!("review-3-{case}-{}", process::id()));
    fs::create_dir_all(&dir).unwrap();
    let mut processes = Processes { children: BTreeMap::new(), dir };
    let store_listener = listener([127, 0, 0, 1]);
    let store_addr = store_listener.local_addr().unwrap();
    let store = Store::start(store_listener);
    store.put("op", "config", &operator_config(experts));
    for (n, zone) in ZONES.into_iter().enumerate() {
        plain::start(listener([127, 0, 2, n as u8 + 1]), n, zone, &store, &record);
    }
    let ip = |rank: usize| [127, 0, 1, rank as u8 + 1];
    let ips: Vec<[u8; 4]> = (0..ranks).map(ip).chain([[127, 0, 0, 1]]).collect();
    let (peers, operators) = (common_port(&ips), common_port(&ips));
    let listeners: Vec<TcpListener> = (0..ranks).map(|rank| listener(ip(rank))).collect();
    let zones: Vec<&str> = (0..ranks).map(|rank| ZONES[rank * ZONES.len() / ranks]).collect();
    let group =
        Group::start(listeners, zones.clone(), experts, Arc::clone(&store), Arc::clone(&record));
    for rank in 0..ranks {
        let host = Ipv4Addr::from(ip(rank));
        let settings = format!(
            "host: side-{rank}\nzone: {}\nrole: rank\nengine: {}\nservice: assist-llm\n\
             operators: {host}:{operators}\npeers: {host}:{peers}\nstore: {store_addr}\n\
             token: processes-of-this-site\ngrace-s: 8\n",
            zones[rank], group.addrs[rank]
        );
        processes.start(&format!("side-{rank}"), &settings);
    }
    let mut all_fronts = Vec::new();
    for front in 0..fronts {
        let addrs =
            Front { callers: free_addr([127, 0, 0, 1]), readiness: free_addr([127, 0, 0, 1]) };
        let settings = format!(
            "host: front-{front}\nzone: {}\nrole: gateway\ncallers: {}\nreadiness: {}\n\
             operators: {}\npeers: 127.0.0.1:{peers}\nstore: {store_addr}\n\
             token: processes-of-this-site\nretries:\n  share: 0.2\n  window-s: 10\n  free: 90\n\
             within:\n  servers-ms: 2000\n  orders-ms: 2000\nstall-ms: 1500\ngrace-s: 8\n",
            ZONES[front % ZONES.len()],
            addrs.callers,
            addrs.readiness,
            free_addr([127, 0, 0, 1])
        );
        processes.start(&format!("front-{front}"), &settings);
        all_fronts.push(addrs);
    }
    let until = Instant::now() + Duration::from_secs(15);
    for front in &all_fronts {
        loop {
            let by = Instant::now() + Duration::from_secs(1);
            let seen = net::call(front.readiness, "GET", "/-/readyz", &[("Host", "f")], b"", by);
            if seen.status == 200 {
                break;
            }
            if Instant::now() > until {
                eprintln!("a gateway did not become ready");
                drop(processes);
                process::exit(2);
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    // As on the platform, traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(10).saturating_sub(record.started.elapsed()));
    record.line("traffic starts");
    Site { fronts: all_fronts, group, record, processes: Mutex::new(processes) }
}

/// How the requests of one kind ended: asked for, served.
#[derive(Default)]
struct Tally(Mutex<BTreeMap<&'static str, (u64, u64)>>);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sends a stream's request as a client does, which returns once after a refusal, or after a broken
/// connection with the last event that it has. Returns whether it was served.
fn ask(site: &Site, kind: usize, front: usize, events: u64, topic: u64) -> bool {
    let (name, prefix, part) = KINDS[kind];
    let deadline = Instant::now() + Duration::from_secs(8);
    let mut events_seen = 0;
    for attempt in 0..2 {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let target = format!("{prefix}{number:x}");
        let left_ms = deadline.saturating_duration_since(Instant::now()).as_millis().to_string();
        let (events_text, topic_text) = (events.to_string(), topic.to_string());
        let prompt = format!("{part}:40,{number:08x}:674");
        let last_id = events_seen.to_string();
        let mut headers = vec![
            ("Host", "chat.example"),
            ("X-Knapweedford-Request-Id", id.as_str()),
            ("X-Knapweedford-Model", "m"),
            ("X-Knapweedford-Token-Usage", "714,160"),
            ("X-Knapweedford-Prefix-Hash", prompt.as_str()),
            ("X-Knapweedford-Deadline-Ms", left_ms.as_str()),
            ("Api-Key", "key-of-the-county"),
            // Length and content of the answer, which the prompt decides.
            ("X-Test-Events", events_text.as_str()),
            ("X-Test-Topic", topic_text.as_str()),
        ];
        if events_seen > 0 {
            headers.push(("Last-Event-Id", last_id.as_str()));
        }
        let front = site.fronts[(front + attempt) % site.fronts.len()];
        site.record.line(&format!("request {id} ({name}) is sent"));
        let body = format!("prompt {number}");
        let seen = net::call(front.callers, "POST", &target, &headers, body.as_bytes(), deadline);
        let text = String::from_utf8_lossy(&seen.body).into_owned();
        let ids = text.split("\n\n").filter_map(|event| event.strip_prefix("id: "));
        let ids = ids.filter_map(|event| event.split('\n').next()?.parse::<u64>().ok());
        let retry_after = seen.head.header("retry-after").unwrap_or("-").to_owned();
        if seen.status == 200 {
            events_seen = ids.last().unwrap_or(events_seen);
        }
        let is_served = seen.status == 200 && seen.complete && events_seen == events;
        let problem = if seen.status == 200 { "" } else { text.trim() };
        site.record.line(&format!(
            "request {id} ({name}) ends: status {} complete {} events {events_seen}, \
             Retry-After {retry_after} {problem}",
            seen.status, seen.complete
        ));
        if is_served {
            return true;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let wait = retry_after.parse::<f64>().unwrap_or(0.0);
        if left.is_zero() || wait > left.as_secs_f64() / 3.0 {
            return false;
        }
        thread::sleep(Duration::from_secs_f64(wait));
    }
    false
}

/// Sends a request in a thread of its own, and counts how it ended.
fn spawn_ask(
    site: &Arc<Site>,
    tally: &Arc<Tally>,
    kind: usize,
    front: usize,
    events: u64,
    topic: u64,
) -> thread::JoinHandle<()> {
    let (site, tally) = (Arc::clone(site), Arc::clone(tally));
    tally.0.lock().unwrap().entry(KINDS[kind].0).or_default().0 += 1;
    thread::spawn(move || {
        if ask(&site, kind, front, events, topic) {
            tally.0.lock().unwrap().entry(KINDS[kind].0).or_default().1 += 1;
        }
    })
}

/// Sends a lookup in a thread of its own, once more after a failure, and counts how it ended.
fn spawn_lookup(site: &Arc<Site>, tally: &Arc<Tally>, front: usize) -> thread::JoinHandle<()> {
    let (site, tally) = (Arc::clone(site), Arc::clone(tally));
    tally.0.lock().unwrap().entry(LOOKUP.0).or_default().0 += 1;
    thread::spawn(move || {
        let deadline = Instant::now() + Duration::from_millis(1_500);
        for attempt in 0..2 {
            let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
            let id = format!("{number:016x}");
            let headers = [
                ("Host", "chat.example"),
                ("X-Knapweedford-Request-Id", id.as_str()),
                ("X-Knapweedford-Deadline-Ms", "1500"),
                ("Api-Key", "key-of-the-county"),
            ];
            let front = site.fronts[(front + attempt) % site.fronts.len()];
            let target = format!("{}{number:x}", LOOKUP.1);
            let seen = net::call(front.callers, "GET", &target, &headers, b"", deadline);
            site.record.line(&format!("request {id} ({}) ends: status {}", LOOKUP.0, seen.status));
            if seen.status == 200 && seen.complete {
                tally.0.lock().unwrap().entry(LOOKUP.0).or_default().1 += 1;
                return;
            }
        }
    })
}

/// The rule Starved: whether a kind of request is served less than a quarter as often as all requests.
fn is_starved(site: &Site, tally: &Tally) -> bool {
    let tally = tally.0.lock().unwrap();
    let asked: u64 = tally.values().map(|(asked, _)| asked).sum();
    let served: u64 = tally.values().map(|(_, served)| served).sum();
    let share = served as f64 / asked.max(1) as f64;
    let mut starved = false;
    for (kind, (asked, served)) in tally.iter() {
        let own = *served as f64 / *asked as f64;
        let is_below = own < share / 4.0;
        starved |= is_below;
        let verdict = if is_below { "less than a quarter as often as all" } else { "enough" };
        site.record.line(&format!("{kind}: {served} of {asked} are served, {verdict}"));
    }
    site.record.line(&format!("all: {served} of {asked} are served"));
    starved
}

/// A zone's workers go down together while the first requests with a prompt begin, and come back.
fn zone_returns(folder: &path::Path, has_trouble: bool) -> bool {
    let site = Arc::new(start_site("zone", folder, 3, 12, 72));
    let tally = Arc::<Tally>::default();
    let started = Instant::now();
    let at = |s: f64| {
        let due = started + Duration::from_secs_f64(s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let mut asked = Vec::new();
    for n in 0..6 {
        at(1.0 * n as f64);
        asked.push(spawn_ask(&site, &tally, 0, n, 26, 0));
    }
    at(8.0);
    for n in 0..12 {
        asked.push(spawn_ask(&site, &tally, 1, n, 26, 0));
    }
    at(8.3);
    if has_trouble {
        site.record.line("the workers of the zone hukou go down together");
        site.group.crash(&[4, 5, 6, 7], Duration::from_millis(4_500));
    }
    for n in 0..70 {
        at(18.0 + n as f64);
        asked.push(spawn_ask(&site, &tally, 0, n, 26, 0));
        asked.push(spawn_ask(&site, &tally, 1, n + 1, 26, 0));
        asked.push(spawn_lookup(&site, &tally, n));
    }
    asked.into_iter().for_each(|asked| drop(asked.join()));
    is_starved(&site, &tally)
}

/// Bursts of short requests; from the first one on, some orders to workers are carried out late.
fn late_orders(folder: &path::Path, has_trouble: bool) -> bool {
    let site = Arc::new(start_site("late", folder, 2, 4, 24));
    let tally = Arc::<Tally>::default();
    let started = Instant::now();
    if has_trouble {
        let secs = Duration::from_secs_f64;
        let after = |s| Lateness::After(secs(s));
        let mut orders = vec![("prepare", 1, after(3.0)), ("hold", 0, after(2.2))];
        orders.extend((1..4).map(|rank| ("hold", rank, after(6.0))));
        site.group.set_late(Late { to: Some(started + secs(5.5)), orders });
    }
    let mut asked = Vec::new();
    let bursts = [0.0, 6.5].into_iter().chain((0..26).map(|n| 13.0 + 3.0 * f64::from(n)));
    for (burst, at) in bursts.enumerate() {
        let due = started + Duration::from_secs_f64(at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        site.record.line(&format!("burst {burst}: {}", site.group.summary()));
        for n in 0..24 {
            asked.push(spawn_ask(&site, &tally, n % 2, n, 3, burst as u64));
            asked.push(spawn_lookup(&site, &tally, n));
        }
    }
    asked.into_iter().for_each(|asked| drop(asked.join()));
    site.record.line(&site.group.summary());
    check_late_share(&site);
    is_starved(&site, &tally)
}

/// Ends the process if more orders were late than the site's largest dose allows.
fn check_late_share(site: &Site) {
    let (orders, late) = site.group.orders();
    site.record.line(&format!("{late} of {orders} orders within the disruption are late"));
    if late as f64 > 0.35 * orders as f64 {
        site.record.line("more orders are late than the site allows");
        site.processes.lock().unwrap().kill_all();
        process::exit(2);
    }
}

/// The owner of the map is killed while one of its orders is still to be carried out.
fn owner_killed(folder: &path::Path, has_trouble: bool) -> bool {
    let site = Arc::new(start_site("owner", folder, 2, 4, 24));
    let tally = Arc::<Tally>::default();
    let secs = Duration::from_secs_f64;
    let after = |s| Lateness::After(secs(s));
    let mut asked = Vec::new();
    let mut burst = |requests: usize, events: u64, topic: u64| {
        site.record.line(&format!("burst of {requests}: {}", site.group.summary()));
        for n in 0..requests {
            asked.push(spawn_ask(&site, &tally, n % 2, n, events, topic));
        }
    };
    let wait = |limit: f64, is_done: &dyn Fn(&group::View) -> bool| {
        let until = Instant::now() + secs(limit);
        while !is_done(&site.group.view()) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(2));
        }
        true
    };
    // The next owner does not always begin a change in time, so that this is played up to five times.
    for round in 0..5 {
        // A first change of the map ends well.
        burst(24, 10, round);
        thread::sleep(secs(2.5));
        burst(24, 10, round);
        thread::sleep(secs(2.5));
        // Orders are late for 5.5 s.
        if has_trouble {
            let orders = vec![
                ("prepare", 1, after(3.0)),
                ("hold", 0, after(2.05)),
                ("go", 1, Lateness::OnRequest),
            ];
            site.group.set_late(Late { to: Some(Instant::now() + secs(5.5)), orders });
        }
        // Other experts are in demand.
        burst(24, 4, round + 1);
        // The owner undoes its change once its hold is carried out late. Rank 1 leaves the release of that
        // pass unanswered, and carries out the next one.
        let is_undone = |view: &group::View| {
            view.waiting.is_some()
                && view.held.iter().all(Option::is_none)
                && view.armed.iter().all(Option::is_none)
        };
        wait(4.0, &is_undone);
        let pass = site.group.view().waiting.unwrap_or(0);
        let killed_at = Instant::now();
        if has_trouble {
            site.record.line("the agent of rank 0, which is the owner, is killed for 3.5 s");
            site.processes.lock().unwrap().kill("side-0");
            // The next orders to arm rank 3 are late, so that the next owner has to repeat them.
            site.group.add_late(&[("arm", 3, after(5.0)); 3]);
        }
        thread::sleep(secs(1.5));
        // Again others are in demand: three passes of the group.
        for left in [4, 3, 2] {
            burst(24, 1, round + 5);
            wait(0.5, &|view| view.pass + left >= pass && view.runs == 0);
        }
        wait(2.0, &|view| view.held[1].is_some() && view.armed.iter().flatten().count() >= 3);
        site.record.line(&format!("the next owner holds a pass: {}", site.group.summary()));
        burst(8, 6, round + 5);
        wait(0.5, &|view| view.pass + 1 == pass && view.runs > 0);
        // The group waits at the pass that is held.
        thread::sleep(Duration::from_millis(80));
        site.group.carry_out_waiting();
        thread::sleep(secs(3.5).saturating_sub(killed_at.elapsed()));
        if has_trouble {
            site.record.line("the agent of rank 0 is back");
            site.processes.lock().unwrap().restart("side-0");
        }
        thread::sleep(secs(4.0));
        if site.group.passes_with_two_maps() > 0 {
            break;
        }
    }
    if site.group.passes_with_two_maps() > 0 {
        for topic in 0..6 {
            thread::sleep(secs(2.0));
            burst(24, 6, topic);
        }
    }
    asked.into_iter().for_each(|asked| drop(asked.join()));
    site.record.line(&site.group.summary());
    check_late_share(&site);
    let passes = site.group.passes_with_two_maps();
    site.record.line(&format!("{passes} passes began while two ranks had different maps"));
    passes > 0
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: stage CASE FOLDER");
        process::exit(2);
    };
    if !path::Path::new(PROGRAM).exists() {
        eprintln!("{PROGRAM} is not there: run the build of the deploy file in this repository");
        process::exit(2);
    }
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let folder = path::Path::new(folder);
    let is_broken = match case.as_str() {
        "zone" => zone_returns(folder, has_trouble),
        "late" => late_orders(folder, has_trouble),
        "owner" => owner_killed(folder, has_trouble),
        _ => process::exit(2),
    };
    println!("{}", if is_broken { "the rule is broken" } else { "the rule held" });
    process::exit(i32::from(is_broken));
}
