//! Fuzzes what is parsed from outside: heads of requests and answers, events, rows of the registry and
//! the configuration.
//!
//! Guards against values that end a task or process, and against events that are lost or joined
//! where the bytes of a stream are cut.

use knapweedford::{
    http::events::EventSplitter,
    platform::{catalog, exchange, registry},
};
use proptest::{collection, prelude::*, sample};

use crate::{fuzz, gateways};

/// Numbers at the limits of their types, and texts that are none.
const NUMBERS: [&str; 22] = [
    "0",
    "-0",
    "1",
    "-1",
    "0.5",
    "1e-320",
    "1e30",
    "1e300",
    "1e308",
    "1e999",
    "-1e999",
    "NaN",
    "inf",
    "-inf",
    "4294967296",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999",
    "",
    " 7 ",
    "0x10",
];
const HEADERS: [&str; 13] = [
    "host",
    "api-key",
    "x-knapweedford-request-id",
    "x-knapweedford-deadline-ms",
    "x-knapweedford-token-usage",
    "x-knapweedford-prefix-hash",
    "x-knapweedford-not-executed",
    "x-knapweedford-response-seal",
    "retry-after",
    "server-limit",
    "server-leaving",
    "connection",
    "last-event-id",
];

/// Cases of each test in CI.
const CASES: u32 = 2_000;

fn header_value() -> impl Strategy<Value = Vec<u8>> {
    let number = sample::select(NUMBERS.to_vec());
    prop_oneof![
        number.clone().prop_map(|number| number.as_bytes().to_vec()),
        (number.clone(), number).prop_map(|(a, b)| format!("{a},{b}:{a},").into_bytes()),
        collection::vec(prop_oneof![32..127_u8, 128..=255_u8], 0..60),
        Just(b"id".to_vec()),
    ]
}

fn headers() -> impl Strategy<Value = hyper::HeaderMap> {
    let header = (sample::select(HEADERS.to_vec()), header_value());
    collection::vec(header, 0..16).prop_map(|headers| {
        let headers = headers.into_iter().filter_map(|(name, value)| {
            let value = hyper::header::HeaderValue::from_bytes(&value).ok()?;
            Some((hyper::header::HeaderName::from_static(name), value))
        });
        headers.collect()
    })
}

/// Changes one place of a JSON text: a number or text becomes something else, or bytes are removed.
fn changed_json(text: String) -> impl Strategy<Value = Vec<u8>> {
    let others = ["null", "[]", "{}", "true", "\"x\"", "[[[[[[[[]]]]]]]]"];
    let other: Vec<&str> = NUMBERS.into_iter().chain(others).collect();
    (any::<sample::Index>(), any::<sample::Index>(), sample::select(other)).prop_map(
        move |(at, length, other)| {
            let values: Vec<usize> =
                text.char_indices().filter_map(|(at, c)| (c == ':').then_some(at + 1)).collect();
            let start = values[at.index(values.len())];
            let end = text[start..].find([',', '}']).map_or(text.len(), |end| start + end);
            let end =
                if length.index(4) == 0 { (start + length.index(20)).min(text.len()) } else { end };
            format!("{}{other}{}", &text[..start], text.get(end..).unwrap_or_default()).into_bytes()
        },
    )
}

fn event() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => (0..1000_u32, "[a-z:\\r ]{0,30}").prop_map(|(id, data)| format!("id: {id}\ndata: {data}\n\n")),
        1 => "[a-z]{0,10}".prop_map(|comment| format!(": {comment}\n\n")),
        1 => "[a-z]{1,200}".prop_map(|data| format!("data: {data}\ndata: more\n\n")),
    ]
}

