//! Statuses of answers that are not successful. 408, 421, 429 and 503 tell a client that its request
//! has not run and will not, so that it may send the request again.

use crate::gateways::{Answer, Behavior, Site};

const ROUTES: [(&str, &str); 3] = [("POST", "/once/a"), ("POST", "/stream/a"), ("GET", "/read/a")];
const REFUSAL_STATUSES: [u16; 3] = [408, 429, 503];

fn assert_not_refused(answer: &Answer, case: &str) {
    assert_eq!(answer.status, 502, "{case}: {answer:?}");
    for header in ["x-knapweedford-response-seal", "retry-after"] {
        assert!(!answer.headers.contains_key(header), "{case}: {answer:?}");
    }
}

/// Guards against an answer which says that a request did not run, although a server ran it and then
/// failed with that status.
#[test]
fn failed_requests() {
    for status in REFUSAL_STATUSES {
        for (method, path) in ROUTES {
            let site = Site::start(1, false);
            site.servers[0].set_behavior(Behavior::FailWith(status));
            let answer = site.send(method, path, "id-1");
            assert_eq!(site.request_count(), 1);
            assert_not_refused(&answer, &format!("{status} to {method} {path}"));
        }
    }
}

/// Guards against such an answer when the retry fails too, or is refused.
#[test]
fn failed_retries() {
    for retried in [Behavior::FailWith(503), Behavior::FailWith(429), Behavior::RefuseWith(503)] {
        let site = Site::start(2, false);
        site.servers[0].set_behavior(Behavior::FailWith(503));
        site.servers[1].set_behavior(retried);
        for n in 0..6 {
            let id = format!("id-{n}");
            let answer = site.send("GET", "/read/a", &id);
            let requests = site.servers.iter().flat_map(|server| server.requests());
            let ran = requests
                .filter(|received| received.headers["x-knapweedford-request-id"] == id)
                .any(|received| received.ran);
            match ran {
                true => assert_not_refused(&answer, &format!("{retried:?}, request {n}")),
                false => assert_eq!(answer.status, 503, "{retried:?}, request {n}"),
            }
        }
    }
}

/// A request that may run twice is sent to another server after any of these failures.
#[test]
fn repeatable_requests() {
    for status in REFUSAL_STATUSES {
        let site = Site::start(2, false);
        site.servers[0].set_behavior(Behavior::FailWith(status));
        for n in 0..4 {
            let answer = site.send("GET", "/read/a", &format!("id-{n}"));
            assert_eq!(answer.status, 200, "after {status}: {answer:?}");
        }
    }
}

/// A refusal of a request that has not run, with any of these statuses, leads to another server, and
/// to status 503 if that one refuses it too.
#[test]
fn refused_requests() {
    for status in [408, 421, 429, 500, 503] {
        for (method, path) in ROUTES {
            let site = Site::start(2, false);
            site.servers.iter().for_each(|server| {
                server.set_behavior(Behavior::RefuseWith(status));
            });
            let answer = site.send(method, path, "id-1");
            assert_eq!(answer.status, 503, "{status} to {method} {path}: {answer:?}");
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
            assert_eq!(site.request_count(), 2, "{status} to {method} {path}");
        }
    }
}

/// All other failures reach the client as the server sent them.
#[test]
fn other_failures() {
    for status in [400, 404, 409, 413, 500, 501, 502, 504] {
        for (method, path) in ROUTES {
            let site = Site::start(1, false);
            site.servers[0].set_behavior(Behavior::FailWith(status));
            let answer = site.send(method, path, "id-1");
            assert_eq!((answer.status, answer.body.as_deref()), (status, Ok("failed")), "{path}");
            assert_eq!(answer.headers["x-knapweedford-response-seal"], "seal-i-0", "{path}");
        }
    }
}
