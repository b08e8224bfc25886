//! Stand-ins for the model engines of one expert group, as PROTOCOL.md describes them. All ranks
//! begin each pass together; the group records a pass that begins while two ranks have different
//! maps.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::Json,
    wire::{self, Random},
};

/// Shape of the group and cost of its passes, as in the operators' configuration.
#[derive(Clone, Debug)]
pub struct Shape {
    pub ranks: usize,
    pub sets: usize,
    pub experts: usize,
    pub places: usize,
    pub spare: usize,
    pub slots: u32,
    pub stride: f64,
    pub step_ms: f64,
    pub per_seq_ms: f64,
    pub context_per_k: f64,
    pub read_per_s: f64,
    pub prompt: f64,
    pub answer: f64,
    pub expert_share: f64,
    pub expert_mb: f64,
    pub link_mbps: f64,
    /// Requests that each rank runs.
    pub running: u32,
}

impl Shape {
    /// The entry `engine` of a service in the operators' configuration.
    pub fn config(&self) -> String {
        format!(
            r#"{{"slots":{},"stride":{},"step_ms":{},"per_seq_ms":{},"context_per_k":{},"read_per_s":{},"pairs_per_m":0.3,"chunk":512,"report_lag_ms":200.0,"usual":{{"prompt":{},"answer":{}}},"sets":{},"experts":{},"places":{},"spare":{},"expert_mb":{},"expert_share":{},"link_mbps":{},"form_ms":600.0}}"#,
            self.slots,
            self.stride,
            self.step_ms,
            self.per_seq_ms,
            self.context_per_k,
            self.read_per_s,
            self.prompt,
            self.answer,
            self.sets,
            self.experts,
            self.places,
            self.spare,
            self.expert_mb,
            self.expert_share,
            self.link_mbps
        )
    }
}

type Experts = Vec<Vec<u16>>;

#[derive(Clone, Debug)]
struct Rank {
    map: (u64, Arc<Vec<Vec<Vec<u16>>>>),
    prepared: Option<(u64, Arc<Vec<Vec<Vec<u16>>>>)>,
    copying: Option<(u64, Arc<Vec<Vec<Vec<u16>>>>, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    newest_version: u64,
    seq: u64,
    /// Reports so far, the second copies of them, and whether one is due.
    answers: u64,
    copies: u64,
    is_copy_due: bool,
    /// How often requests at this rank chose each expert, set by set.
    counts: Vec<u64>,
}

impl Rank {
    fn experts(map: &[Vec<Vec<u16>>], rank: usize) -> Experts {
        map.iter().map(|set| set[rank].clone()).collect()
    }
}

#[derive(Debug)]
struct State {
    step: u64,
    ranks: Vec<Rank>,
    /// Popularity of each expert, by set.
    popularity: Vec<Vec<f64>>,
    next_shift: Instant,
    random: u64,
    log: Vec<String>,
    started: Instant,
    /// Passes that began while two ranks had different maps.
    mixed: Vec<u64>,
    changes: u64,
    stopped: bool,
}

impl State {
    fn log(&mut self, line: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.log.push(format!("{at:9.4} {line}"));
    }
}

/// The group; clones share it.
#[derive(Clone)]
pub struct Group {
    shape: Arc<Shape>,
    state: Arc<Mutex<State>>,
}

/// Time between two jumps of popularity, and the share of it that moves to other experts.
const SHIFT_INTERVAL: Duration = Duration::from_millis(3_000);
const SHIFT_SHARE: f64 = 0.65;
/// Skew of popularity among the experts of a set.
const SKEW: f64 = 1.3;
/// Choices that one request makes in a set in one pass.
const PICKS: f64 = 40.0;
const EPOCH: u64 = 1;

/// Second copies of answers, which faulty engines send late.
pub struct Trouble {
    /// Largest part of the reports of a faulty engine of which a second copy follows.
    pub second_copies: f64,
    /// Part of the engines that are faulty at a time.
    pub share: f64,
    /// Time from the start of one disruption to that of the next, and how long each lasts.
    pub period: Duration,
    pub duration: Duration,
}

impl Group {
    pub fn start(shape: Shape) -> Self {
        let mut random = Random::seeded(1);
        let in_turn = (0..shape.sets)
            .map(|_| {
                let mut set = vec![Vec::new(); shape.ranks];
                (0..shape.experts).for_each(|e| set[e % shape.ranks].push(e as u16));
                set
            })
            .collect();
        let map = (0, Arc::new(in_turn));
        let rank = Rank {
            map,
            prepared: None,
            copying: None,
            armed: None,
            held: None,
            newest_version: 0,
            seq: 0,
            answers: 0,
            copies: 0,
            is_copy_due: false,
            counts: vec![0; shape.sets * shape.experts],
        };
        let popularity = (0..shape.sets)
            .map(|_| {
                let mut set: Vec<f64> =
                    (0..shape.experts).map(|n| 1.0 / ((n + 1) as f64).powf(SKEW)).collect();
                shuffle(&mut set, 1.0, &mut random);
                set
            })
            .collect();
        let now = Instant::now();
        let state = State {
            step: 0,
            ranks: vec![rank; shape.ranks],
            popularity,
            next_shift: now + SHIFT_INTERVAL,
            random: random.next(),
            log: Vec::new(),
            started: now,
            mixed: Vec::new(),
            changes: 0,
            stopped: false,
        };
        let group = Self { shape: Arc::new(shape), state: Arc::new(Mutex::new(state)) };
        let passing = group.clone();
        thread::spawn(move || passing.run_passes());
        group
    }