proptest! {
    #![proptest_config(fuzz::config(CASES))]

    #[test]
    fn request_heads(headers in headers(), target in "/[a-z?=%]{0,20}") {
        let mut req = hyper::Request::get(target).body(()).unwrap();
        *req.headers_mut() = headers;
        let (head, ()) = req.into_parts();
        if let Ok(info) = exchange::parse_request(&head) {
            prop_assert!(!info.id.is_empty());
            prop_assert!(info.deadline.is_none_or(|deadline| deadline.as_secs() <= 24 * 3600));
            // Deadlines are added to the time of arrival.
            let _ = tokio::time::Instant::now() + info.deadline.unwrap_or_default();
        }
    }

    #[test]
    fn answer_heads(headers in headers(), status in 100..1_000_u16, is_first in any::<bool>()) {
        let status = hyper::StatusCode::from_u16(status).unwrap();
        let kind = exchange::classify_answer(status, &headers, "id", is_first);
        let values = |name| headers.get_all(name).iter().map(hyper::header::HeaderValue::as_bytes);
        let names = values("x-knapweedford-request-id").collect::<Vec<_>>();
        let is_named = !names.is_empty() && names.iter().all(|name| *name == b"id");
        let states_not_run = headers.contains_key("x-knapweedford-not-executed");
        match kind {
            exchange::AnswerKind::Succeeded => {
                let seals: Vec<_> = values("x-knapweedford-response-seal").collect();
                prop_assert!(is_named && seals.len() == 1 && !seals[0].is_empty());
            }
            exchange::AnswerKind::Failed => prop_assert!(is_named && (300..600).contains(&status.as_u16())),
            exchange::AnswerKind::NotRun | exchange::AnswerKind::OtherServer => {
                prop_assert!(is_named || (names.is_empty() && is_first && states_not_run));
            }
            exchange::AnswerKind::Defective(_) => {
                let is_final = (200..600).contains(&status.as_u16());
                prop_assert!(!is_named || status.is_success() || !is_final);
            }
        }
        let notice = exchange::server_notice(status, &headers);
        prop_assert!(notice.pause.is_none_or(|pause| pause.as_secs() <= 60));
        prop_assert!(notice.limit_per_s.is_none_or(|limit| limit.is_finite() && limit >= 0.0));
    }

    #[test]
    fn registry_rows(data in changed_json(gateways::row(
        std::net::SocketAddr::from(([10, 0, 0, 1], 80)), "ready", 1,
        r#","group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":8"#,
    ))) {
        if let Ok(row) = registry::parse("i-1", &data) {
            prop_assert!(row.cold_remaining.as_secs() <= 3600);
        }
    }

    #[test]
    fn configurations(data in changed_json(crate::agents::config(1))) {
        if let Some(catalog) = catalog::parse(&data) {
            let now = tokio::time::Instant::now();
            for path in ["/stream/a", "/once/a", "/read/a"] {
                if let Some(route) = catalog.route(gateways::HOST, path) {
                    let _ = now + route.timeout + route.latency_target;
                }
            }
        }
    }

    /// Events come out once, whole and in order, wherever the bytes are cut.
    #[test]
    fn cut_streams(
        events in collection::vec(event(), 0..30),
        cuts in collection::vec(any::<sample::Index>(), 0..60),
    ) {
        let stream = events.concat();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(stream.len() + 1)).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let (mut splitter, mut joined, mut counted) = (EventSplitter::new(0), Vec::new(), 0);
        for cut in cuts.windows(2) {
            let pushed = splitter.push(&stream.as_bytes()[cut[0]..cut[1]]).unwrap();
            if let Some((complete, count)) = pushed {
                prop_assert!(complete.ends_with(b"\n\n"));
                prop_assert_eq!(EventSplitter::ids(&complete).count(), complete_events(&complete));
                joined.extend_from_slice(&complete);
                counted = count;
            }
            prop_assert_eq!(joined.len() + splitter.incomplete_bytes(), cut[1]);
        }
        prop_assert!(splitter.at_event_boundary());
        prop_assert_eq!(counted as usize, events.len());
        prop_assert_eq!(joined, stream.into_bytes());
    }
}

/// Number of events in `events`, without comments.
fn complete_events(events: &[u8]) -> usize {
    let text = String::from_utf8_lossy(events);
    text.split_terminator("\n\n").filter(|event| !event.starts_with(':')).count()
}
