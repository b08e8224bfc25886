//! Agreement on the configuration, on zones taken out and brought back, and on membership, under
//! virtual time.
//!
//! The tests guard against orders that are lost, silently replaced or undone by older state, and
//! against processes that miss a change, with lost messages, deaths, pauses, partitions and outages
//! of the platform's table; also against more messages or reads than the platform can bear.

use std::{net::SocketAddr, time::Duration};

use knapweedford::{
    agree::change::{Order, Outcome},
    agree::node::{Input, Node, Output, TICK},
    agree::record::Record,
    wire::gossip::{Body, Digest, Health, Message},
};

use crate::{
    cluster,
    site::{Site, address, apply_order, host, ms, secs, zone_target},
};

fn committed(outcome: Option<&Outcome>) -> u64 {
    match outcome {
        Some(Outcome::Committed { version }) => *version,
        other => panic!("not committed: {other:?}"),
    }
}

#[test]
fn change_spreads() {
    let mut site = Site::settled(60);
    site.submit_order(5, 2, apply_order("two"));
    site.run(secs(4));
    assert_eq!(committed(site.answer(2)), 2);
    assert_eq!(site.versions(), [2].into());
}

#[test]
fn spreads_despite_loss() {
    let mut site = Site::settled(60);
    site.message_loss = 0.3;
    site.submit_order(5, 2, apply_order("two"));
    site.run(secs(4));
    assert_eq!(site.versions(), [2].into());
}

#[test]
fn one_operator_wins() {
    let mut site = Site::settled(12);
    site.submit_order(3, 2, apply_order("one\nleft"));
    site.submit_order(4, 3, apply_order("one\nright"));
    site.run(secs(4));
    let answers = [site.answer(2).unwrap().clone(), site.answer(3).unwrap().clone()];
    let committed_count = answers.iter().filter(|a| matches!(a, Outcome::Committed { .. })).count();
    assert_eq!(committed_count, 1);
    let Some(Outcome::Conflict { difference, remedy, .. }) =
        answers.iter().find(|a| matches!(a, Outcome::Conflict { .. }))
    else {
        panic!("no order was in conflict: {answers:?}")
    };
    let now = &site.node(0).record().text;
    let (won, lost) = if now.contains("left") { ("left", "right") } else { ("right", "left") };
    assert_eq!(*difference, [format!("- {won}"), format!("+ {lost}")]);
    assert!(remedy.contains("version 2"), "{remedy}");
}

#[test]
fn race_at_one_process() {
    let mut site = Site::settled(6);
    site.submit_order(3, 2, apply_order("one\nleft"));
    site.submit_order(3, 3, apply_order("one\nright"));
    site.run(secs(4));
    assert_eq!(committed(site.answer(2)), 2);
    let Some(Outcome::Conflict { difference, .. }) = site.answer(3) else {
        panic!("the later text silently replaced the earlier one: {:?}", site.answer(3))
    };
    assert_eq!(*difference, ["- left", "+ right"]);
}

#[test]
fn race_over_server_zones() {
    let text = |first: &str, second: &str| {
        cluster::TEXT.replace("zone: z1", &format!("zone: {first}")).replace(
            "  s2: {service: ledger-app, zone: z2}",
            &format!("  s2: {{service: ledger-app, zone: {second}}}"),
        )
    };
    let mut site = Site::settled(6);
    site.submit_order(0, 2, apply_order(&text("z1", "z2")));
    site.run(secs(2));
    site.submit_order(1, 3, apply_order(&text("z0", "z2")));
    site.run(secs(2));
    site.submit_order(2, 4, Order::Apply { text: text("z1", "z0"), base: Some(2) });
    site.run(secs(2));
    let Some(Outcome::Conflict { difference, .. }) = site.answer(4) else {
        panic!("the order was not in conflict")
    };
    assert_eq!(
        *difference,
        [r#"~ servers.s1.zone: "z0" -> "z1""#, r#"~ servers.s2.zone: "z2" -> "z0""#]
    );
}

#[test]
fn stale_base_conflicts() {
    let mut site = Site::settled(3);
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(2));
    site.submit_order(1, 3, Order::Apply { text: "three".into(), base: Some(1) });
    site.run(secs(2));
    assert!(matches!(site.answer(3), Some(Outcome::Conflict { version: 2, .. })));
}

#[test]
fn lost_answers_settled() {
    let mut site = Site::settled(6);
    site.platform.state().answer_loss = 0.7;
    for op in 2..12 {
        site.submit_order(op as usize % 6, op, apply_order(&format!("text {op}")));
        site.run(secs(8));
        assert_eq!(committed(site.answer(op)), op, "op {op}");
    }
    assert_eq!(site.versions(), [11].into());
}

