//! Checks of the calls that a service takes.

use super::{Call, check};
use crate::yaml::{Findings, Node};

/// Methods that a call may have.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Longest deadline, in milliseconds.
const DEADLINE_MS: u64 = 3_600_000;

/// Longest path prefix, in bytes.
const PATH_BYTES: usize = 256;

/// Checks `calls` of the service at `place`.
pub fn check(calls: &[Call], place: &[&str], node: &Node, out: &mut Findings) {
    if calls.is_empty() {
        let at = node.mark_at(&[place, &["calls"]].concat());
        out.add(at, "The service takes no call", "List at least one call with its method and path");
    }
    for (i, call) in calls.iter().enumerate() {
        let index = i.to_string();
        let place = [place, &["calls", &index]].concat();
        one(call, &place, node, out);
        shadowed(call, &calls[..i], &place, node, out);
    }
}

fn one(call: &Call, place: &[&str], node: &Node, out: &mut Findings) {
    if !METHODS.contains(&call.method.as_str()) {
        let at = node.mark_at(&[place, &["method"]].concat());
        let problem = format!("`{}` is not a method that calls may have", call.method);
        out.add(at, problem, format!("Write one of {}", METHODS.join(", ")));
    }
    if !is_path(&call.path) {
        let at = node.mark_at(&[place, &["path"]].concat());
        let problem = format!("`{}` is not a path prefix", call.path);
        let remedy = format!(
            "Write a path from `/`, of visible ASCII without `?` or `#`, \
                              of at most {PATH_BYTES} bytes"
        );
        out.add(at, problem, remedy);
    }
    let deadline = [place, &["deadline-ms"]].concat();
    check::within(call.deadline_ms, DEADLINE_MS, "The deadline", &deadline, node, out);
}

fn is_path(path: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    path.starts_with('/') && path.len() <= PATH_BYTES && path.bytes().all(plain)
}

fn shadowed(call: &Call, before: &[Call], place: &[&str], node: &Node, out: &mut Findings) {
    let covers =
        |had: &&Call| had.method == call.method && call.path.starts_with(had.path.as_str());
    if let Some(had) = before.iter().find(covers) {
        let at = node.mark_at(&[place, &["path"]].concat());
        let problem = format!(
            "{} {} never applies, since {} stands before it",
            call.method, call.path, had.path
        );
        out.add(at, problem, "Put the longer path prefix first, or remove one of the two");
    }
}
