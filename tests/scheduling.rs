//! Queue, routing and ejection of one entry together, and retries through processes.

use std::time::{self, Duration};

use knapweedford::{
    config, name,
    policy::{prefix, scheduler},
    wire,
};

use crate::{
    load,
    processes::{self, Plan, Site},
};

type Dispatch = scheduler::Dispatch<u32>;

/// One entry before servers `s0`, `s1`, ... that each take [`LIMIT`] requests.
struct Bench {
    scheduler: scheduler::Scheduler<u32>,
    now: Duration,
}

const LIMIT: u32 = 4;
const COST: u64 = 100;
const LEFT: Duration = Duration::from_secs(10);

impl Bench {
    fn new(servers: u32) -> Self {
        let (host, zone) = ("entry-1".into(), "z".into());
        let limits = config::Limits { queue_per_entry: 1000, ..Default::default() };
        let mut scheduler = scheduler::Scheduler::new(&host, &zone, &limits, 5);
        let now = Duration::from_secs(100);
        for at in 0..servers {
            scheduler.candidates_mut().add(&server(at), &zone);
            scheduler.candidates_mut().record_load(&server(at), &load(0), now);
        }
        Self { scheduler, now }
    }

    fn job(&self, workspace: &str, value: u32) -> scheduler::Job<u32> {
        scheduler::Job {
            id: wire::RequestId(value.into()),
            workspace: workspace.into(),
            weight: 1,
            priority: config::Priority::Interactive,
            cost: COST,
            arrived_at: self.now,
            deadline: self.now + LEFT,
            prefix: prefix::PrefixKeys::default(),
            tried: Vec::new(),
            submission: scheduler::Submission::New,
            request: value,
        }
    }

    fn push(&mut self, workspace: &str, value: u32) -> Option<scheduler::Cause> {
        let job = self.job(workspace, value);
        self.scheduler.push(job, self.now).map(|refused| refused.cause)
    }

