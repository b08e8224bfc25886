//! The decision which requests are quarantined, from the crashes that gateways note.

use std::time::Duration;

use knapweedford::{
    balance::{
        Quarantine,
        crash_note::{Incarnation, Note},
    },
    gateway::fingerprint,
    name::{Fingerprint, Server, Workspace},
};

const HOUR: Duration = Duration::from_secs(3600);

fn fingerprints(hashes: &[&str]) -> Vec<Fingerprint> {
    hashes.iter().copied().map(Fingerprint::from).collect()
}

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// An incarnation of a rank of a group.
fn rank(server: &Server, started_ms: u64) -> Incarnation<'_> {
    Incarnation { server, started_ms, group: Some("g-0") }
}

/// A quarantine that has read an empty store.
fn loaded(host: &str) -> Quarantine {
    let mut quarantine = Quarantine::new(&host.into());
    quarantine.apply(Vec::new(), 0, at(0));
    quarantine
}

/// Lets `quarantine` see three crashes with the part `bad`.
fn see_crashes(quarantine: &mut Quarantine) {
    for n in 0..3 {
        let server = Server::from(format!("i-{n}").as_str());
        quarantine.record_crash(&rank(&server, 1), &fingerprints(&["bad"]), at(n), at(n));
    }
}

/// Writes the pending notes of `quarantines` to `stored`, and lets all of them read it.
fn exchange(quarantines: &mut [&mut Quarantine], stored: &mut Vec<(Note, u64)>, now: Duration) {
    for quarantine in quarantines.iter_mut() {
        for note in quarantine.take_pending(100).0 {
            let version = stored.len() as u64 + 1;
            stored.retain(|(other, _)| other.key() != note.key());
            stored.push((note, version));
        }
    }
    for quarantine in quarantines.iter_mut() {
        quarantine.apply(stored.clone(), 0, now);
    }
}

/// Guards against crashes that each gateway sees one of, so that none of them sees the cause.
#[test]
fn spread_over_gateways() {
    let (mut a, mut b, mut c) = (loaded("a"), loaded("b"), loaded("c"));
    let mut stored = Vec::new();
    a.record_crash(&rank(&"i-1".into(), 1), &fingerprints(&["x", "bad"]), at(10), at(10));
    exchange(&mut [&mut a, &mut b, &mut c], &mut stored, at(11));
    b.record_crash(&rank(&"i-2".into(), 1), &fingerprints(&["y", "bad"]), at(12), at(12));
    exchange(&mut [&mut a, &mut b, &mut c], &mut stored, at(13));
    assert_eq!(c.refusal_time(&fingerprints(&["bad"]), at(14)), None);
    a.record_crash(&rank(&"i-3".into(), 1), &fingerprints(&["z", "bad"]), at(14), at(14));
    exchange(&mut [&mut a, &mut b, &mut c], &mut stored, at(15));
    for quarantine in [&mut a, &mut b, &mut c] {
        assert!(quarantine.refusal_time(&fingerprints(&["w", "bad"]), at(16)).is_some());
        assert_eq!(quarantine.refusal_time(&fingerprints(&["x", "y", "z"]), at(16)), None);
    }
    // A gateway that starts later knows it, too.
    let mut d = loaded("d");
    exchange(&mut [&mut a, &mut d], &mut stored, at(20));
    assert!(d.refusal_time(&fingerprints(&["bad"]), at(21)).is_some());
}

/// Guards against one crash that counts several times because several gateways, or several requests
/// of one, saw it.
#[test]
fn one_crash_counts_once() {
    let (mut a, mut b) = (loaded("a"), loaded("b"));
    let mut stored = Vec::new();
    for _ in 0..3 {
        a.record_crash(&rank(&"i-1".into(), 1), &fingerprints(&["x"]), at(10), at(10));
        b.record_crash(&rank(&"i-1".into(), 1), &fingerprints(&["x"]), at(10), at(10));
    }
    exchange(&mut [&mut a, &mut b], &mut stored, at(11));
    assert_eq!(a.refusal_time(&fingerprints(&["x"]), at(12)), None);
    // Another incarnation with the same name is another crash.
    a.record_crash(&rank(&"i-1".into(), 2), &fingerprints(&["x"]), at(13), at(13));
    a.record_crash(&rank(&"i-1".into(), 3), &fingerprints(&["x"]), at(15), at(15));
    assert!(a.refusal_time(&fingerprints(&["x"]), at(16)).is_some());
}