    /// Stops the passes.
    pub fn stop(&self) {
        self.state.lock().unwrap().stopped = true;
    }

    /// Returns the mixed passes, the number of passes and of changes of the map, and the record.
    pub fn result(&self) -> (Vec<u64>, u64, u64, Vec<String>) {
        let state = self.state.lock().unwrap();
        (state.mixed.clone(), state.step, state.changes, state.log.clone())
    }

    /// Returns the number of late second copies and of reports.
    pub fn copies(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        let copies = state.ranks.iter().map(|rank| rank.copies).sum();
        (copies, state.ranks.iter().map(|rank| rank.answers).sum())
    }

    fn run_passes(&self) {
        loop {
            let took = match self.begin_pass() {
                Some(took) => took,
                None => Duration::from_micros(300),
            };
            if self.state.lock().unwrap().stopped {
                return;
            }
            thread::sleep(took);
        }
    }

    /// Begins the next pass unless a rank holds it; returns how long it takes.
    fn begin_pass(&self) -> Option<Duration> {
        let shape = &self.shape;
        let state = &mut *self.state.lock().unwrap();
        let now = Instant::now();
        let next = state.step + 1;
        if state.ranks.iter().any(|rank| rank.held == Some(next)) {
            return None;
        }
        state.step = next;
        if now >= state.next_shift {
            state.next_shift = now + SHIFT_INTERVAL;
            let mut random = Random(state.random);
            state.popularity.iter_mut().for_each(|set| shuffle(set, SHIFT_SHARE, &mut random));
            state.random = random.next();
            state.log("other experts are in demand".into());
        }
        let mut switched = 0;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, step)| step <= next) {
                rank.armed = None;
                rank.map = rank.prepared.take().expect("an armed rank has prepared a map");
                switched += 1;
            }
        }
        if switched > 0 {
            let version = state.ranks.iter().map(|rank| rank.map.0).max().unwrap_or_default();
            state.changes += 1;
            state.log(format!("pass {next} begins; {switched} ranks switch to map {version}"));
        }
        let first = state.ranks[0].map.clone();
        if state.ranks.iter().any(|rank| rank.map.0 != first.0 || rank.map.1 != first.1) {
            if state.mixed.is_empty() {
                let maps: Vec<u64> = state.ranks.iter().map(|rank| rank.map.0).collect();
                state.log(format!("MAP BROKEN: pass {next} begins with the maps {maps:?}"));
            }
            state.mixed.push(next);
        }
        // The work of the most loaded rank, set by set.
        let mut skew = 0.0;
        let mut random = Random(state.random);
        for set in 0..shape.sets {
            let popularity = &state.popularity[set];
            let total: f64 = popularity.iter().sum();
            let mut copies = vec![0.0; shape.experts];
            first.1[set].iter().flatten().for_each(|expert| copies[usize::from(*expert)] += 1.0);
            let load = |held: &Vec<u16>| {
                held.iter()
                    .map(|e| popularity[usize::from(*e)] / copies[usize::from(*e)])
                    .sum::<f64>()
            };
            let most = first.1[set].iter().map(load).fold(0.0, f64::max);
            skew += most / (total / shape.ranks as f64) / shape.sets as f64;
            for rank in &mut state.ranks {
                for (expert, share) in popularity.iter().enumerate() {
                    let mean = share / total * PICKS * f64::from(shape.running);
                    rank.counts[set * shape.experts + expert] += (mean + random.unit()) as u64;
                }
            }
        }
        state.random = random.next();
        let request_ms = shape.stride
            * (shape.per_seq_ms + shape.context_per_k * shape.prompt / 1000.0)
            + shape.stride / shape.answer * shape.prompt / (shape.read_per_s / 1000.0);
        let work_ms = f64::from(shape.running) * request_ms;
        let pass_ms = shape.stride * shape.step_ms
            + work_ms * (1.0 - shape.expert_share + shape.expert_share * skew);
        Some(Duration::from_secs_f64(pass_ms / 1000.0))
    }

    /// Serves the calls to the engine of `rank` at `addr`.
    pub fn serve(
        &self,
        rank: usize,
        addr: SocketAddr,
        trouble: Option<Arc<Trouble>>,
    ) -> io::Result<()> {
        let group = self.clone();
        wire::listen(addr, move |conn| group.serve_connection(rank, conn, trouble.clone()))
    }

    /// Serves a connection. A faulty engine sends a second copy of a report late: of one that it gave
    /// on this connection while it copied a map, at the point where the first report after an order
    /// to arm is expected.
    fn serve_connection(
        &self,
        rank: usize,
        conn: TcpStream,
        trouble: Option<Arc<Trouble>>,
    ) -> io::Result<()> {
        let mut out = conn.try_clone()?;
        let mut from = BufReader::new(conn);
        let mut earlier: Option<(u64, Vec<u8>)> = None;
        while let Some(message) = wire::read(&mut from)? {
            let (status, body) = self.answer(rank, &message);
            let id = message.header("x-knapweedford-request-id");
            let echo = id.map(|id| format!("X-Knapweedford-Request-Id: {id}\r\n"));
            let keep_alive = "Keep-Alive: timeout=15\r\n";
            let headers = keep_alive.to_owned() + &echo.unwrap_or_default();
            let answer = wire::json_answer(status, &headers, &body);
            if let (Some(trouble), "/-/report") = (&trouble, message.target.as_str()) {
                if let Some(copy) = self.take_late_copy(rank, &mut earlier, trouble, &answer) {
                    out.write_all(&copy)?;
                }
            }
            out.write_all(&answer)?;
        }
        Ok(())
    }

    /// Returns the copy to send before `answer`, the answer to a request for a report.
    fn take_late_copy(
        &self,
        number: usize,
        earlier: &mut Option<(u64, Vec<u8>)>,
        trouble: &Trouble,
        answer: &[u8],
    ) -> Option<Vec<u8>> {
        let state = &mut *self.state.lock().unwrap();
        let rank = &mut state.ranks[number];
        rank.answers += 1;
        if let Some((version, ..)) = &rank.copying {
            *earlier = Some((*version, answer.to_vec()));
            return None;
        }
        let (version, _) = rank.armed.filter(|_| rank.is_copy_due)?;
        let is_within_dose =
            (rank.copies + 1) as f64 <= trouble.second_copies * rank.answers as f64;
        let at = state.started.elapsed();
        if !is_within_dose || !is_faulty(number, self.shape.ranks, trouble, at) {
            return None;
        }
        let (_, copy) = earlier.take_if(|(copied, _)| *copied == version)?;
        let rank = &mut state.ranks[number];
        (rank.copies, rank.is_copy_due) = (rank.copies + 1, false);
        state.log(format!(
            "rank {number} sends late a second copy of the report that it gave while it copied map {version}"
        ));
        Some(copy)
    }

    fn answer(&self, rank: usize, message: &wire::Message) -> (u16, String) {
        match message.target.as_str() {
            "/-/report" => (200, self.report(rank)),
            "/-/order" => self.order(rank, &message.body),
            target if target == "/-/picked" => {
                let state = self.state.lock().unwrap();
                let counts = format!("{:?}", state.ranks[rank].counts).replace(' ', "");
                (200, format!(r#"{{"step":{},"epoch":{EPOCH},"counts":{counts}}}"#, state.step))
            }
            target if target.starts_with("/-/picked?") => {
                let state = self.state.lock().unwrap();
                let list = |(version, map): &(u64, Arc<Vec<Vec<Vec<u16>>>>)| {
                    let experts = format!("{:?}", Rank::experts(map, rank)).replace(' ', "");
                    format!(r#"{{"version":{version},"experts":{experts}}}"#)
                };
                let rank = &state.ranks[rank];
                let prepared = rank.prepared.as_ref().map_or("null".into(), list);
                let body = format!(
                    r#"{{"step":{},"epoch":{EPOCH},"map":{},"prepared":{prepared}}}"#,
                    state.step,
                    list(&rank.map)
                );
                (200, body)
            }
            _ => (404, "{}".into()),
        }
    }

    fn report(&self, number: usize) -> String {
        let state = &mut *self.state.lock().unwrap();
        finish_copy(&mut state.ranks[number]);
        let rank = &state.ranks[number];
        let text = |version: Option<u64>| version.map_or("null".to_owned(), |v| v.to_string());
        let armed = rank.armed.map_or("null".into(), |(version, step)| {
            format!(r#"{{"version":{version},"step":{step}}}"#)
        });
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{},"seq":{},"queued":0,"running":{},"kv_used":41000,"kv_total":494000,"handles":0,"group":{{"name":"g","epoch":{EPOCH},"rank":{number},"state":"open"}},"size":{},"step":{},"map":{},"prepared":{},"armed":{armed},"held":{},"pace":1.0,"born":1}}"#,
            rank.copying.is_some(),
            rank.seq,
            self.shape.running,
            state.ranks.len(),
            state.step,
            rank.map.0,
            text(rank.prepared.as_ref().map(|(version, _)| *version)),
            text(rank.held),
        )
    }

    /// Carries out an order.
    fn order(&self, number: usize, body: &[u8]) -> (u16, String) {
        let Some(order) = Json::parse(body) else { return (400, "{}".into()) };
        let field = |name: &str| order.get(name).and_then(Json::number);
        let operation = order.get("operation").and_then(Json::text).unwrap_or_default().to_owned();
        let (version, step) = (field("version").unwrap_or(0), field("step").unwrap_or(0));
        let state = &mut *self.state.lock().unwrap();
        finish_copy(&mut state.ranks[number]);
        let begun = state.step;
        let rank = &mut state.ranks[number];
        let status = match operation.as_str() {
            _ if field("epoch").is_some_and(|epoch| epoch != EPOCH) => 409,
            "prepare" if rank.prepared.as_ref().is_some_and(|(v, _)| *v == version) => 200,
            "prepare" if rank.copying.as_ref().is_some_and(|(v, ..)| *v == version) => 200,
            "prepare" if version <= rank.newest_version || rank.armed.is_some() => 409,
            "prepare" => {
                let map = order.get("map").map(parse_map).unwrap_or_default();
                let new: Vec<usize> = map
                    .iter()
                    .zip(rank.map.1.iter())
                    .map(|(to, from)| {
                        to[number].iter().filter(|e| !from[number].contains(e)).count()
                    })
                    .collect();
                if new.iter().any(|new| *new > self.shape.spare) {
                    409
                } else {
                    let mb = self.shape.expert_mb * new.iter().sum::<usize>() as f64;
                    let secs = mb * 8.0 / self.shape.link_mbps;
                    let done_at = Instant::now() + Duration::from_secs_f64(secs);
                    (rank.newest_version, rank.prepared) = (version, None);
                    rank.copying = Some((version, Arc::new(map), done_at));
                    202
                }
            }
            "arm" if rank.armed == Some((version, step)) => 200,
            "arm" if rank.prepared.as_ref().is_none_or(|(v, _)| *v != version) => 409,
            "arm" if step <= begun => 409,
            "arm" => {
                (rank.armed, rank.is_copy_due) = (Some((version, step)), true);
                200
            }
            "disarm" if rank.map.0 == version => 409,
            "disarm" => {
                rank.armed = rank.armed.filter(|(armed, _)| *armed != version);
                200
            }
            "hold" if rank.held == Some(step) => 200,
            "hold" if step <= begun || rank.held.is_some() => 409,
            "hold" => {
                rank.held = Some(step);
                200
            }
            "go" => {
                rank.held = rank.held.filter(|held| *held != step);
                200
            }
            _ => 400,
        };
        if status < 300 {
            rank.seq += 1;
        }
        state.log(format!(
            "rank {number} order {operation} version {version} step {step}: {status} (pass {begun})"
        ));
        (status, "{}".into())
    }
}

