//! Reads that fail again and again: what is known of them, and how many log lines they are worth.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use tamaracklead::decide::reads::ReadHealth;
use tamaracklead::decide::reads::ReadLine;
use tamaracklead::names::Timestamp;

/// Most lines at once, and the time after which one more may follow.
const MAX_LINES_AT_ONCE: u64 = 8;
const LINE_INTERVAL_MS: u64 = 10_000;
/// Times in seconds at which reads that fail for one cause are logged in the first half hour.
const LINES_OF_ONE_CAUSE_S: [u64; 4] = [0, 10, 70, 670];

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// One read: the time since the one before, and its cause if it fails.
type Read = (u64, Option<String>);

fn reads() -> impl Strategy<Value = Vec<Read>> {
    let cause = (0..7usize, any::<u16>()).prop_map(|(kind, figure)| {
        let kind = ["status", "port", "key a%", "line\nfeed", "é", "", "connection broke"][kind];
        format!("{kind} {figure} of 10.0.0.{}:{figure}", figure % 9)
    });
    vec((0..3000u64, proptest::option::weighted(0.8, cause)), 0..400)
}

fn play(health: &mut ReadHealth, now: u64, read: &Option<String>) -> Option<ReadLine> {
    match read {
        Some(cause) => health.on_failure(at(now), cause),
        None => health.on_end(at(now)),
    }
}

proptest! {
    /// Guards against a log that reads fill which fail now and then, or for causes that alternate.
    #[test]
    fn lines_have_a_bound_whatever_fails(reads in reads()) {
        let mut health = ReadHealth::default();
        let (mut now, mut lines) = (0, 0);
        for (pause, read) in &reads {
            now += pause;
            lines += u64::from(play(&mut health, now, read).is_some());
            assert!(lines <= MAX_LINES_AT_ONCE + now / LINE_INTERVAL_MS, "{lines} by {now} ms");
        }
    }

    /// Guards against a loss in the log that never ends there, or an end of what wasn't logged.
    #[test]
    fn each_logged_loss_has_one_logged_end(reads in reads()) {
        let mut health = ReadHealth::default();
        let (mut now, mut is_lost, mut losses) = (0, false, 0);
        let (mut began, mut ended) = (0, 0);
        for (pause, read) in &reads {
            now += pause;
            let was_failing = health.failure(at(now)).is_some();
            began += u64::from(!was_failing && read.is_some());
            ended += u64::from(was_failing && read.is_none());
            match play(&mut health, now, read) {
                Some(ReadLine::Lost { unlogged, .. }) => {
                    assert!(!is_lost);
                    (is_lost, losses) = (true, losses + 1 + unlogged);
                    assert_eq!(losses, began, "each loss is logged or counted");
                }
                Some(ReadLine::Failing { .. }) => assert!(is_lost),
                Some(ReadLine::Regained { .. }) => assert!(std::mem::take(&mut is_lost)),
                None => assert!(!(is_lost && read.is_none()), "an end without a line"),
            }
        }
        assert!(began - ended <= 1);
    }

    /// Guards against a count or a time that starts anew while reads fail.
    #[test]
    fn failures_are_counted_from_the_first_one(pauses in vec(1..5000u64, 2..100)) {
        let mut health = ReadHealth::default();
        let (mut now, first) = (pauses[0], pauses[0]);
        health.on_failure(at(now), "port 1");
        for pause in &pauses[1..] {
            now += pause;
            health.on_failure(at(now), &format!("port {now}"));
        }
        let failure = health.failure(at(now)).unwrap();
        assert_eq!((failure.failing_ms, failure.failures), (now - first, pauses.len() as u64));
        assert_eq!((failure.cause_ms, failure.cause_count), (now - first, pauses.len() as u64));
        assert_eq!(failure.cause, format!("port {now}"));
    }
}

/// Guards against a line a second for reads that fail for ever, and against one line alone.
#[test]
fn one_cause_is_logged_at_growing_intervals() {
    let mut health = ReadHealth::default();
    let mut lines = Vec::new();
    for second in 0..1270 {
        if let Some(line) = health.on_failure(at(second * 1000), &format!("port {second}")) {
            let (ReadLine::Lost { failure, .. } | ReadLine::Failing { failure }) = line else {
                panic!("{line:?}");
            };
            assert_eq!((failure.failing_ms, failure.failures), (second * 1000, second + 1));
            assert_eq!(failure.cause_count, second + 1);
            lines.push(second);
        }
    }
    assert_eq!(lines, LINES_OF_ONE_CAUSE_S);
    let end = health.on_end(at(1_270_000));
    let lasted = Duration::from_secs(1270);
    assert_eq!(end, Some(ReadLine::Regained { lasted, failures: 1270 }));
    assert!(health.failure(at(1_270_000)).is_none());
}

/// Guards against a new cause that nobody is told of, and against a line for each change of two.
#[test]
fn a_new_cause_is_logged_at_once_and_alternating_ones_are_not() {
    let mut health = ReadHealth::default();
    let mut lines = Vec::new();
    for number in 0..30 {
        let cause = if number % 2 == 0 { "broken at 1" } else { "status 503" };
        if health.on_failure(at(number * 300), cause).is_some() {
            lines.push(number);
        }
    }
    assert_eq!(lines, [0, 1]);
    let failure = health.failure(at(9000)).unwrap();
    assert_eq!((failure.failures, failure.cause_count), (30, 15));
}

/// Guards against a read without an answer that nobody is told of as it hasn't failed.
#[test]
fn a_read_without_an_answer_is_told_after_a_while() {
    let mut health = ReadHealth::default();
    assert_eq!(health.pending(at(5000)), None);
    health.on_begin(at(1000));
    assert_eq!(health.pending(at(2999)), None);
    assert_eq!(health.pending(at(9000)), Some(Duration::from_secs(8)));
    health.on_answer();
    assert_eq!(health.pending(at(19_000)), None);
    health.on_begin(at(20_000));
    assert_eq!(health.pending(at(22_000)), Some(Duration::from_secs(2)));
}

/// Guards against a store's text of any length in the log and in each readiness answer.
#[test]
fn the_text_of_a_cause_is_bounded() {
    let mut health = ReadHealth::default();
    health.on_failure(at(0), &"é".repeat(100_000));
    assert!(health.failure(at(0)).unwrap().cause.len() <= 480);
}