/// Guards against lost connections that are taken for crashes: the server, or its group, goes on.
#[test]
fn lost_connections() {
    for witness in ["i-0", "i-9"] {
        let (mut a, mut b) = (loaded("a"), loaded("b"));
        let mut stored = Vec::new();
        for n in 0..6 {
            let now = Duration::from_millis(10_000 + n * 100);
            a.record_crash(
                &rank(&format!("i-{n}").as_str().into(), 1),
                &fingerprints(&["hot"]),
                now,
                now,
            );
        }
        exchange(&mut [&mut a, &mut b], &mut stored, Duration::from_millis(10_600));
        // The other gateway hears from one of the servers, or from another rank.
        let heard_at = Duration::from_millis(11_200);
        assert!(b.record_activity(&rank(&witness.into(), 1), heard_at));
        assert_eq!(b.refusal_time(&fingerprints(&["hot"]), at(13)), None);
        let (_, withdrawn) = b.take_pending(100);
        assert_eq!(withdrawn.len(), 6, "{withdrawn:?}");
        stored.retain(|(note, _)| !withdrawn.contains(&note.key()));
        exchange(&mut [&mut a], &mut stored, at(12));
        assert_eq!(a.refusal_time(&fingerprints(&["hot"]), at(13)), None);
    }
}

/// Events from before a crash that are read a little later, and those of the group after it has
/// formed anew, do not disprove the crash; events of the next incarnation don't either.
#[test]
fn late_events() {
    let mut quarantine = loaded("a");
    for n in 0..3 {
        let crashed_at = at(10 + 10 * n);
        quarantine.record_crash(
            &rank(&"i-1".into(), n),
            &fingerprints(&["bad"]),
            crashed_at,
            crashed_at,
        );
        let late = crashed_at + Duration::from_millis(100);
        assert!(!quarantine.record_activity(&rank(&"i-1".into(), n), late));
        assert!(!quarantine.record_activity(&rank(&"i-1".into(), n + 1), crashed_at + at(3)));
        assert!(!quarantine.record_activity(&rank(&"i-2".into(), 0), crashed_at + at(3)));
    }
    assert!(quarantine.refusal_time(&fingerprints(&["bad"]), at(40)).is_some());
}

/// Guards against the quarantine of a part that many sound prompts share: it is in all crashes, but
/// prompts with it are answered.
#[test]
fn shared_part_cleared() {
    let mut quarantine = loaded("a");
    quarantine.record_answer(&fingerprints(&["shared", "topic"]), at(5));
    for n in 0..10 {
        let server = format!("i-{n}");
        quarantine.record_crash(
            &rank(&server.as_str().into(), 1),
            &fingerprints(&["shared", "bad"]),
            at(10 + n),
            at(10 + n),
        );
    }
    assert_eq!(quarantine.refusal_time(&fingerprints(&["shared", "topic"]), at(20)), None);
    assert!(quarantine.refusal_time(&fingerprints(&["shared", "bad"]), at(20)).is_some());
    assert!(quarantine.may_resend(&fingerprints(&["shared", "topic"]), at(20)));
}

/// Guards against the quarantine of a part that happens to be in a few of many crashes, as when a
/// rack of servers fails.
#[test]
fn many_servers_fail() {
    let mut quarantine = loaded("a");
    for n in 0..12 {
        let part = if n % 4 == 0 { "often".to_owned() } else { format!("own-{n}") };
        let server = format!("i-{n}");
        quarantine.record_crash(
            &rank(&server.as_str().into(), 1),
            &fingerprints(&[&part]),
            at(10),
            at(10),
        );
    }
    assert_eq!(quarantine.refusal_time(&fingerprints(&["often"]), at(11)), None);
}

/// A second bad part is found although the first one is in the same crashes.
#[test]
fn two_bad_parts() {
    let mut quarantine = loaded("a");
    for n in 0..6 {
        let bad = if n % 2 == 0 { "bad-1" } else { "bad-2" };
        let server = format!("i-{n}");
        quarantine.record_crash(
            &rank(&server.as_str().into(), 1),
            &fingerprints(&[bad]),
            at(10 + n),
            at(10 + n),
        );
    }
    assert!(quarantine.refusal_time(&fingerprints(&["bad-1"]), at(20)).is_some());
    assert!(quarantine.refusal_time(&fingerprints(&["bad-2"]), at(20)).is_some());
}

