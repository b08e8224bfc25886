//! A changed text reaches the others as an edit, and is polled only if it changed.

use std::{collections::BTreeSet, time::Duration};

use knapweedford::{
    agree::{change::Order, edit::Edit, node::Input, record::OrderId},
    wire::gossip::{Body, Digest, Message},
};

use crate::site::{Site, apply_order, host, secs};

/// A text of about a megabyte, one line of which says `word`.
fn long(word: &str) -> Order {
    let line = |i: u32| format!("# workspace-{i:05}: weight 2 and a note\n");
    let half: String = (0..12_500).map(line).collect();
    apply_order(&format!("{half}{word}\n{half}"))
}

/// Most control bytes a second at one process.
const CONTROL_BYTES: u64 = 10_000;
/// Time between two changes at 1,300 a day.
const CHANGE_PERIOD: Duration = Duration::from_secs(66);

#[test]
fn edits_spread() {
    let mut site = Site::settled(12);
    site.submit_order(0, 2, long("one"));
    site.run(secs(10));
    site.count_cost = true;
    site.platform.state().read_bytes = 0;
    site.submit_order(0, 3, long("twö"));
    site.run(CHANGE_PERIOD);
    assert_eq!(site.versions(), [3].into());
    let texts: BTreeSet<_> = site.live_nodes().map(|node| node.record().text.clone()).collect();
    assert_eq!(texts.len(), 1);
    let most = site.processes.iter().map(|process| process.cost.bytes).max().unwrap();
    let limit = CONTROL_BYTES * CHANGE_PERIOD.as_secs();
    assert!(most <= limit, "{most} bytes at one process, over {limit}");
}

#[test]
fn polls_conditional() {
    let mut site = Site::settled(12);
    site.submit_order(0, 2, long("one"));
    site.run(secs(120));
    site.platform.state().read_bytes = 0;
    site.run(secs(120));
    assert_eq!(site.platform.state().read_bytes, 0);
}

#[test]
fn tag_travels() {
    let mut site = Site::settled(12);
    site.submit_order(0, 2, long("one"));
    site.run(secs(120));
    site.platform.state().read_bytes = 0;
    site.submit_order(0, 3, long("two"));
    site.run(CHANGE_PERIOD);
    let read = site.platform.state().read_bytes / 12;
    let limit = CONTROL_BYTES * CHANGE_PERIOD.as_secs();
    assert!(read <= limit, "{read} bytes read by each process, over {limit}");
}

#[test]
fn foreign_edit() {
    let mut site = Site::settled(4);
    let mut held = site.node(1).record().clone();
    held.text = "two".into();
    let next = held.apply(OrderId(9), &host(0), "twx");
    let edits = vec![Edit::between(&held, &next)];
    let rest = Box::new(next.without_text());
    let from = site.node(2).members()[2].clone();
    let body = Body::ConfigurationEdits { edits, rest };
    let digest = Digest { version: next.version, ..Digest::default() };
    let message = Message { from, digest, updates: Vec::new(), body };
    site.handle_input(1, Input::Message(message));
    assert_eq!(site.node(1).effective().committed.text, "one");
}
