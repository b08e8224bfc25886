//! Shows the whole path at work: a zone leaves and returns while callers are on the line.

use std::{net, path, process, thread, time};

use anyhow::Context;

mod call;
mod load;
mod site;

/// The text that is put in force.
const TEXT: &str = "examples/demo.yaml";
/// The zone that leaves and returns.
const ZONE: &str = "riga-imanta";
/// Callers that stream.
const STREAMS: usize = 12;
/// Callers that post.
const POSTINGS: usize = 4;
/// Length of each part of the demo.
const PART: time::Duration = time::Duration::from_secs(4);
/// Time in which a zone that was taken out ceases to receive new work.
const LEAVING: time::Duration = time::Duration::from_secs(3);
/// Exit code after a signal.
const INTERRUPTED: i32 = 130;

fn main() -> process::ExitCode {
    let children = site::Children::default();
    let ended = on_signal(children.clone()).and_then(|()| run(children));
    match ended {
        Ok(()) => {
            println!("Every answer was whole.");
            process::ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("demo: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

/// Ends the children when the demo is interrupted.
fn on_signal(children: site::Children) -> anyhow::Result<()> {
    use signal_hook::{consts, iterator};
    let mut signals = iterator::Signals::new([consts::SIGINT, consts::SIGTERM, consts::SIGHUP])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            children.exit(INTERRUPTED);
        }
    });
    Ok(())
}

fn run(children: site::Children) -> anyhow::Result<()> {
    println!("Starting a platform, backend servers, their sidecars and two entries.");
    let site = site::Site::start(path::Path::new(TEXT), children)?;
    for server in &site.servers {
        println!("  {} in {}", server.name, server.zone);
    }
    site.apply()?;
    println!("{STREAMS} callers stream and {POSTINGS} post payments from now on.");
    let load = load::Load::start(&site.callers(), STREAMS, POSTINGS);
    let zone = zone_trip(&site);
    let sent = load.stop();
    let answers = check(&site, &sent);
    zone.and(answers)
}

/// Takes the zone out and brings it back; fails if it gets work while out or none after.
fn zone_trip(site: &site::Site) -> anyhow::Result<()> {
    site::until("work in each zone", || (work(site, ZONE).ok()? > 0).then_some(()))?;
    thread::sleep(PART);
    println!("{ZONE} has received {} requests so far.", work(site, ZONE)?);
    site.tool(&["zone", "out", ZONE])?;
    thread::sleep(LEAVING);
    let before = work(site, ZONE)?;
    thread::sleep(PART);
    let while_out = work(site, ZONE)? - before;
    println!("While out, {ZONE} received {while_out} new requests in {} s.", PART.as_secs());
    site.tool(&["status"])?;
    site.tool(&["zone", "in", ZONE])?;
    site::until("work in the zone after its return", || {
        (work(site, ZONE).ok()? > before + while_out).then_some(())
    })?;
    thread::sleep(PART);
    let after = work(site, ZONE)? - before - while_out;
    println!("Back in service, {ZONE} received {after} new requests.");
    anyhow::ensure!(while_out == 0, "a zone that is out got new work");
    Ok(())
}

/// Requests that the backend servers of `zone` have begun.
fn work(site: &site::Site, zone: &str) -> anyhow::Result<u64> {
    let servers = site.servers.iter().filter(|server| server.zone.as_str() == zone);
    servers.map(|server| begun(&counts(server.at)?)).sum()
}

fn counts(at: net::SocketAddr) -> anyhow::Result<serde_json::Value> {
    Ok(serde_json::from_slice(&call::get(at, "/counts")?.body)?)
}

fn begun(counts: &serde_json::Value) -> anyhow::Result<u64> {
    let requests = counts["requests"].as_object().context("no requests counted")?;
    let runs = |run: &serde_json::Value| run.as_u64().or_else(|| run["runs"].as_u64());
    requests.values().map(|run| runs(run).context("no runs counted")).sum()
}

/// Prints what the callers received; fails unless each answer was whole and right.
fn check(site: &site::Site, sent: &[load::Sent]) -> anyhow::Result<()> {
    let spare = site.spare()?;
    let mut wrong = Vec::new();
    for what in [load::What::Stream, load::What::Posting] {
        let of: Vec<_> = sent.iter().filter(|sent| sent.what == what).collect();
        let faults: Vec<_> = of.iter().filter_map(|sent| fault(site, spare, sent)).collect();
        let refusals: usize = of.iter().map(|sent| sent.refusals).sum();
        let name = match what {
            load::What::Stream => "streams",
            load::What::Posting => "postings, which may run once only",
        };
        println!(
            "{} {name}: {} answered whole; {refusals} refusals said that nothing ran, \
             and the callers came back when told.",
            of.len(),
            of.len() - faults.len(),
        );
        anyhow::ensure!(!of.is_empty(), "nothing was sent");
        wrong.extend(faults);
    }
    wrong.iter().for_each(|fault| eprintln!("  {fault}"));
    anyhow::ensure!(wrong.is_empty(), "{} requests were not answered whole", wrong.len());
    Ok(())
}

/// What is wrong with an answer, if anything.
fn fault(site: &site::Site, spare: net::SocketAddr, sent: &load::Sent) -> Option<String> {
    let load::Sent { name, answer, .. } = sent;
    match (answer, sent.what) {
        (Err(err), _) => Some(format!("{name}: {err}")),
        (Ok(body), load::What::Stream) => match load::stream(spare, "", name) {
            Ok(right) if right.ended && right.body == *body => None,
            _ => Some(format!("{name}: the stream is not what an engine gives")),
        },
        (Ok(_), load::What::Posting) => match runs(site, name) {
            Ok(1) => None,
            Ok(runs) => Some(format!("{name}: ran {runs} times")),
            Err(err) => Some(format!("{name}: {err:#}")),
        },
    }
}

/// Runs of the posting `key` over all plain servers.
fn runs(site: &site::Site, key: &str) -> anyhow::Result<u64> {
    let plains = site.servers.iter().filter(|server| !server.engine);
    plains.map(|plain| Ok(counts(plain.at)?["runs"][key].as_u64().unwrap_or(0))).sum()
}
