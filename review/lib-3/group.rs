//! Stand-in for a group of model workers: ranks that run passes together, maps of experts, and
//! orders, as PROTOCOL.md has them. Each rank listens on an address of its own.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{self, Json};
use crate::store::Store;
use crate::Record;

pub const SETS: usize = 4;
/// Time without requests after which the first piece of an answer is made.
const FIRST_PIECE: Duration = Duration::from_millis(70);
/// `stall_ms` of the site.
const STALL: Duration = Duration::from_millis(1_500);
/// `form_ms` of the site.
const FORM: Duration = Duration::from_millis(600);
/// `heartbeat_ms` of the site.
const BEAT: Duration = Duration::from_millis(1_200);
/// `cold_start_s` of the site.
const COLD_MS: u128 = 3_000;
/// Time to copy one expert: `expert_mb` over `link_mbps`.
const COPY: Duration = Duration::from_millis(98);
const PLACES: usize = 8;
const SPARE: usize = 3;

type Map = Arc<Vec<Vec<Vec<u64>>>>;

/// What the thread of a connection is told about its stream.
enum Piece {
    Event(u64),
    End,
    /// The stream is cut off.
    Cut,
    /// The request has not begun, and never will: a worker is at fault.
    NotRun,
}

struct Run {
    id: String,
    next: u64,
    last: u64,
    arrived: Instant,
    begun: bool,
    topic: u64,
    pieces: mpsc::Sender<Piece>,
}

struct Rank {
    alive: bool,
    incarnation: u64,
    name: String,
    born_ms: u128,
    started: Instant,
    cold: bool,
    seq: u64,
    map: (u64, Map),
    copying: Option<(u64, Map, Instant)>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<Vec<u64>>,
    runs: Vec<Run>,
    conns: Vec<TcpStream>,
}

impl Rank {
    fn prepared(&self) -> Option<u64> {
        self.copying.as_ref().filter(|(_, _, at)| *at <= Instant::now()).map(|copy| copy.0)
    }
}

struct State {
    epoch: u64,
    step: u64,
    broken_at: Option<Instant>,
    opens_at: Option<Instant>,
    ranks: Vec<Rank>,
    passes_with_two_maps: u64,
    /// Orders within the disruption, and those of them that were late.
    orders: u64,
    late_orders: u64,
}

/// When an order that got no answer is carried out. The pages name 2 to 12 s.
#[derive(Clone, Copy)]
pub enum Lateness {
    After(Duration),
    /// When the case asks for it.
    OnRequest,
}

/// Orders that get no answer and are carried out later, until `to`: the first ones of the operations
/// and ranks that are listed.
#[derive(Default)]
pub struct Late {
    pub to: Option<Instant>,
    pub orders: Vec<(&'static str, usize, Lateness)>,
}

/// A late order that waits for the case.
struct Waiting {
    rank: usize,
    order: Json,
    sent_at: Instant,
}

/// State of the group, for the case that is played.
#[derive(Clone, Debug)]
pub struct View {
    pub pass: u64,
    pub held: Vec<Option<u64>>,
    pub armed: Vec<Option<(u64, u64)>>,
    /// Pass of the late order that waits for the case.
    pub waiting: Option<u64>,
    pub runs: usize,
}

pub struct Group {
    pub addrs: Vec<SocketAddr>,
    pub zones: Vec<&'static str>,
    experts: usize,
    state: Mutex<State>,
    late: Mutex<Late>,
    waiting: Mutex<Option<Waiting>>,
    store: Arc<Store>,
    record: Arc<Record>,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn optional<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or("null".into(), |value| value.to_string())
}

impl Group {
    pub fn start(
        listeners: Vec<TcpListener>,
        zones: Vec<&'static str>,
        experts: usize,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let ranks = listeners.len();
        let map = first_map(ranks, experts);
        let new_rank = |rank: usize| Rank {
            alive: true,
            incarnation: 0,
            name: format!("i-rank{rank}-0"),
            born_ms: unix_ms(),
            started: Instant::now(),
            cold: false,
            seq: 0,
            map: (0, Arc::clone(&map)),
            copying: None,
            highest: 0,
            armed: None,
            held: None,
            counts: vec![vec![0; experts]; SETS],
            runs: Vec::new(),
            conns: Vec::new(),
        };
        let state = State {
            epoch: 1,
            step: 0,
            broken_at: None,
            opens_at: None,
            ranks: (0..ranks).map(new_rank).collect(),
            passes_with_two_maps: 0,
            orders: 0,
            late_orders: 0,
        };
        let addrs = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let group = Arc::new(Self {
            addrs,
            zones,
            experts,
            state: Mutex::new(state),
            late: Mutex::default(),
            waiting: Mutex::default(),
            store,
            record,
        });
        for (rank, listener) in listeners.into_iter().enumerate() {
            let serving = Arc::clone(&group);
            thread::spawn(move || serving.listen(rank, listener));
            let beating = Arc::clone(&group);
            thread::spawn(move || beating.beat(rank));
        }
        let passing = Arc::clone(&group);
        thread::spawn(move || passing.make_passes());
        group
    }