/// A request is sent again after the first crash with its parts, but not after the second.
#[test]
fn resent_once() {
    let mut quarantine = loaded("a");
    quarantine.record_crash(&rank(&"i-1".into(), 1), &fingerprints(&["bad"]), at(10), at(10));
    assert!(quarantine.may_resend(&fingerprints(&["bad"]), at(10)));
    quarantine.record_crash(&rank(&"i-2".into(), 1), &fingerprints(&["bad"]), at(11), at(11));
    assert!(!quarantine.may_resend(&fingerprints(&["bad"]), at(11)));
    assert!(quarantine.may_resend(&fingerprints(&["other"]), at(11)));
}

/// A quarantine ends an hour after the last request that it refused, here and in the store.
#[test]
fn ends_when_unused() {
    let mut quarantine = loaded("a");
    let mut stored = Vec::new();
    see_crashes(&mut quarantine);
    exchange(&mut [&mut quarantine], &mut stored, at(4));
    assert!(quarantine.refusal_time(&fingerprints(&["bad"]), at(3000)).is_some());
    exchange(&mut [&mut quarantine], &mut stored, at(3001));
    exchange(&mut [&mut quarantine], &mut stored, HOUR + at(100));
    assert!(quarantine.refusal_time(&fingerprints(&["bad"]), HOUR + at(101)).is_some());
    exchange(&mut [&mut quarantine], &mut stored, 3 * HOUR);
    assert_eq!(quarantine.refusal_time(&fingerprints(&["bad"]), 3 * HOUR), None);
    let (_, removed) = quarantine.take_pending(100);
    assert!(removed.contains(&"part/bad".to_owned()), "{removed:?}");
}

/// A quarantine that another gateway ended, ends here as well, and a part can be quarantined again.
#[test]
fn ended_elsewhere() {
    let mut quarantine = loaded("a");
    let mut stored = Vec::new();
    see_crashes(&mut quarantine);
    assert!(quarantine.refusal_time(&fingerprints(&["bad"]), at(4)).is_some());
    exchange(&mut [&mut quarantine], &mut stored, at(5));
    quarantine.apply(Vec::new(), 0, at(6));
    assert_eq!(quarantine.refusal_time(&fingerprints(&["bad"]), at(7)), None);
    for n in 3..6 {
        quarantine.record_crash(
            &rank(&format!("i-{n}").as_str().into(), 1),
            &fingerprints(&["bad"]),
            at(10),
            at(10),
        );
    }
    assert!(quarantine.refusal_time(&fingerprints(&["bad"]), at(12)).is_some());
}

/// A note that was written but not read back yet is removed from the store when it is withdrawn.
#[test]
fn withdrawn_before_read() {
    let mut quarantine = loaded("a");
    quarantine.record_crash(&rank(&"i-1".into(), 1), &fingerprints(&["x"]), at(10), at(10));
    assert_eq!(quarantine.take_pending(100).0.len(), 1);
    assert!(quarantine.record_activity(&rank(&"i-1".into(), 1), Duration::from_millis(10_500)));
    assert_eq!(quarantine.take_pending(100).1.len(), 1);
}

/// Notes that a restored store lacks still hold, and are written again by those who know them.
#[test]
fn kept_after_restore() {
    let mut quarantine = loaded("a");
    let mut stored = Vec::new();
    see_crashes(&mut quarantine);
    exchange(&mut [&mut quarantine], &mut stored, at(4));
    quarantine.apply(Vec::new(), 1, at(5));
    assert!(quarantine.refusal_time(&fingerprints(&["bad"]), at(6)).is_some());
    assert_eq!(quarantine.take_pending(100).0.len(), 4, "three crashes and the quarantine");
}

/// Notes and remembered parts stay bounded, whatever callers send.
#[test]
fn bounded_memory() {
    let mut quarantine = loaded("a");
    for n in 0..2_000u64 {
        let many: Vec<Fingerprint> =
            (0..32).map(|part| Fingerprint::new(format!("{n}-{part}"))).collect();
        quarantine.record_answer(&many, at(n / 100));
        let other: Vec<Fingerprint> =
            (0..200).map(|part| Fingerprint::new(format!("c{n}-{part}"))).collect();
        quarantine.record_crash(&rank(&"i-1".into(), n), &other, at(n / 100), at(n / 100));
    }
    let (notes, _) = quarantine.take_pending(10_000);
    assert!(notes.len() <= 128, "{} notes", notes.len());
    let bytes = serde_json::to_vec(&notes[0]).expect("a note serializes").len();
    assert!(bytes < 16_000, "a note of {bytes} bytes");
}

