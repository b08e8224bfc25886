//! Demo of knapweedford: takes an availability zone out and in again while clients send requests.

use std::{net, path, process, thread, time};

use anyhow::Context;

mod call;
mod load;
mod site;

/// Path of the configuration that the demo applies.
const CONFIG_PATH: &str = "examples/demo.yaml";
/// Zone that is taken out and in again.
const ZONE: &str = "riga-imanta";
/// Number of clients that stream completions.
const STREAM_CLIENTS: usize = 12;
/// Number of clients that post payments.
const PAYMENT_CLIENTS: usize = 4;
/// Duration of each phase of the demo.
const PHASE: time::Duration = time::Duration::from_secs(4);
/// Time after which a zone that was taken out must not receive new requests.
const ZONE_OUT_DELAY: time::Duration = time::Duration::from_secs(3);
/// Exit code after a signal.
const EXIT_INTERRUPTED: i32 = 130;

fn main() -> process::ExitCode {
    let children = site::Children::default();
    let result = handle_signals(children.clone()).and_then(|()| run(children));
    match result {
        Ok(()) => {
            println!("All answers were complete and correct.");
            process::ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("demo: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

/// Ends all child processes when the demo receives a signal.
fn handle_signals(children: site::Children) -> anyhow::Result<()> {
    use signal_hook::{consts, iterator};
    let mut signals = iterator::Signals::new([consts::SIGINT, consts::SIGTERM, consts::SIGHUP])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            children.exit(EXIT_INTERRUPTED);
        }
    });
    Ok(())
}

fn run(children: site::Children) -> anyhow::Result<()> {
    println!("Starting a platform, backend servers with a sidecar each, and two entries.");
    let site = site::Site::start(path::Path::new(CONFIG_PATH), children)?;
    for server in &site.servers {
        println!("  {} in {}", server.name, server.zone);
    }
    site.apply()?;
    println!(
        "{STREAM_CLIENTS} clients start to stream completions, {PAYMENT_CLIENTS} to post payments."
    );
    let load = load::Load::start(&site.client_addresses(), STREAM_CLIENTS, PAYMENT_CLIENTS);
    let zone = take_zone_out_and_in(&site);
    let sent = load.stop();
    let answers = check_answers(&site, &sent);
    zone.and(answers)
}

/// Takes the zone out and in again; fails if it receives requests while out or none afterwards.
fn take_zone_out_and_in(site: &site::Site) -> anyhow::Result<()> {
    site::wait_until("requests in the zone", || (count_runs(site, ZONE).ok()? > 0).then_some(()))?;
    thread::sleep(PHASE);
    println!("{ZONE} has received {} requests so far.", count_runs(site, ZONE)?);
    site.run_tool(&["zone", "out", ZONE])?;
    thread::sleep(ZONE_OUT_DELAY);
    let before = count_runs(site, ZONE)?;
    thread::sleep(PHASE);
    let while_out = count_runs(site, ZONE)? - before;
    println!("While out, {ZONE} received {while_out} new requests in {} s.", PHASE.as_secs());
    site.run_tool(&["status"])?;
    site.run_tool(&["zone", "in", ZONE])?;
    site::wait_until("requests in the zone after its return", || {
        (count_runs(site, ZONE).ok()? > before + while_out).then_some(())
    })?;
    thread::sleep(PHASE);
    let after = count_runs(site, ZONE)? - before - while_out;
    println!("Back in service, {ZONE} received {after} new requests.");
    anyhow::ensure!(while_out == 0, "a zone that is out received new requests");
    Ok(())
}

/// Returns how many requests the backend servers of `zone` have started to run.
fn count_runs(site: &site::Site, zone: &str) -> anyhow::Result<u64> {
    let servers = site.servers.iter().filter(|server| server.zone.as_str() == zone);
    servers.map(|server| sum_runs(&fetch_counts(server.address)?)).sum()
}

fn fetch_counts(at: net::SocketAddr) -> anyhow::Result<serde_json::Value> {
    Ok(serde_json::from_slice(&call::get(at, "/counts")?.body)?)
}

fn sum_runs(counts: &serde_json::Value) -> anyhow::Result<u64> {
    let requests = counts["requests"].as_object().context("the counts have no field `requests`")?;
    let runs = |run: &serde_json::Value| run.as_u64().or_else(|| run["runs"].as_u64());
    requests.values().map(|run| runs(run).context("a request has no count of runs")).sum()
}

/// Prints what the clients received; fails unless each answer was complete and correct.
fn check_answers(site: &site::Site, sent: &[load::SentRequest]) -> anyhow::Result<()> {
    let reference = site.start_reference_engine()?;
    let mut all_errors = Vec::new();
    for kind in [load::Kind::Stream, load::Kind::Payment] {
        let requests: Vec<_> = sent.iter().filter(|sent| sent.kind == kind).collect();
        let errors: Vec<_> =
            requests.iter().filter_map(|sent| find_error(site, reference, sent)).collect();
        let refusals: usize = requests.iter().map(|sent| sent.refusals).sum();
        let name = match kind {
            load::Kind::Stream => "streams",
            load::Kind::Payment => "payments, which may run at most once",
        };
        println!(
            "{} {name}: {} answered completely and correctly; {refusals} refusals of requests \
             that had not run, each retried after its Retry-After.",
            requests.len(),
            requests.len() - errors.len(),
        );
        anyhow::ensure!(!requests.is_empty(), "no requests were sent");
        all_errors.extend(errors);
    }
    all_errors.iter().for_each(|error| eprintln!("  {error}"));
    anyhow::ensure!(
        all_errors.is_empty(),
        "{} requests were not answered correctly",
        all_errors.len()
    );
    Ok(())
}

/// Returns what is wrong with an answer, or `None` if it is correct.
fn find_error(
    site: &site::Site,
    reference: net::SocketAddr,
    sent: &load::SentRequest,
) -> Option<String> {
    let load::SentRequest { name, answer, .. } = sent;
    match (answer, sent.kind) {
        (Err(err), _) => Some(format!("{name}: {err}")),
        (Ok(body), load::Kind::Stream) => match load::stream_completion(reference, "", name) {
            Ok(expected) if expected.complete && expected.body == *body => None,
            _ => Some(format!("{name}: the stream differs from the answer of an engine")),
        },
        (Ok(_), load::Kind::Payment) => match payment_runs(site, name) {
            Ok(1) => None,
            Ok(runs) => Some(format!("{name}: ran {runs} times")),
            Err(err) => Some(format!("{name}: {err:#}")),
        },
    }
}

/// Returns how often the payment `key` ran, summed over all plain servers.
fn payment_runs(site: &site::Site, key: &str) -> anyhow::Result<u64> {
    let plains = site.servers.iter().filter(|server| !server.is_engine);
    plains.map(|plain| Ok(fetch_counts(plain.address)?["runs"][key].as_u64().unwrap_or(0))).sum()
}