#[test]
fn lost_writes_repeated() {
    let mut site = Site::settled(6);
    site.platform.state().write_loss = 0.7;
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(8));
    assert_eq!(committed(site.answer(2)), 2);
}

#[test]
fn apply_needs_table() {
    let mut site = Site::settled(3);
    site.platform.state().down = true;
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(3));
    assert!(matches!(site.answer(2), Some(Outcome::Unavailable { .. })));
    assert_eq!(site.versions(), [1].into());
}

#[test]
fn never_reverts() {
    let mut site = Site::settled(10);
    site.pause(9, secs(20));
    site.submit_order(1, 2, apply_order("two"));
    site.run(secs(3));
    site.kill(1);
    site.start(1);
    site.platform.state().down = true;
    site.run(secs(40));
    assert_eq!(site.versions(), [2].into());
    for process in &site.processes {
        let versions: Vec<u64> =
            process.adopted.iter().map(|(_, effective)| effective.committed.version).collect();
        assert!(versions.is_sorted(), "{versions:?}");
    }
}

#[test]
fn starts_during_outage() {
    let mut site = Site::settled(10);
    site.platform.state().down = true;
    site.kill(7);
    site.run(secs(10));
    site.start(7);
    site.run(secs(2));
    assert_eq!(site.node(7).record().version, 1);
    assert_eq!(site.node(7).members().len(), 10);
}

#[test]
fn isolated_process_polls() {
    let mut site = Site::settled(10);
    site.partition[4] = 1;
    site.run(secs(20));
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(12));
    assert_eq!(site.node(4).record().version, 2);
}

#[test]
fn lagging_process_listed() {
    let mut site = Site::settled(10);
    site.pause(6, secs(60));
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(2));
    site.handle_input(0, Input::Survey);
    site.run(secs(2));
    let status = site.node(0).status(site.now);
    let behind: Vec<_> = status.behind.iter().map(|behind| behind.host.clone()).collect();
    assert_eq!(behind, [host(6)]);
}

#[test]
fn out_during_outage() {
    let mut site = Site::settled(40);
    site.platform.state().down = true;
    site.submit_order(3, 2, Order::Out(zone_target("z1")));
    site.run(secs(2));
    assert!(site.is_out_everywhere("z1"));
    let Some(Outcome::NotDurable { held_by }) = site.answer(2) else {
        panic!("the order was answered as durable")
    };
    assert!(*held_by >= 3, "{held_by}");
    site.kill(3);
    site.run(secs(60));
    site.platform.state().down = false;
    site.run(secs(30));
    assert_eq!(site.versions(), [2].into());
    assert!(site.node(5).status(site.now).not_durable.is_empty());
    assert!(site.is_out_everywhere("z1"));
}

#[test]
fn one_holder_suffices() {
    let mut site = Site::settled(8);
    site.platform.state().down = true;
    site.submit_order(3, 2, Order::Out(zone_target("z1")));
    site.run(secs(2));
    (0..8).filter(|i| *i != 6).for_each(|i| site.kill(i));
    (0..8).filter(|i| *i != 6).for_each(|i| site.start(i));
    site.run(secs(5));
    assert!(site.is_out_everywhere("z1"));
}

#[test]
fn in_needs_table() {
    let mut site = Site::settled(8);
    site.submit_order(3, 2, Order::Out(zone_target("z1")));
    site.run(secs(2));
    assert_eq!(committed(site.answer(2)), 2);
    site.platform.state().down = true;
    site.submit_order(3, 3, Order::In(zone_target("z1")));
    site.run(secs(4));
    assert!(matches!(site.answer(3), Some(Outcome::Unavailable { .. })));
    assert!(site.is_out_everywhere("z1"));
    site.platform.state().down = false;
    site.submit_order(3, 4, Order::In(zone_target("z1")));
    site.run(secs(4));
    assert!(site.live_nodes().all(|node| node.effective().out().zones.is_empty()));
}

#[test]
fn settled_out_ignored() {
    let mut site = Site::settled(8);
    site.platform.state().down = true;
    site.submit_order(3, 2, Order::Out(zone_target("z1")));
    site.run(secs(2));
    site.pause(7, secs(120));
    site.platform.state().down = false;
    site.run(secs(20));
    site.submit_order(0, 3, Order::In(zone_target("z1")));
    site.run(secs(100));
    site.run(secs(20));
    assert!(site.live_nodes().all(|node| node.effective().out().zones.is_empty()));
    assert_eq!(site.node(7).record().version, 3);
}