/// Whether a second copy may follow an answer of `rank` at this time.
fn is_faulty(rank: usize, ranks: usize, trouble: &Trouble, at: Duration) -> bool {
    let period = (at.as_secs_f64() / trouble.period.as_secs_f64()) as usize;
    let into = at.as_secs_f64() - period as f64 * trouble.period.as_secs_f64();
    let faulty = (ranks as f64 * trouble.share) as usize;
    into < trouble.duration.as_secs_f64() && (rank + 7 * period) % ranks < faulty
}

fn finish_copy(rank: &mut Rank) {
    let done = rank.copying.take_if(|(_, _, done_at)| *done_at <= Instant::now());
    if let Some((version, map, _)) = done {
        rank.prepared = Some((version, map));
    }
}

fn parse_map(map: &Json) -> Vec<Vec<Vec<u16>>> {
    let experts =
        |rank: &Json| rank.list().iter().filter_map(Json::number).map(|e| e as u16).collect();
    map.list().iter().map(|set| set.list().iter().map(experts).collect()).collect()
}

/// Exchanges the popularity of a share of the experts.
fn shuffle(set: &mut [f64], share: f64, random: &mut Random) {
    for at in 0..set.len() {
        if random.unit() < share {
            let other = random.below(set.len());
            set.swap(at, other);
        }
    }
}