    pub fn set_late(&self, late: Late) {
        *self.late.lock().unwrap() = late;
    }

    /// State of the group for the record: the last pass, and what each rank holds and is armed for.
    pub fn summary(&self) -> String {
        let state = self.state.lock().unwrap();
        let ranks: Vec<String> = state
            .ranks
            .iter()
            .map(|rank| {
                format!(
                    "(map {} prepared {:?} armed {:?} held {:?} runs {})",
                    rank.map.0,
                    rank.prepared(),
                    rank.armed,
                    rank.held,
                    rank.runs.len()
                )
            })
            .collect();
        format!(
            "epoch {} pass {} passes with two maps {} orders {} late {} ranks {}",
            state.epoch,
            state.step,
            state.passes_with_two_maps,
            state.orders,
            state.late_orders,
            ranks.join(" ")
        )
    }

    pub fn passes_with_two_maps(&self) -> u64 {
        self.state.lock().unwrap().passes_with_two_maps
    }

    /// Crashes `ranks` together; they come back after `down`, cold and in a new incarnation.
    pub fn crash(self: &Arc<Self>, ranks: &[usize], down: Duration) {
        let mut old_names = Vec::new();
        {
            let mut state = self.state.lock().unwrap();
            state.broken_at = Some(Instant::now());
            state.opens_at = None;
            for rank in ranks {
                let rank = &mut state.ranks[*rank];
                rank.alive = false;
                rank.runs.clear();
                for conn in rank.conns.drain(..) {
                    let _ = conn.shutdown(Shutdown::Both);
                }
                old_names.push(rank.name.clone());
            }
        }
        let group = Arc::clone(self);
        let store = Arc::clone(&self.store);
        thread::spawn(move || {
            thread::sleep(BEAT * 3);
            old_names.iter().for_each(|name| store.remove("servers", name));
        });
        let ranks = ranks.to_vec();
        thread::spawn(move || {
            thread::sleep(down);
            let listeners: Vec<TcpListener> =
                ranks.iter().map(|rank| TcpListener::bind(group.addrs[*rank]).unwrap()).collect();
            {
                let mut state = group.state.lock().unwrap();
                for rank in &ranks {
                    let n = *rank;
                    let rank = &mut state.ranks[*rank];
                    rank.incarnation += 1;
                    rank.alive = true;
                    rank.name = format!("i-rank{n}-{}", rank.incarnation);
                    rank.born_ms = unix_ms();
                    (rank.started, rank.cold, rank.seq) = (Instant::now(), true, 0);
                    rank.counts = vec![vec![0; group.experts]; SETS];
                }
                if state.ranks.iter().all(|rank| rank.alive) {
                    state.opens_at = Some(Instant::now() + FORM);
                }
            }
            for (rank, listener) in ranks.into_iter().zip(listeners) {
                let serving = Arc::clone(&group);
                thread::spawn(move || serving.listen(rank, listener));
                group.write_row(rank);
            }
        });
    }