#[test]
fn death_and_restart_seen() {
    let mut site = Site::settled(20);
    site.kill(4);
    site.run(secs(15));
    let health = |site: &Site| {
        let members = site.node(0).members();
        members.iter().find(|m| m.host == host(4)).map(|m| (m.health, m.boot))
    };
    assert_eq!(health(&site), Some((Health::Dead, 1)));
    site.start(4);
    site.run(secs(5));
    assert_eq!(health(&site), Some((Health::Alive, 2)));
}

#[test]
fn pause_is_not_restart() {
    let mut site = Site::settled(20);
    site.pause(4, secs(20));
    site.run(secs(18));
    site.run(secs(10));
    let members = site.node(0).members();
    let member = members.iter().find(|m| m.host == host(4)).unwrap();
    assert_eq!((member.health, member.boot), (Health::Alive, 1));
}

#[test]
fn rack_lost() {
    let mut site = Site::settled(120);
    let before: Vec<u64> = site.processes.iter().map(|p| p.cost.messages_sent).collect();
    (0..20).for_each(|i| site.kill(2 + i));
    site.run(secs(20));
    let dead = site.node(100).members().iter().filter(|m| m.health == Health::Dead).count();
    assert_eq!(dead, 20);
    let sent = |i: usize| site.processes[i].cost.messages_sent - before[i];
    let max_sent = (30..120).map(sent).max().unwrap();
    assert!(max_sent < 20 * 12, "{max_sent} messages from one process in 20 s");
}

#[test]
fn partition_heals() {
    let mut site = Site::settled(30);
    (15..30).for_each(|i| site.partition[i] = 1);
    site.run(secs(120));
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(100));
    assert_eq!(site.versions(), [2].into());
    site.partition.fill(0);
    site.run(secs(40));
    let alive_count = |node: &knapweedford::agree::Node| {
        node.members().iter().filter(|m| m.health == Health::Alive).count()
    };
    assert!(site.live_nodes().all(|node| alive_count(node) == 30));
}

#[test]
fn leave_spreads() {
    let mut site = Site::settled(20);
    site.handle_input(4, Input::Leave);
    site.run(secs(2));
    let knows_leaving = |node: &knapweedford::agree::Node| {
        node.members().iter().any(|m| m.host == host(4) && m.leaving)
    };
    assert!(site.live_nodes().all(knows_leaving));
}

fn reads_per_second(site: &mut Site, time: Duration) -> Vec<u64> {
    (0..time.as_secs())
        .map(|_| {
            let before = site.platform.state().reads;
            site.run(secs(1));
            site.platform.state().reads - before
        })
        .collect()
}

#[test]
fn no_read_stampede() {
    let mut site = Site::settled(100);
    site.run(secs(60));
    let steady = reads_per_second(&mut site, secs(60)).into_iter().sum::<u64>() / 60;
    site.platform.state().down = true;
    site.run(secs(120));
    site.platform.state().down = false;
    let recovery = reads_per_second(&mut site, secs(30));
    let peak = recovery.windows(5).map(|w| w.iter().sum::<u64>() / 5).max().unwrap();
    assert!(peak <= 2 * steady.max(1), "steady reads per second {steady}, peak {peak}");
}

#[test]
fn hour_of_outage() {
    let mut site = Site::settled(30);
    let steady = reads_per_second(&mut site, secs(60)).into_iter().sum::<u64>() / 60;
    site.platform.state().down = true;
    site.submit_order(3, 2, Order::Out(zone_target("z1")));
    site.run(secs(3600));
    assert!(site.is_out_everywhere("z1"));
    assert_eq!(site.versions(), [1].into());
    site.platform.state().down = false;
    let recovery = reads_per_second(&mut site, secs(60));
    let peak = recovery.windows(5).map(|w| w.iter().sum::<u64>() / 5).max().unwrap();
    assert!(peak <= 2 * steady.max(1), "steady reads per second {steady}, peak {peak}");
    assert_eq!(site.versions(), [2].into());
    assert!(site.node(5).status(site.now).not_durable.is_empty());
    let members = site.node(5).members();
    assert!(members.iter().all(|member| member.health == Health::Alive), "{members:?}");
}

