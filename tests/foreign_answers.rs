//! Bytes of a faulty server in the form of an answer that names no request or has no seal. They are
//! not its answer, whatever their status, their framing and the connection that they arrive on.

use std::{fmt::Display, io::Write, net};

use crate::{
    gateways::{self, Gateway},
    raw_servers,
};

const PATHS: [(&str, &str); 3] = [("POST", "/once/"), ("GET", "/read/"), ("POST", "/stream/")];
const OTHER_METHODS: [(&str, &str); 4] =
    [("PUT", "/once/"), ("DELETE", "/once/"), ("PATCH", "/read/"), ("HEAD", "/read/")];
const FRAMINGS: [&str; 3] = ["length", "chunks", "close"];
const SUCCESSES: [u16; 4] = [200, 201, 203, 206];
const FAILURES: [u16; 6] = [400, 404, 421, 500, 503, 504];
const BODY: &str = "id: 1\ndata: body\n\n";

/// Starts a server that answers as the path of a request says: `KIND/STATUS/FRAMING/IDENTITY`, with
/// the headers that name the request and seal the answer. Other requests get a sound answer.
fn start_server() -> net::SocketAddr {
    raw_servers::start(|req, conn| {
        let parts: Vec<&str> = req.path().split('/').skip(2).collect();
        let (status, framing, identity) = match parts[..] {
            [status, framing, identity] => (status, framing, identity),
            _ => ("200", "length", "sound"),
        };
        let id = format!("X-Knapweedford-Request-Id: {}\r\n", req.id());
        let seal = "X-Knapweedford-Response-Seal: seal\r\n";
        let identity = match identity {
            "none" => String::new(),
            "id" => id,
            "seal" => seal.into(),
            "two-ids" => format!("{id}X-Knapweedford-Request-Id: id-other\r\n{seal}"),
            "two-seals" => format!("{id}{seal}{seal}"),
            "gzip" => format!("{id}{seal}Content-Encoding: gzip\r\n"),
            "gzip-transfer" => format!("{id}{seal}Transfer-Encoding: gzip\r\n"),
            "empty-seal" => format!("{id}X-Knapweedford-Response-Seal: \r\n"),
            _ => id + seal,
        };
        let first = if status == "informed" { "HTTP/1.1 103 Early Hints\r\n\r\n" } else { "" };
        let status = if status == "informed" { "200" } else { status };
        let kind = if req.streams() { "text/event-stream" } else { "text/plain" };
        let head = format!("{first}HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n{identity}");
        let answer = match framing {
            "length" => format!("{head}Content-Length: {}\r\n\r\n{BODY}", BODY.len()),
            "chunks" => format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{BODY}\r\n0\r\n\r\n",
                BODY.len()
            ),
            _ => format!("{head}\r\n{BODY}"),
        };
        // The gateway closes its connection once it has read what it does not accept.
        conn.write_all(answer.as_bytes()).is_ok() && framing != "close"
    })
}