    fn write_row(&self, rank: usize) {
        let (name, row) = {
            let state = self.state.lock().unwrap();
            let own = &state.ranks[rank];
            if !own.alive {
                return;
            }
            let cold = if own.cold { COLD_MS } else { 0 };
            let cold = cold.saturating_sub(own.started.elapsed().as_millis());
            let row = format!(
                "{{\"service\":\"assist-llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":{cold},\"stage\":\"both\",\
                 \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{},\
                 \"born\":{},{}}}",
                self.addrs[rank],
                self.zones[rank],
                own.seq,
                own.born_ms,
                group_json(&state, rank)
            );
            (own.name.clone(), row)
        };
        self.store.put("servers", &name, &row);
    }

    fn beat(&self, rank: usize) {
        loop {
            self.write_row(rank);
            thread::sleep(BEAT);
        }
    }

    fn listen(self: Arc<Self>, rank: usize, listener: TcpListener) {
        let incarnation = self.state.lock().unwrap().ranks[rank].incarnation;
        let is_current =
            |state: &State| state.ranks[rank].alive && state.ranks[rank].incarnation == incarnation;
        listener.set_nonblocking(true).unwrap();
        loop {
            if !is_current(&self.state.lock().unwrap()) {
                return;
            }
            let Ok((conn, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (conn.set_nonblocking(false), conn.set_nodelay(true));
            self.state.lock().unwrap().ranks[rank].conns.push(conn.try_clone().unwrap());
            let group = Arc::clone(&self);
            thread::spawn(move || {
                let _ = group.serve(rank, incarnation, conn);
            });
        }
    }

    fn serve(
        self: &Arc<Self>,
        rank: usize,
        incarnation: u64,
        mut conn: TcpStream,
    ) -> std::io::Result<()> {
        let mut reader = BufReader::new(conn.try_clone()?);
        while let Some(head) = net::read_head(&mut reader)? {
            let body = net::read_body(&mut reader, &head)?;
            {
                let state = self.state.lock().unwrap();
                if !state.ranks[rank].alive || state.ranks[rank].incarnation != incarnation {
                    let _ = conn.shutdown(Shutdown::Both);
                    return Ok(());
                }
            }
            let (method, target) = head.target();
            match (method, target) {
                ("GET", "/-/report") => net::write_json(&mut conn, 200, &self.report(rank))?,
                ("GET", "/-/picked") => net::write_json(&mut conn, 200, &self.counts(rank))?,
                ("GET", target) if target.starts_with("/-/picked") => {
                    net::write_json(&mut conn, 200, &self.lists(rank))?
                }
                ("POST", "/-/order") => {
                    let Some(order) = Json::parse(&body) else {
                        net::write_json(&mut conn, 400, "{}")?;
                        continue;
                    };
                    match self.lateness(rank, order.get("operation").text()) {
                        // A connection on which an answer is lost delivers nothing further.
                        Some(lateness) => {
                            let text = order_text(&order);
                            self.record
                                .line(&format!("rank {rank} leaves an order unanswered: {text}"));
                            match lateness {
                                Lateness::After(time) => {
                                    let group = Arc::clone(self);
                                    thread::spawn(move || {
                                        thread::sleep(time);
                                        group.carry_out_late(rank, &order);
                                    });
                                }
                                Lateness::OnRequest => {
                                    let sent_at = Instant::now();
                                    let waiting = Waiting { rank, order, sent_at };
                                    *self.waiting.lock().unwrap() = Some(waiting);
                                }
                            }
                            thread::sleep(Duration::from_secs(1));
                            return Ok(());
                        }
                        None => {
                            let status = self.carry_out(rank, &order);
                            let text = order_text(&order);
                            self.record.line(&format!("rank {rank} answers {status} to {text}"));
                            net::write_json(&mut conn, status, "{}")?;
                        }
                    }
                }
                ("GET", "/healthz") => {
                    let name = self.state.lock().unwrap().ranks[rank].name.clone();
                    let headers = [("X-Knapweedford-Instance-Id", name.as_str())];
                    net::write_answer(&mut conn, 200, &headers, b"")?;
                }
                _ => {
                    if !self.stream(rank, &head, &mut conn)? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Runs a client's request; returns whether the connection may be used again.
    fn stream(&self, rank: usize, head: &net::Head, conn: &mut TcpStream) -> std::io::Result<bool> {
        let id = head.header("x-knapweedford-request-id").unwrap_or("").to_owned();
        let id_header = ("X-Knapweedford-Request-Id", id.as_str());
        let not_run = ("X-Knapweedford-Not-Executed", "1");
        let name = self.state.lock().unwrap().ranks[rank].name.clone();
        if head.header("x-knapweedford-expect-instance").is_some_and(|expected| expected != name) {
            let headers = [id_header, not_run, ("X-Knapweedford-Instance-Id", name.as_str())];
            net::write_answer(conn, 421, &headers, b"")?;
            return Ok(true);
        }
        let last_id = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let number = |name| head.header(name).and_then(|n: &str| n.parse().ok());
        let (tx, rx) = mpsc::channel();
        let run = Run {
            id: id.clone(),
            next: last_id + 1,
            last: number("x-test-events").unwrap_or(26),
            arrived: Instant::now(),
            begun: false,
            topic: number("x-test-topic").unwrap_or(0),
            pieces: tx,
        };
        self.state.lock().unwrap().ranks[rank].runs.push(run);
        let mut has_head = false;
        loop {
            match rx.recv() {
                Ok(Piece::Event(n)) => {
                    if !std::mem::replace(&mut has_head, true) {
                        self.record.line(&format!("rank {rank} runs request {id} from event {n}"));
                        conn.write_all(
                            format!(
                                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                                 Transfer-Encoding: chunked\r\n{}: {id}\r\n\
                                 X-Knapweedford-Response-Seal: {name}.{id}\r\n\
                                 X-Knapweedford-Weight-Versions: 1\r\n\r\n",
                                id_header.0
                            )
                            .as_bytes(),
                        )?;
                    }
                    let event = format!("id: {n}\ndata: piece {n} of {id}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    if let Err(err) = conn.write_all(chunk.as_bytes()) {
                        let mut state = self.state.lock().unwrap();
                        state.ranks[rank].runs.retain(|run| run.id != id);
                        return Err(err);
                    }
                }
                Ok(Piece::End) => {
                    conn.write_all(b"0\r\n\r\n")?;
                    return Ok(true);
                }
                Ok(Piece::NotRun) => {
                    let headers = [id_header, not_run, ("At-Server", "a rank that is down")];
                    net::write_answer(conn, 503, &headers, b"")?;
                    return Ok(true);
                }
                Ok(Piece::Cut) | Err(_) => {
                    let _ = conn.shutdown(Shutdown::Both);
                    return Ok(false);
                }
            }
        }
    }

    fn report(&self, rank: usize) -> String {
        let state = self.state.lock().unwrap();
        let own = &state.ranks[rank];
        let armed =
            own.armed.map(|(version, step)| format!("{{\"version\":{version},\"step\":{step}}}"));
        let running = own.runs.iter().filter(|run| run.begun).count();
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":{},\"seq\":{},\"queued\":{},\"running\":{running},\"kv_used\":0,\
             \"kv_total\":494000,\"handles\":0,\"step\":{},\"map\":{},\"prepared\":{},\"armed\":{},\
             \"held\":{},\"pace\":1.0,\"born\":{},{}}}",
            own.copying.is_some() && own.prepared().is_none(),
            own.seq,
            own.runs.len() - running,
            state.step,
            own.map.0,
            optional(own.prepared()),
            optional(armed),
            optional(own.held),
            own.born_ms,
            group_json(&state, rank)
        )
    }

    fn counts(&self, rank: usize) -> String {
        let state = self.state.lock().unwrap();
        let counts = state.ranks[rank].counts.iter().flatten();
        let counts: Vec<String> = counts.map(u64::to_string).collect();
        format!(
            "{{\"step\":{},\"epoch\":{},\"counts\":[{}]}}",
            state.step,
            state.epoch,
            counts.join(",")
        )
    }

    fn lists(&self, rank: usize) -> String {
        let state = self.state.lock().unwrap();
        let own = &state.ranks[rank];
        let list = |version: u64, map: &Map| {
            let sets: Vec<String> = map.iter().map(|set| format!("{:?}", set[rank])).collect();
            format!("{{\"version\":{version},\"experts\":[{}]}}", sets.join(","))
        };
        let prepared = own.copying.as_ref().filter(|_| own.prepared().is_some());
        format!(
            "{{\"step\":{},\"epoch\":{},\"map\":{},\"prepared\":{}}}",
            state.step,
            state.epoch,
            list(own.map.0, &own.map.1),
            optional(prepared.map(|(version, map, _)| list(*version, map)))
        )
    }

    /// Returns after which time an order is carried out if it is late.
    fn lateness(&self, rank: usize, operation: &str) -> Option<Lateness> {
        let mut late = self.late.lock().unwrap();
        late.to.filter(|to| Instant::now() < *to)?;
        let mut state = self.state.lock().unwrap();
        state.orders += 1;
        let listed =
            late.orders.iter().position(|order| (order.0, order.1) == (operation, rank))?;
        state.late_orders += 1;
        Some(late.orders.remove(listed).2)
    }

    /// Adds to the orders that will be late.
    pub fn add_late(&self, orders: &[(&'static str, usize, Lateness)]) {
        self.late.lock().unwrap().orders.extend_from_slice(orders);
    }

    /// Carries out the late order that waits for the case, if 2 to 12 s have passed since it was sent.
    pub fn carry_out_waiting(&self) -> bool {
        let Some(waiting) = self.waiting.lock().unwrap().take() else { return false };
        let late_by = waiting.sent_at.elapsed();
        let is_allowed = (2.0..=12.0).contains(&late_by.as_secs_f64());
        self.record.line(&format!("the late order was sent {} ms ago", late_by.as_millis()));
        if is_allowed {
            self.carry_out_late(waiting.rank, &waiting.order);
        }
        is_allowed
    }

    fn carry_out_late(&self, rank: usize, order: &Json) {
        let status = self.carry_out(rank, order);
        let text = order_text(order);
        self.record.line(&format!("rank {rank} carries out a late order, status {status}: {text}"));
    }

    pub fn view(&self) -> View {
        let waiting = self.waiting.lock().unwrap();
        let state = self.state.lock().unwrap();
        View {
            pass: state.step,
            held: state.ranks.iter().map(|rank| rank.held).collect(),
            armed: state.ranks.iter().map(|rank| rank.armed).collect(),
            waiting: waiting.as_ref().and_then(|waiting| waiting.order.get("step").number()),
            runs: state.ranks.iter().map(|rank| rank.runs.len()).sum(),
        }
    }

    /// Returns the number of orders within the disruption, and of those that were late.
    pub fn orders(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.orders, state.late_orders)
    }

    fn carry_out(&self, rank: usize, order: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        if order.get("epoch").number() != Some(state.epoch) || !state.ranks[rank].alive {
            return 409;
        }
        let version = order.get("version").number().unwrap_or(0);
        let step = order.get("step").number().unwrap_or(0);
        let (own, last_pass) = (&mut state.ranks[rank], state.step);
        let status = match order.get("operation").text() {
            "prepare" => {
                if own.copying.as_ref().is_some_and(|copy| copy.0 == version) {
                    return 200;
                }
                let map: Vec<Vec<Vec<u64>>> = order
                    .get("map")
                    .list()
                    .iter()
                    .map(|set| {
                        let experts =
                            |rank: &Json| rank.list().iter().filter_map(Json::number).collect();
                        set.list().iter().map(experts).collect()
                    })
                    .collect();
                let is_whole = map.len() == SETS
                    && map.iter().all(|set| {
                        (0..self.experts as u64).all(|e| set.iter().flatten().any(|x| *x == e))
                    });
                let new = |set: usize| {
                    let known = &own.map.1[set][rank];
                    map[set][rank].iter().filter(|e| !known.contains(e)).count()
                };
                if !is_whole || map.iter().any(|set| set.iter().any(|held| held.len() > PLACES)) {
                    return 400;
                }
                let copies: Vec<usize> = (0..SETS).map(new).collect();
                if version <= own.highest
                    || own.armed.is_some()
                    || copies.iter().any(|n| *n > SPARE)
                {
                    return 409;
                }
                let copied: usize = copies.iter().sum();
                own.copying = Some((version, Arc::new(map), Instant::now() + COPY * copied as u32));
                own.highest = version;
                202
            }
            "arm" if own.armed == Some((version, step)) => return 200,
            "arm"
                if own.prepared() != Some(version) || step <= last_pass || own.armed.is_some() =>
            {
                return 409;
            }
            "arm" => {
                own.armed = Some((version, step));
                200
            }
            "disarm" if own.map.0 == version => return 409,
            "disarm" => {
                own.armed = own.armed.filter(|armed| armed.0 != version);
                200
            }
            "hold" if own.held == Some(step) => return 200,
            "hold" if own.held.is_some() || step <= last_pass => return 409,
            "hold" => {
                own.held = Some(step);
                200
            }
            "go" => {
                own.held = own.held.filter(|held| *held != step);
                200
            }
            _ => return 400,
        };
        own.seq += 1;
        status
    }

    /// Makes the passes of the group. All ranks begin each of them together.
    fn make_passes(&self) {
        loop {
            let (pass, pieces_after) = {
                let mut state = self.state.lock().unwrap();
                match self.begin_pass(&mut state) {
                    Some(duration) => (state.step, duration),
                    None => {
                        drop(state);
                        thread::sleep(Duration::from_millis(2));
                        continue;
                    }
                }
            };
            thread::sleep(pieces_after);
            let mut state = self.state.lock().unwrap();
            if state.broken_at.is_some() || state.step != pass {
                continue;
            }
            for rank in &mut state.ranks {
                rank.runs.retain_mut(|run| {
                    if !run.begun {
                        return true;
                    }
                    if run.next <= run.last {
                        let _ = run.pieces.send(Piece::Event(run.next));
                        run.next += 1;
                    }
                    if run.next > run.last {
                        let _ = run.pieces.send(Piece::End);
                    }
                    run.next <= run.last
                });
            }
        }
    }

    /// Begins a pass if there is work and no rank holds it; returns how long it takes.
    fn begin_pass(&self, state: &mut State) -> Option<Duration> {
        let now = Instant::now();
        if let Some(broken_at) = state.broken_at {
            if state.opens_at.is_some_and(|at| at <= now) {
                (state.broken_at, state.opens_at) = (None, None);
                state.epoch += 1;
                for rank in &mut state.ranks {
                    rank.map = (0, first_map(self.addrs.len(), self.experts));
                    (rank.copying, rank.armed, rank.held, rank.highest) = (None, None, None, 0);
                }
                self.record.line(&format!("the group opens in epoch {}", state.epoch));
                return None;
            }
            for rank in &mut state.ranks {
                rank.runs.retain(|run| {
                    let is_over = run.arrived.max(broken_at) + STALL <= now;
                    if is_over {
                        let piece = if run.begun { Piece::Cut } else { Piece::NotRun };
                        let _ = run.pieces.send(piece);
                    }
                    !is_over
                });
            }
            return None;
        }
        let is_due = |run: &&Run| run.begun || run.arrived + FIRST_PIECE <= now;
        let busiest =
            state.ranks.iter().map(|rank| rank.runs.iter().filter(is_due).count()).max()?;
        let next = state.step + 1;
        // The prompts that arrive at an idle group are read together.
        let mut runs = state.ranks.iter().flat_map(|rank| &rank.runs);
        if runs.clone().all(|run| !run.begun) && runs.any(|run| run.arrived + FIRST_PIECE > now) {
            return None;
        }
        if busiest == 0 || state.ranks.iter().any(|rank| rank.held == Some(next)) {
            return None;
        }
        state.step = next;
        self.record.line(&format!("pass {next} begins"));
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, step)| *step <= next) {
                if let Some((_, map, _)) = rank.copying.take().filter(|copy| copy.0 == version) {
                    rank.map = (version, map);
                }
                rank.armed = None;
            }
        }
        let first = &state.ranks[0].map;
        if state.ranks.iter().any(|rank| rank.map.0 != first.0 || rank.map.1 != first.1) {
            state.passes_with_two_maps += 1;
            self.record.line(&format!("pass {next} begins with two maps"));
        }
        let mut total = vec![vec![0u64; self.experts]; SETS];
        for rank in &mut state.ranks {
            for run in rank.runs.iter_mut().filter(|run| run.arrived + FIRST_PIECE <= now) {
                run.begun = true;
                for (set, counts) in rank.counts.iter_mut().enumerate() {
                    for n in 0..40u64 {
                        let expert = pick(run.topic, set as u64, n, next, self.experts as u64);
                        counts[expert] += 1;
                        total[set][expert] += 1;
                    }
                }
            }
        }
        let skew = mean_skew(&state.ranks[0].map.1, &total);
        let slots = busiest as f64;
        let pass_ms = 6.0 * (4.84 + slots * 0.362 * (0.15 + 0.85 * skew)) + slots * 0.4;
        Some(Duration::from_secs_f64(pass_ms / 1000.0))
    }
}

/// Picks experts: those that a topic likes, nine in ten times, lie on one rank of the first map.
fn pick(topic: u64, set: u64, n: u64, pass: u64, experts: u64) -> usize {
    let mixed = (n * 31 + pass * 17 + set * 7 + topic * 13) % 97;
    let liked = (topic * 5 + set) % 12;
    let expert = match mixed % 10 {
        0..9 => liked + 12 * (mixed % 3),
        _ => mixed * 3 + n,
    };
    (expert % experts) as usize
}

fn mean_skew(map: &Map, weights: &[Vec<u64>]) -> f64 {
    let mut sum = 0.0;
    for (set, weights) in map.iter().zip(weights) {
        let mut copies = BTreeMap::new();
        set.iter().flatten().for_each(|expert| *copies.entry(*expert).or_insert(0.0) += 1.0);
        let load = |held: &Vec<u64>| -> f64 {
            held.iter().map(|expert| weights[*expert as usize] as f64 / copies[expert]).sum()
        };
        let loads: Vec<f64> = set.iter().map(load).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let most = loads.iter().copied().fold(0.0, f64::max);
        sum += if mean > 0.0 { most / mean } else { 1.0 };
    }
    sum / map.len() as f64
}

/// Map 0 assigns experts in turn.
fn first_map(ranks: usize, experts: usize) -> Map {
    let rank = |n: usize| (0..experts as u64).filter(|e| *e as usize % ranks == n).collect();
    let set: Vec<Vec<u64>> = (0..ranks).map(rank).collect();
    Arc::new(vec![set; SETS])
}

fn group_json(state: &State, rank: usize) -> String {
    let open = if state.broken_at.is_none() { "open" } else { "broken" };
    format!(
        "\"group\":{{\"name\":\"g-1\",\"epoch\":{},\"rank\":{rank},\"state\":\"{open}\"}},\"size\":{}",
        state.epoch,
        state.ranks.len()
    )
}

fn order_text(order: &Json) -> String {
    format!(
        "{} version {} step {} epoch {}",
        order.get("operation").text(),
        optional(order.get("version").number()),
        optional(order.get("step").number()),
        optional(order.get("epoch").number())
    )
}