#[test]
fn unstable_table() {
    let mut site = Site::settled(12);
    site.submit_order(3, 2, Order::Out(zone_target("z1")));
    site.submit_order(4, 3, apply_order("two"));
    for i in 0..60 {
        site.platform.state().down = i % 2 == 0;
        site.run(ms(700));
    }
    site.platform.state().down = false;
    site.run(secs(60));
    assert!(site.is_out_everywhere("z1"));
    assert_eq!(site.versions().len(), 1);
    let text = site.node(0).record().text.clone();
    match site.answer(3) {
        Some(Outcome::Committed { .. }) => assert_eq!(text, "two"),
        Some(Outcome::Unavailable { .. }) => assert_eq!(text, "one"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn few_messages() {
    let mut site = Site::settled(60);
    let before: u64 = site.processes.iter().map(|p| p.cost.messages_sent).sum();
    site.run(secs(30));
    let sent = site.processes.iter().map(|p| p.cost.messages_sent).sum::<u64>() - before;
    assert!(sent <= 60 * 30 * 3, "{sent} messages");
    site.run(ms(1));
}

#[test]
fn late_configuration_ignored() {
    let mut site = Site::settled(4);
    let old = site.node(2).record().clone();
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(4));
    let message = Message {
        from: site.node(2).members()[2].clone(),
        digest: Digest { version: 1, ..Digest::default() },
        updates: Vec::new(),
        body: Body::Configuration(Box::new(old)),
    };
    site.handle_input(1, Input::Message(message));
    assert_eq!(site.node(1).record().version, 2);
    assert_eq!(site.node(1).effective().committed.text, "two");
}

#[test]
fn stale_table_ignored() {
    let mut site = Site::settled(4);
    let old = site.platform.state().rows.clone();
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(4));
    site.platform.state().rows = old;
    site.run(secs(60));
    assert_eq!(site.versions(), [2].into());
    for process in &site.processes {
        let versions: Vec<_> =
            process.adopted.iter().map(|(_, now)| now.committed.version).collect();
        assert!(versions.is_sorted(), "a process returned to an older version: {versions:?}");
    }
}

#[test]
fn call_announces_version() {
    let mut site = Site::settled(6);
    site.partition[5] = 1;
    site.submit_order(0, 2, apply_order("two"));
    site.run(secs(1));
    assert_eq!(site.node(5).record().version, 1);
    site.partition[5] = 0;
    site.handle_input(5, Input::VersionReceived { from: Some(address(0)), version: 2 });
    site.run(ms(100));
    assert_eq!(site.node(5).record().version, 2);
}

/// Runs `node` for `time` without any answer; returns its requests for the configuration as time
/// and recipient.
fn configuration_requests(
    node: &mut Node,
    from: Duration,
    time: Duration,
) -> Vec<(Duration, SocketAddr)> {
    let ticks = (0..time.as_millis() / TICK.as_millis()).map(|i| from + TICK * i as u32);
    let mut requests = Vec::new();
    for now in ticks {
        for output in node.handle(now, Input::Tick) {
            match output {
                Output::Send { to, message }
                    if matches!(message.body, Body::RequestConfiguration { .. }) =>
                {
                    requests.push((now, to))
                }
                _ => {}
            }
        }
    }
    requests
}

#[test]
fn requests_until_received() {
    let site = Site::settled(6);
    for from in [Some(address(0)), None] {
        let mut node = site.node(5).clone();
        node.handle(site.now, Input::VersionReceived { from, version: 2 });
        let requests = configuration_requests(&mut node, site.now + ms(100), secs(10));
        let mut times: Vec<_> = requests.iter().map(|(at, _)| *at).collect();
        times.insert(0, site.now);
        times.push(site.now + secs(10));
        let gap = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(gap <= secs(2), "no request for {gap:?}");
        assert!(from.is_none_or(|from| requests.iter().any(|(_, to)| *to == from)));
        assert!(requests.iter().any(|(_, to)| Some(*to) != from), "no request to another peer");
        assert!(requests.len() <= 30, "{} requests in 10 s", requests.len());
        let record = Record { version: 2, ..site.node(0).record().clone() };
        let message = Message {
            from: site.node(0).members()[0].clone(),
            digest: Digest { version: 2, ..Digest::default() },
            updates: Vec::new(),
            body: Body::Configuration(Box::new(record)),
        };
        node.handle(site.now + secs(10), Input::Message(message));
        assert!(configuration_requests(&mut node, site.now + secs(11), secs(10)).is_empty());
    }
}

#[test]
fn sent_to_older_only() {
    let site = Site::settled(4);
    let request = |version| Message {
        from: site.node(2).members()[2].clone(),
        digest: Digest { version, ..Digest::default() },
        updates: Vec::new(),
        body: Body::RequestConfiguration { full: false },
    };
    let count_sent = |version| {
        let outputs = site.node(1).clone().handle(site.now, Input::Message(request(version)));
        let is_configuration = |output: &&Output| {
            matches!(output, Output::Send { message, .. }
                if matches!(message.body, Body::Configuration(_)))
        };
        outputs.iter().filter(is_configuration).count()
    };
    assert_eq!((count_sent(0), count_sent(1)), (1, 0));
}