/// Sends a request that gets a sound answer, so that a connection is kept and the server in use.
fn keep_connection(gateway: &Gateway) {
    let answer = gateways::send(gateway.process.address, "GET", "/read/sound", "id-sound");
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Sends all requests whose answer has a status of `statuses` and this `identity`; returns those
/// answers that `is_expected` does not accept.
fn unexpected_answers<S: Copy + Display>(
    gateway: &Gateway,
    statuses: &[S],
    identity: &str,
    is_expected: impl Fn(S, &gateways::Answer) -> bool,
) -> Vec<String> {
    let mut unexpected = Vec::new();
    for (method, kind) in PATHS.into_iter().chain(OTHER_METHODS) {
        for status in statuses {
            for framing in FRAMINGS {
                keep_connection(gateway);
                let path = format!("{kind}{status}/{framing}/{identity}");
                let mut answer = gateways::send(gateway.process.address, method, &path, "id-1");
                // The answer to HEAD has no body.
                if method == "HEAD" && answer.status != 502 {
                    assert_eq!(answer.body.as_deref(), Ok(""), "{path}");
                    answer.body = Ok(BODY.into());
                }
                if !is_expected(*status, &answer) {
                    unexpected.push(format!("{method} {path}: {answer:?}"));
                }
            }
        }
    }
    unexpected
}

fn is_own_failure<S>(_: S, answer: &gateways::Answer) -> bool {
    answer.status == 502 && !answer.body.as_deref().is_ok_and(|body| body.contains("body"))
}

/// Guards against a success for a client whose request has no answer: wrong bytes with a successful
/// status, with and without the request's id.
#[test]
fn unsealed_successes() {
    let gateway = raw_servers::start_gateway(&[start_server()]);
    for identity in ["none", "id", "seal", "two-ids", "two-seals", "empty-seal"] {
        let unexpected = unexpected_answers(&gateway, &SUCCESSES, identity, is_own_failure);
        assert!(unexpected.is_empty(), "{identity}: {unexpected:#?}");
    }
}

/// Guards against wrong bytes as the failure of a request, and against a status 421 that sends a
/// request which may have run to another server.
#[test]
fn unnamed_failures() {
    let gateway = raw_servers::start_gateway(&[start_server()]);
    for identity in ["none", "seal", "two-ids"] {
        let unexpected = unexpected_answers(&gateway, &FAILURES, identity, is_own_failure);
        assert!(unexpected.is_empty(), "{identity}: {unexpected:#?}");
    }
}

/// Guards against an encoded body, which no client asks for, as the body of the server's answer.
#[test]
fn encoded_bodies() {
    let gateway = raw_servers::start_gateway(&[start_server()]);
    for identity in ["gzip", "gzip-transfer"] {
        for statuses in [&SUCCESSES[..], &[404, 500]] {
            let unexpected = unexpected_answers(&gateway, statuses, identity, is_own_failure);
            assert!(unexpected.is_empty(), "{identity}: {unexpected:#?}");
        }
    }
}

/// Guards against an answer for a client whose status is none of a final answer, or no status at all.
#[test]
fn impossible_statuses() {
    let gateway = raw_servers::start_gateway(&[start_server()]);
    let no_numbers = ["000", "001", "099", "00", "0", "20", "2000", "-01", "+20", "2x0", "%20"];
    let not_final = ["100", "101", "102", "103", "199", "600", "601", "799", "999"];
    for statuses in [&no_numbers[..], &not_final] {
        for identity in ["sound", "none"] {
            let unexpected = unexpected_answers(&gateway, statuses, identity, is_own_failure);
            assert!(unexpected.is_empty(), "{identity}: {unexpected:#?}");
        }
    }
}

/// A safe request and a stream are answered by another server instead.
#[test]
fn answered_elsewhere() {
    let sound = gateways::Server::start("i-1");
    let gateway = raw_servers::start_gateway(&[start_server(), sound.addr]);
    for identity in ["none", "id", "seal"] {
        let is_sound = |_, answer: &gateways::Answer| {
            answer.headers.get("x-knapweedford-response-seal").is_some_and(|s| s == "seal-i-1")
        };
        for (method, kind) in &PATHS[1..] {
            let path = format!("{kind}200/length/{identity}");
            let answers = (0..8).map(|n| {
                gateways::send(gateway.process.address, method, &path, &format!("id-{n}"))
            });
            let answers: Vec<_> = answers.collect();
            assert!(answers.iter().all(|answer| is_sound(0, answer)), "{path}: {answers:#?}");
        }
    }
}

/// Sound answers arrive unchanged, failures also without a seal.
#[test]
fn sound_answers() {
    let gateway = raw_servers::start_gateway(&[start_server()]);
    let is_unchanged = |status, answer: &gateways::Answer| {
        answer.status == status && answer.body.as_deref() == Ok(BODY)
    };
    let unexpected = unexpected_answers(&gateway, &SUCCESSES, "sound", is_unchanged);
    assert!(unexpected.is_empty(), "{unexpected:#?}");
    let is_success = |_, answer: &gateways::Answer| is_unchanged(200, answer);
    let unexpected = unexpected_answers(&gateway, &["informed"], "sound", is_success);
    assert!(unexpected.is_empty(), "{unexpected:#?}");
    let forwarded = [400, 404, 500, 504];
    for identity in ["sound", "id"] {
        let unexpected = unexpected_answers(&gateway, &forwarded, identity, is_unchanged);
        assert!(unexpected.is_empty(), "{identity}: {unexpected:#?}");
    }
}
