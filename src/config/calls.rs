//! Checks of the calls that a service accepts.

use super::{Call, check};
use crate::yaml::{Findings, Node};

/// HTTP methods that a call may have.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum length of a path prefix, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// Checks `calls` of the service at `key_path` in the tree `node`.
pub fn check(calls: &[Call], key_path: &[&str], node: &Node, findings: &mut Findings) {
    if calls.is_empty() {
        let mark = node.mark_at(&[key_path, &["calls"]].concat());
        findings.add(
            mark,
            "The service accepts no calls",
            "List at least one call with its method and path",
        );
    }
    for (i, call) in calls.iter().enumerate() {
        let index = i.to_string();
        let key_path = [key_path, &["calls", &index]].concat();
        check_call(call, &key_path, node, findings);
        check_not_shadowed(call, &calls[..i], &key_path, node, findings);
    }
}

fn check_call(call: &Call, key_path: &[&str], node: &Node, findings: &mut Findings) {
    if !METHODS.contains(&call.method.as_str()) {
        let mark = node.mark_at(&[key_path, &["method"]].concat());
        let problem = format!("`{}` is not a supported HTTP method", call.method);
        findings.add(mark, problem, format!("Write one of {}", METHODS.join(", ")));
    }
    if !is_valid_path(&call.path) {
        let mark = node.mark_at(&[key_path, &["path"]].concat());
        let problem = format!("`{}` is not a valid path prefix", call.path);
        let remedy = format!(
            "Write a path that begins with `/`, in visible ASCII characters without `?` and `#`, \
             of at most {MAX_PATH_BYTES} bytes"
        );
        findings.add(mark, problem, remedy);
    }
    let deadline = [key_path, &["deadline-ms"]].concat();
    check::check_range(
        call.deadline_ms,
        MAX_DEADLINE_MS,
        "The deadline",
        &deadline,
        node,
        findings,
    );
}

fn is_valid_path(path: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    path.starts_with('/') && path.len() <= MAX_PATH_BYTES && path.bytes().all(is_allowed)
}

fn check_not_shadowed(
    call: &Call,
    earlier: &[Call],
    key_path: &[&str],
    node: &Node,
    findings: &mut Findings,
) {
    let covers =
        |other: &&Call| other.method == call.method && call.path.starts_with(other.path.as_str());
    if let Some(other) = earlier.iter().find(covers) {
        let mark = node.mark_at(&[key_path, &["path"]].concat());
        let problem = format!(
            "{} {} never applies because {} precedes it",
            call.method, call.path, other.path
        );
        findings.add(mark, problem, "Put the longer path prefix first, or remove one of the two");
    }
}
