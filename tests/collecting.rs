//! The collector, which assembles an answer from the frames of several attempts.
//!
//! Guards against callers that receive wrong, missing or repeated bytes, or an
//! incomplete answer that looks complete, when frames are lost, late, repeated
//! or from another attempt or request.

use knapweedford::{policy::collector, wire};
use proptest::{prelude::*, test_runner};
use xxhash_rust::xxh3;

const ID: wire::RequestId = wire::RequestId(7);
const BODY: &[u8] = b"data: one\n\ndata: two\n\ndata: three\n\ndata: [DONE]\n\n";

fn piece(body: &[u8], start: usize, end: usize) -> wire::Reply {
    let events = body[..end].windows(2).filter(|pair| pair == b"\n\n").count() as u64;
    wire::Reply::Piece { id: ID, offset: start as u64, events, data: body[start..end].to_vec() }
}

fn end(body: &[u8], start: usize) -> wire::Reply {
    let checksum = xxh3::xxh3_64(&body[start..]);
    wire::Reply::End { id: ID, total: body.len() as u64, checksum, load: wire::Load::default() }
}

fn receive_all(
    collector: &mut collector::Collector,
    attempt: u32,
    frames: Vec<wire::Reply>,
) -> Vec<u8> {
    let mut out = Vec::new();
    for frame in frames {
        match collector.receive(attempt, frame) {
            collector::Step::Forward(bytes) | collector::Step::Complete(bytes) => out.extend(bytes),
            collector::Step::Invalid(problem) => panic!("{problem:?}"),
        }
    }
    out
}

#[test]
fn pieces_in_order() {
    let mut collector = collector::Collector::new(ID, 1);
    let frames = vec![piece(BODY, 0, 11), piece(BODY, 11, BODY.len()), end(BODY, 0)];
    assert_eq!(receive_all(&mut collector, 1, frames), BODY);
    assert!(collector.is_complete());
}

#[test]
fn pieces_out_of_order() {
    let mut collector = collector::Collector::new(ID, 1);
    let (late, last) = (piece(BODY, 0, 11), piece(BODY, 11, BODY.len()));
    let frames = vec![end(BODY, 0), last.clone(), last, late.clone(), late];
    assert_eq!(receive_all(&mut collector, 1, frames), BODY);
    assert!(collector.is_complete());
}

#[test]
fn other_request_ignored() {
    let mut collector = collector::Collector::new(ID, 1);
    let id = wire::RequestId(8);
    let other = wire::Reply::Piece { id, offset: 0, events: 1, data: b"theirs".to_vec() };
    let load = wire::Load::default();
    let ended = wire::Reply::End { id, total: 0, checksum: xxh3::xxh3_64(b""), load };
    assert_eq!(receive_all(&mut collector, 1, vec![other, ended]), b"");
    assert!(!collector.is_complete());
}

#[test]
fn old_attempt_ignored() {
    let mut collector = collector::Collector::new(ID, 1);
    receive_all(&mut collector, 1, vec![piece(BODY, 0, 11)]);
    collector.continue_with(2);
    assert_eq!(receive_all(&mut collector, 1, vec![piece(BODY, 11, 22), end(BODY, 0)]), b"");
    assert!(!collector.is_complete());
}

#[test]
fn short_answer_invalid() {
    let mut collector = collector::Collector::new(ID, 1);
    receive_all(&mut collector, 1, vec![piece(BODY, 0, 11)]);
    assert_eq!(
        collector.close_attempt(1),
        collector::Step::Invalid(collector::Problem::MissingBytes)
    );
    assert!(!collector.is_complete());
}

#[test]
fn wrong_total_invalid() {
    let mut collector = collector::Collector::new(ID, 1);
    receive_all(&mut collector, 1, vec![piece(BODY, 0, 22)]);
    let step = collector.receive(1, end(&BODY[..11], 0));
    assert_eq!(step, collector::Step::Invalid(collector::Problem::ExcessBytes));
}

#[test]
fn wrong_checksum_invalid() {
    let mut collector = collector::Collector::new(ID, 1);
    let mut other = BODY.to_vec();
    other[6] = b'X';
    receive_all(&mut collector, 1, vec![piece(&other, 0, BODY.len())]);
    let step = collector.receive(1, end(BODY, 0));
    assert_eq!(step, collector::Step::Invalid(collector::Problem::ChecksumMismatch));
    assert!(!collector.is_complete());
}