    fn sent(&mut self) -> Option<(u32, scheduler::Ticket)> {
        match self.scheduler.dispatch_next(self.now)? {
            Dispatch::Send(value, ticket, _) => Some((value, ticket)),
            Dispatch::Refuse(refused) => panic!("{refused:?}"),
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// Sends one request, which breaks off; gives the server.
    fn breaks(&mut self) -> name::Server {
        assert_eq!(self.push("w", 1), None);
        let (_, ticket) = self.sent().unwrap();
        self.scheduler.record_failure(&ticket, self.now);
        ticket.server
    }
}

fn server(at: u32) -> name::Server {
    name::Server::new(format!("s{at}"))
}

fn load(in_flight: u32) -> wire::Load {
    wire::Load { incarnation: 1, in_flight, limit: LIMIT, warm: true, ..wire::Load::default() }
}

#[test]
fn flood_spares_small() {
    let mut bench = Bench::new(2);
    let mut flying = Vec::new();
    let (mut flood, mut small, mut refused) = (0, 0, 0);
    for step in 0..200 {
        for value in 0..4 {
            refused += u32::from(bench.push("large", value).is_some());
        }
        if step % 10 == 0 {
            assert_eq!(bench.push("small", 100 + step), None, "a small workspace was refused");
        }
        refused += bench.scheduler.expire(bench.now).len() as u32;
        while let Some((value, ticket)) = bench.sent() {
            match value {
                100.. => small += 1,
                _ => flood += 1,
            }
            flying.push(ticket);
        }
        bench.wait(Duration::from_millis(100));
        for ticket in flying.extract_if(.., |ticket| bench.now >= ticket.dispatched_at + LEFT / 20)
        {
            bench.scheduler.record_completion(&ticket, &load(0), bench.now);
        }
    }
    assert_eq!(small, 20, "of 20 requests");
    assert!(flood > 200 && refused > 200, "{flood} sent, {refused} refused");
}

#[test]
fn ejected_returns() {
    let mut bench = Bench::new(3);
    let failing = bench.breaks();
    for _ in 0..4 {
        let ticket = scheduler::Ticket {
            server: failing.clone(),
            cost: COST,
            cost_ahead: 0,
            arrived_at: bench.now,
            dispatched_at: bench.now,
        };
        bench.scheduler.record_failure(&ticket, bench.now);
    }
    let goes = |bench: &mut Bench| {
        (0..2 * LIMIT).any(|_| {
            bench.push("w", 1);
            bench.sent().is_some_and(|(_, ticket)| ticket.server == failing)
        })
    };
    assert!(!goes(&mut bench), "a server that fails got work");
    bench.wait(Duration::from_secs(3));
    assert!(goes(&mut bench), "a server that was ejected gets no work any more");
}

#[test]
fn stall_forgotten() {
    let mut bench = Bench::new(1);
    for _ in 0..5 {
        bench.push("w", 1);
        let (_, ticket) = bench.sent().unwrap();
        bench.scheduler.record_admission(&ticket, &load(1), bench.now);
        bench.wait(LEFT * 3);
        bench.scheduler.record_completion(&ticket, &load(0), bench.now);
    }
    assert_eq!(bench.push("w", 1), None, "nothing is open, so nothing is known");
    let (_, ticket) = bench.sent().expect("one goes out to see");
    assert_eq!(bench.push("w", 2), Some(scheduler::Cause::Late));
    bench.scheduler.record_cancellation(&ticket, bench.now);
    assert_eq!(bench.push("w", 3), None);
    assert!(bench.sent().is_some());
}

#[test]
fn slow_tried_again() {
    let mut bench = Bench::new(2);
    bench.push("w", 1);
    let (_, slow) = bench.sent().unwrap();
    bench.wait(LEFT * 2);
    bench.scheduler.record_cancellation(&slow, bench.now);
    let mut open = Vec::new();
    let mut goes = |bench: &mut Bench| {
        (0..2 * LIMIT).any(|_| {
            bench.push("w", 1);
            let Some((_, ticket)) = bench.sent() else { return false };
            open.push(ticket.clone());
            ticket.server == slow.server
        })
    };
    let quick = if slow.server == server(0) { server(1) } else { server(0) };
    bench.scheduler.candidates_mut().record_load(&slow.server, &load(0), bench.now);
    bench.scheduler.candidates_mut().record_completion(&quick, COST, Duration::from_millis(100));
    bench.push("w", 1);
    let _ = bench.sent();
    assert!(!goes(&mut bench), "a server thought too slow got work");
    bench.wait(Duration::from_secs(11));
    assert!(goes(&mut bench), "a stall of long ago excludes it for ever");
}

#[test]
fn none_refused_now() {
    let mut bench = Bench::new(2);
    (0..2).for_each(|at| bench.scheduler.candidates_mut().set_allowed(&server(at), false));
    bench.push("w", 1);
    let step = bench.scheduler.dispatch_next(bench.now);
    assert!(matches!(step, Some(Dispatch::Refuse(refused)) if !refused.retry_after.is_zero()));
}

#[test]
fn begun_waits() {
    let mut bench = Bench::new(1);
    let job = bench.job("w", 7);
    let begun = scheduler::Job {
        submission: scheduler::Submission::Started,
        tried: vec![server(0)],
        ..job
    };
    bench.scheduler.push(begun, bench.now);
    assert!(bench.scheduler.dispatch_next(bench.now).is_none(), "at once back to where it broke");
    bench.wait(Duration::from_secs(6));
    assert!(bench.scheduler.expire(bench.now).is_empty(), "an answer under way was cut");
    assert_eq!(bench.sent().map(|(value, _)| value), Some(7));
}

#[test]
fn gone_forgotten() {
    let mut bench = Bench::new(1);
    (0..LIMIT + 2).for_each(|value| assert_eq!(bench.push("w", value), None));
    while bench.sent().is_some() {}
    assert_eq!(bench.scheduler.queue_len(), 2);
    bench.scheduler.remove_matching(|value| *value == LIMIT);
    assert_eq!(bench.scheduler.queue_len(), 1);
}

const ENGINES: Plan =
    Plan { entries: 1, engines: 4, engine: &[], plains: 0, plain: &[], lag_ms: 200 };

fn totals(site: &Site) -> Vec<u64> {
    (0..site.engines.len()).map(|at| site.total(at)).collect()
}

/// Loads the site until the entry has heard that every server takes some.
fn warm(site: &Site) {
    let load = load::Load::streams(32, &[site.entries[0].process.at], 4);
    processes::until("all take some", || {
        let dump = site.entries[0].dump()?;
        let servers = dump["services"]["writer"]["servers"].as_object()?.clone();
        servers.values().all(|server| server["limit"].as_u64() >= Some(4)).then_some(())
    });
    load.stop();
}

#[test]
fn prefix_stays() {
    let site = Site::start(&ENGINES);
    warm(&site);
    let mut used = std::collections::BTreeSet::new();
    for story in 0..6 {
        let prompt = format!("story {story} ").repeat(200);
        let before = totals(&site);
        for turn in 0..8 {
            assert!(site.stream(0, &format!("{prompt} turn {turn}"), 2).whole());
        }
        let grown: Vec<_> =
            totals(&site).iter().zip(&before).map(|(now, then)| now - then).collect();
        assert_eq!(grown.iter().filter(|grown| **grown > 0).count(), 1, "{grown:?}");
        used.insert(grown);
    }
    assert!(used.len() > 1, "all prefixes are at one engine: {used:?}");
    let dump = site.entries[0].dump().unwrap();
    let recent = dump["services"]["writer"]["recent"].as_array().unwrap();
    let why =
        |routed: &&serde_json::Value| routed["decision"]["outcome"]["send"]["why"] == "prefix";
    assert!(recent.iter().filter(why).count() >= 42, "the dump does not say why: {recent:?}");
}

#[test]
fn no_storm() {
    let site = Site::start(&ENGINES);
    site.engines.iter().for_each(|engine| engine.faults(r#"{"cut":0}"#));
    let began = time::Instant::now();
    const CALLS: u64 = 100;
    for at in 0..CALLS {
        assert!(!site.stream(0, &format!("call {at}"), 10).whole());
    }
    let runs: u64 = totals(&site).iter().sum();
    let budget = 20 + CALLS / 10 + began.elapsed().as_secs() + 1;
    assert!(runs >= CALLS / 2, "the service was given up on: {runs} runs");
    assert!(runs <= CALLS + budget, "{runs} runs of {CALLS} calls that all fail");
}