/// Guards against a request that crashes a plain service and goes on doing so because a group of
/// engines loses its power meanwhile.
#[test]
fn told_from_other_groups() {
    let mut quarantine = loaded("a");
    let bad = [Fingerprint::of_request(7)];
    for n in 0..3 {
        let server = Server::from(format!("plain-{n}").as_str());
        let crashed = Incarnation { server: &server, started_ms: 1, group: None };
        quarantine.record_crash(&crashed, &bad, at(n), at(n));
    }
    for n in 0..12 {
        let server = Server::from(format!("i-{n}").as_str());
        quarantine.record_crash(&rank(&server, 1), &fingerprints(&["x"]), at(3), at(3));
    }
    assert!(quarantine.refusal_time(&bad, at(5)).is_some());
}

/// Guards against answers to many different requests that push out the memory of answered parts of
/// prompts, so that sound parts are quarantined.
#[test]
fn many_requests_answered() {
    let mut quarantine = loaded("a");
    quarantine.record_answer(&fingerprints(&["bad"]), at(0));
    for n in 0..40_000 {
        quarantine.record_answer(&[Fingerprint::of_request(n)], at(1));
    }
    see_crashes(&mut quarantine);
    assert_eq!(quarantine.refusal_time(&fingerprints(&["bad"]), at(10)), None);
}

/// Guards against sound requests that are refused because they look like one that crashes servers.
#[test]
fn requests_told_apart() {
    let of = |method: &str, target: &str, host: &str, workspace: &str, body: &str| {
        let req =
            hyper::Request::builder().method(method).uri(target).body(()).expect("it is valid");
        let workspace = Workspace::from(workspace);
        fingerprint::of_request(
            &req.into_parts().0,
            host,
            Some(&workspace),
            &body.to_owned().into(),
        )
    };
    let first = of("POST", "/a/b?c=1", "h", "w", "body");
    assert_eq!(first, of("POST", "/a/b?c=1", "h", "w", "body"));
    let others = [
        of("PUT", "/a/b?c=1", "h", "w", "body"),
        of("POST", "/a/b?c=2", "h", "w", "body"),
        of("POST", "/a/b?c=1", "i", "w", "body"),
        of("POST", "/a/b?c=1", "h", "x", "body"),
        of("POST", "/a/b?c=1", "h", "w", "bodx"),
        of("POST", "/a/b?c=1", "h", "wb", "ody"),
    ];
    assert!(!others.contains(&first));
}

/// Guards against a sound request that is refused because its client sends it again at once whenever
/// a server resets its connection.
#[test]
fn resets_survived() {
    let mut quarantine = loaded("a");
    let request = [Fingerprint::of_request(7)];
    let servers: Vec<Server> =
        (0..3).map(|n| Server::from(format!("plain-{n}").as_str())).collect();
    let incarnation = |n: usize| Incarnation { server: &servers[n], started_ms: 1, group: None };
    let millis = Duration::from_millis;
    for n in 0..3 {
        quarantine.record_crash(
            &incarnation(n),
            &request,
            at(1) + millis(n as u64 * 10),
            at(1) + millis(n as u64 * 10),
        );
    }
    assert_eq!(quarantine.refusal_time(&request, at(1) + millis(100)), None);
    assert!(quarantine.refusal_time(&request, at(1) + millis(600)).is_some());
    assert!(quarantine.record_activity(&incarnation(1), at(1) + millis(650)));
    assert_eq!(quarantine.refusal_time(&request, at(1) + millis(700)), None);
    assert_eq!(quarantine.refusal_time(&request, at(10)), None);
}

/// Lets `quarantine` see `count` servers go down at one moment, each with an unanswered request with
/// the part `hot`.
fn fail_together(quarantine: &mut Quarantine, count: usize, now: Duration) {
    for n in 0..count {
        let server = Server::from(format!("i-{n}").as_str());
        let sent_at = now - Duration::from_millis(300);
        quarantine.record_crash(&rank(&server, 1), &fingerprints(&["hot"]), sent_at, now);
    }
}

/// Returns two gateways that have quarantined requests with `hot` at 12 s, after four servers failed
/// together, and the notes in the store.
fn quarantined_at_two(hot: &[Fingerprint]) -> (Quarantine, Quarantine, Vec<(Note, u64)>) {
    let (mut a, mut b) = (loaded("a"), loaded("b"));
    let mut stored = Vec::new();
    fail_together(&mut a, 4, at(10));
    exchange(&mut [&mut a, &mut b], &mut stored, at(11));
    for quarantine in [&mut a, &mut b] {
        assert!(quarantine.refusal_time(hot, at(12)).is_some());
    }
    exchange(&mut [&mut a, &mut b], &mut stored, at(12));
    (a, b, stored)
}