#[test]
fn second_attempt_resumes() {
    let mut collector = collector::Collector::new(ID, 1);
    let mut out = receive_all(&mut collector, 1, vec![piece(BODY, 0, 11), piece(BODY, 22, 35)]);
    assert_eq!(collector.resume_point(), Some(wire::Resume { events: 1, bytes: 11 }));
    collector.continue_with(2);
    out.extend(receive_all(&mut collector, 2, vec![piece(BODY, 11, BODY.len()), end(BODY, 11)]));
    assert_eq!(out, BODY);
    assert!(collector.is_complete());
}

#[test]
fn restart_repeats_body() {
    let mut collector = collector::Collector::new(ID, 1);
    let mut out = receive_all(&mut collector, 1, vec![piece(BODY, 0, 7)]);
    collector.restart_with(2);
    let frames = vec![piece(BODY, 0, 3), piece(BODY, 3, BODY.len()), end(BODY, 0)];
    out.extend(receive_all(&mut collector, 2, frames));
    assert_eq!(out, BODY);
    assert!(collector.is_complete());
}

#[test]
fn different_restart_invalid() {
    let mut collector = collector::Collector::new(ID, 1);
    receive_all(&mut collector, 1, vec![piece(BODY, 0, 7)]);
    collector.restart_with(2);
    let mut other = BODY.to_vec();
    other[6] = b'X';
    let step = collector.receive(2, piece(&other, 0, BODY.len()));
    assert_eq!(step, collector::Step::Invalid(collector::Problem::ReplayMismatch));
}

#[test]
fn buffer_is_bounded() {
    let mut collector = collector::Collector::new(ID, 1);
    let data = vec![0; collector::MAX_BUFFERED_BYTES + 1];
    let step = collector.receive(1, wire::Reply::Piece { id: ID, offset: 1, events: 0, data });
    assert_eq!(step, collector::Step::Invalid(collector::Problem::BufferLimit));
}

/// Frame from a sidecar, or a switch to a new attempt.
#[derive(Clone, Debug)]
enum Op {
    Piece { from: usize, to: usize },
    OtherRequest,
    OldAttempt { from: usize },
    End,
    Resume,
    Restart,
}

fn op() -> impl Strategy<Value = Op> {
    let end = BODY.len();
    prop_oneof![
        8 => (0..end, 0..=end).prop_map(|(a, b)| Op::Piece { from: a.min(b), to: a.max(b) }),
        1 => Just(Op::OtherRequest),
        1 => (0..end).prop_map(|from| Op::OldAttempt { from }),
        2 => Just(Op::End),
        1 => Just(Op::Resume),
        1 => Just(Op::Restart),
    ]
}

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 1000,
        rng_seed: test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// In any order of frames and attempts, the caller has a prefix of the body, and the answer
    /// is complete only if the caller has all of it.
    #[test]
    fn caller_gets_prefix(ops in proptest::collection::vec(op(), 1..60)) {
        let mut collector = collector::Collector::new(ID, 1);
        let (mut attempt, mut start, mut out) = (1, 0, Vec::new());
        for op in ops {
            let step = match op {
                Op::Piece { from, to } => {
                    collector.receive(attempt, piece(BODY, from.max(start), to.max(start)))
                }
                Op::OtherRequest => {
                    let id = wire::RequestId(9);
                    collector.receive(
                        attempt,
                        wire::Reply::Piece { id, offset: 0, events: 9, data: vec![0; 99] },
                    )
                }
                Op::OldAttempt { from } => {
                    let data = vec![0; 20];
                    let old = wire::Reply::Piece { id: ID, offset: from as u64, events: 9, data };
                    collector.receive(attempt - 1, old)
                }
                Op::End => collector.receive(attempt, end(BODY, start)),
                Op::Resume | Op::Restart if collector.is_complete() => continue,
                Op::Resume => {
                    attempt += 1;
                    start = out.len();
                    collector.continue_with(attempt);
                    continue;
                }
                Op::Restart => {
                    attempt += 1;
                    start = 0;
                    collector.restart_with(attempt);
                    continue;
                }
            };
            match step {
                collector::Step::Forward(bytes) => out.extend(bytes),
                collector::Step::Complete(bytes) => {
                    out.extend(bytes);
                    prop_assert_eq!(&out[..], BODY);
                }
                collector::Step::Invalid(problem) => {
                    prop_assert!(false, "valid frames reported as invalid: {problem:?}")
                }
            }
            prop_assert!(BODY.starts_with(&out));
            prop_assert_eq!(out.len() as u64, collector.delivered_bytes());
        }
        prop_assert!(!collector.is_complete() || out == BODY);
    }
}
