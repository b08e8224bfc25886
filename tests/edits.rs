//! A changed configuration text spreads as an edit, and polls read the row only if it changed.
//!
//! The tests guard against control traffic that grows with the text: a text of a megabyte that
//! changes 1,300 times a day must not be sent or read in full by every process each time.

use std::{collections::BTreeSet, time::Duration};

use knapweedford::{
    agree::{change::Order, edit::Edit, node::Input, record::OrderId},
    wire::gossip::{Body, Digest, Message},
};

use crate::site::{Site, apply_order, host, secs};

/// Returns an order to apply a text of about a megabyte, in which one line contains `word`.
fn apply_long_text(word: &str) -> Order {
    let line = |i: u32| format!("# workspace-{i:05}: weight 2 and a note\n");
    let half: String = (0..12_500).map(line).collect();
    apply_order(&format!("{half}{word}\n{half}"))
}

/// Maximum control bytes per second at one process.
const MAX_CONTROL_BYTES_PER_S: u64 = 10_000;
/// Time between two changes at 1,300 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(66);

#[test]
fn text_spreads_as_edit() {
    let mut site = Site::settled(12);
    site.submit_order(0, 2, apply_long_text("one"));
    site.run(secs(10));
    site.count_cost = true;
    site.platform.state().read_bytes = 0;
    site.submit_order(0, 3, apply_long_text("twö"));
    site.run(CHANGE_INTERVAL);
    assert_eq!(site.versions(), [3].into());
    let texts: BTreeSet<_> = site.live_nodes().map(|node| node.record().text.clone()).collect();
    assert_eq!(texts.len(), 1);
    let max_bytes = site.processes.iter().map(|process| process.cost.bytes).max().unwrap();
    let limit = MAX_CONTROL_BYTES_PER_S * CHANGE_INTERVAL.as_secs();
    assert!(max_bytes <= limit, "{max_bytes} bytes at one process, over {limit}");
}

#[test]
fn polls_are_conditional() {
    let mut site = Site::settled(12);
    site.submit_order(0, 2, apply_long_text("one"));
    site.run(secs(120));
    site.platform.state().read_bytes = 0;
    site.run(secs(120));
    assert_eq!(site.platform.state().read_bytes, 0);
}

#[test]
fn tag_spreads_with_edit() {
    let mut site = Site::settled(12);
    site.submit_order(0, 2, apply_long_text("one"));
    site.run(secs(120));
    site.platform.state().read_bytes = 0;
    site.submit_order(0, 3, apply_long_text("two"));
    site.run(CHANGE_INTERVAL);
    let read = site.platform.state().read_bytes / 12;
    let limit = MAX_CONTROL_BYTES_PER_S * CHANGE_INTERVAL.as_secs();
    assert!(read <= limit, "{read} bytes read by each process, over {limit}");
}

#[test]
fn mismatched_edit_rejected() {
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