/// Sends a request with `part` as a probe if one is due at `now`; returns whether it was sent.
fn probe(quarantine: &mut Quarantine, part: &str, now: Duration) -> bool {
    let part = fingerprints(&[part]);
    if quarantine.refusal_time(&part, now).is_some() {
        if quarantine.begin_claim(now).is_empty() {
            return false;
        }
        assert!(quarantine.claim_time(&part, now).is_some(), "the request may wait for the claim");
        quarantine.end_claim(true, now);
    }
    assert_eq!(quarantine.refusal_time(&part, now), None);
    quarantine.record_attempt(&part, now);
    true
}

/// Guards against a sound kind of request that is refused for good because several servers that ran
/// it failed together.
#[test]
fn probe_ends_quarantine() {
    let hot = fingerprints(&["hot"]);
    let (mut a, mut b, mut stored) = quarantined_at_two(&hot);
    assert!(!probe(&mut a, "hot", at(16)), "the servers can't be back yet");
    assert!(probe(&mut a, "hot", at(18)));
    assert!(a.refusal_time(&hot, at(18)).is_some(), "one request is enough");
    assert!(a.record_answer(&hot, at(19)));
    exchange(&mut [&mut a, &mut b], &mut stored, at(19));
    // The notes of the crashes no longer count, also when the answer is long ago.
    for now in [at(20), at(600)] {
        for quarantine in [&mut a, &mut b] {
            assert_eq!(quarantine.refusal_time(&hot, now), None);
            assert!(quarantine.may_resend(&hot, now));
        }
        let mut started = loaded("c");
        started.apply(stored.clone(), 0, now);
        assert_eq!(started.refusal_time(&hot, now + at(2)), None);
    }
    // Later crashes count again.
    for n in 0..3u64 {
        let server = Server::from(format!("later-{n}").as_str());
        b.record_crash(&rank(&server, 1), &hot, at(610 + n), at(610 + n));
    }
    assert!(b.refusal_time(&hot, at(615)).is_some());
}

/// Guards against probes that crash one server after the other.
#[test]
fn probes_get_rare() {
    let mut quarantine = loaded("a");
    fail_together(&mut quarantine, 3, at(10));
    let mut probed_at = Vec::new();
    for secs in 12..600 {
        if probe(&mut quarantine, "hot", at(secs)) {
            let server = Server::from(format!("probed-{secs}").as_str());
            let hot = fingerprints(&["hot"]);
            quarantine.record_crash(&rank(&server, 1), &hot, at(secs), at(secs));
            probed_at.push(secs);
        }
    }
    assert_eq!(probed_at, [17, 37, 117, 437]);
}

/// Guards against an early probe where each crash followed the one before.
#[test]
fn crashes_in_succession() {
    let mut quarantine = loaded("a");
    see_crashes(&mut quarantine);
    let probed_at = (4..200).find(|secs| probe(&mut quarantine, "bad", at(*secs)));
    assert_eq!(probed_at, Some(84));
}

/// Guards against several gateways that probe at once.
#[test]
fn one_gateway_probes() {
    let hot = fingerprints(&["hot"]);
    let (mut a, mut b, mut stored) = quarantined_at_two(&hot);
    for quarantine in [&mut a, &mut b] {
        assert!(quarantine.refusal_time(&hot, at(18)).is_some());
    }
    let (of_a, of_b) = (a.begin_claim(at(18)), b.begin_claim(at(18)));
    assert!(!of_a.is_empty());
    assert_eq!(of_a, of_b, "both need the same version of the row");
    a.end_claim(true, at(18));
    b.end_claim(false, at(18));
    assert!(b.refusal_time(&hot, at(18)).is_some());
    assert_eq!(b.claim_time(&hot, at(18)), None);
    // A third gateway learns of the claim from the row, which was written again.
    let version = stored.iter().map(|(_, version)| *version).max().unwrap_or_default() + 1;
    let row = stored.iter_mut().find(|(note, _)| note.key() == "part/hot");
    row.expect("the quarantine is stored").1 = version;
    b.apply(stored.clone(), 0, at(19));
    assert!(!probe(&mut b, "hot", at(23)));
    // The claim lapses if the probe is not sent in time.
    assert!(a.refusal_time(&hot, at(20)).is_some());
    assert!(probe(&mut b, "hot", at(25)), "the next probe is due");
}
