//! Decisions of transfers one by one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tamaracklead::decide::transfer::EncodingId;
use tamaracklead::decide::transfer::Fetch;
use tamaracklead::decide::transfer::FetchStep;
use tamaracklead::decide::transfer::FetchTurn;
use tamaracklead::decide::transfer::HeldValues;
use tamaracklead::decide::transfer::Lag;
use tamaracklead::decide::transfer::LagVerdict;
use tamaracklead::decide::transfer::LargeValue;
use tamaracklead::decide::transfer::MAX_PIECE_BYTES;
use tamaracklead::decide::transfer::NextRead;
use tamaracklead::decide::transfer::ProgressLimit;
use tamaracklead::decide::transfer::ReadPace;
use tamaracklead::decide::transfer::Serving;
use tamaracklead::decide::transfer::TurnAway;
use tamaracklead::names::Timestamp;
use tamaracklead::transfer::decode_value;
use tamaracklead::transfer::encode_value;

const VALUE_BYTES: usize = 200_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn addr(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 1))
}

fn value(seed: u8) -> Bytes {
    let mut state = u64::from(seed) + 1;
    let next = |_| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 56) as u8
    };
    (0..VALUE_BYTES).map(next).collect()
}

fn large(seed: u8) -> LargeValue {
    LargeValue::of(&value(seed)).unwrap()
}

fn encoding(size: usize) -> EncodingId {
    EncodingId { base: None, size: size as u32, hash: 1 }
}

fn asked(step: FetchStep) -> SocketAddr {
    match step {
        FetchStep::Ask { from, .. } => from,
        other => panic!("{other:?}"),
    }
}

// Guards against a value that is taken for another, and against differences that are as long as the
// value.
#[test]
fn values_and_differences_decode_to_what_was_encoded_and_to_nothing_else() {
    let (before, mut after) = (value(1), value(1).to_vec());
    after[100_000..100_100].fill(0);
    after.extend_from_slice(b"more");
    let target = LargeValue::of(&after).unwrap();
    let base = LargeValue::of(&before).unwrap().id;
    let whole = encode_value(&after, None).unwrap();
    assert_eq!(decode_value(target, &whole.bytes, None).unwrap(), after);
    let difference = encode_value(&after, Some((base, &before))).unwrap();
    assert!(difference.bytes.len() < 1000, "{} bytes", difference.bytes.len());
    assert_eq!(decode_value(target, &difference.bytes, Some(&before)).unwrap(), after);
    assert!(decode_value(target, &difference.bytes, Some(&value(2))).is_err());
    assert!(decode_value(target, &difference.bytes, None).is_err());
    assert!(decode_value(large(3), &whole.bytes, None).is_err());
    for length in [0, 1, 10, whole.bytes.len() - 1] {
        assert!(decode_value(target, &whole.bytes[..length], None).is_err());
    }
}

// Guards against receivers that can't go on at another instance, as its encoding differs.
#[test]
fn the_encoding_of_a_value_depends_on_nothing_else() {
    let (before, after) = (value(1), value(2));
    let base = LargeValue::of(&before).unwrap().id;
    let encode = || encode_value(&after, Some((base, &before))).unwrap();
    assert_eq!(encode(), encode());
}

// Guards against links that carry more copies than they can finish soon.
#[test]
fn the_receivers_served_at_a_time_are_few_and_the_others_hear_of_those_that_were_served() {
    let mut serving = Serving::new(10);
    let value = large(1);
    let size = VALUE_BYTES / 5;
    for host in 1..=2 {
        assert_eq!(serving.admit(at(0), addr(host), value, size, false), Ok(()));
    }
    let away = serving.admit(at(10), addr(3), value, size, true).unwrap_err();
    assert!(away.retry_in >= Duration::from_millis(40), "{away:?}");
    assert_eq!(away.holders, []);
    serving.on_last_sent(at(100), addr(1), value.id);
    assert_eq!(serving.admit(at(110), addr(3), value, size, false), Ok(()));
    let away = serving.admit(at(110), addr(4), value, size, false).unwrap_err();
    assert_eq!(away.holders, [addr(1)]);
}

// Guards against places that are kept for receivers that are gone.
#[test]
fn a_receiver_that_asks_no_more_loses_its_place() {
    let mut serving = Serving::new(0);
    let value = large(1);
    for host in 1..=2 {
        assert!(serving.admit(at(0), addr(host), value, VALUE_BYTES, false).is_ok());
    }
    assert!(serving.admit(at(300), addr(3), value, VALUE_BYTES, false).is_err());
    assert!(serving.admit(at(401), addr(3), value, VALUE_BYTES, false).is_ok());
}

// Guards against an instance that sends a value to all others although some of these have it.
#[test]
fn after_two_copies_receivers_are_sent_to_others_unless_nobody_else_serves_them() {
    let mut serving = Serving::new(200);
    let value = large(1);
    for host in 1..=2 {
        assert!(serving.admit(at(0), addr(host), value, VALUE_BYTES, false).is_ok());
        serving.on_last_sent(at(50), addr(host), value.id);
    }
    let away = serving.admit(at(60), addr(3), value, VALUE_BYTES, false).unwrap_err();
    assert_eq!(away.holders, [addr(2), addr(1)]);
    assert!(serving.admit(at(60), addr(3), value, VALUE_BYTES, true).is_ok());
    assert!(
        serving.admit(at(60), addr(4), value, 500, false).is_ok(),
        "a small one needs no place"
    );
}

// Guards against transfers that begin anew at each other instance.
#[test]
fn a_transfer_goes_on_at_another_instance_where_the_first_one_failed() {
    let mut fetch = Fetch::new(at(0), large(1), addr(9));
    fetch.add_source(addr(1));
    let size = 3 * MAX_PIECE_BYTES;
    assert_eq!(asked(fetch.next(at(0))), addr(1));
    fetch.on_piece(at(10), addr(1), encoding(size), 0, &vec![1; MAX_PIECE_BYTES]);
    fetch.add_source(addr(2));
    assert_eq!(asked(fetch.next(at(10))), addr(1), "it stays where it gets pieces");
    fetch.on_failure(at(900), addr(1));
    assert_eq!(asked(fetch.next(at(900))), addr(2));
    assert_eq!(fetch.received().len(), MAX_PIECE_BYTES);
    assert!(fetch.piece_bytes() < MAX_PIECE_BYTES, "a smaller piece may be complete in time");
    fetch.on_piece(at(950), addr(2), encoding(size), MAX_PIECE_BYTES, &vec![2; size / 3]);
    fetch.on_piece(at(960), addr(2), encoding(size), 2 * MAX_PIECE_BYTES, &vec![3; size / 3]);
    assert_eq!(fetch.next(at(960)), FetchStep::Complete);
}

// Guards against pieces of two encodings that are joined.
#[test]
fn pieces_of_another_encoding_or_place_are_not_joined_to_what_has_arrived() {
    let mut fetch = Fetch::new(at(0), large(1), addr(9));
    fetch.add_source(addr(1));
    fetch.on_piece(at(1), addr(1), encoding(10_000), 0, &[1; 4000]);
    fetch.on_piece(at(2), addr(1), encoding(10_000), 5000, &[1; 4000]);
    assert_eq!(fetch.received().len(), 4000);
    fetch.on_piece(at(3), addr(1), EncodingId { hash: 2, ..encoding(9000) }, 0, &[2; 3000]);
    assert_eq!(fetch.received(), [2; 3000]);
    fetch.on_piece(at(4), addr(1), encoding(usize::MAX >> 33), 0, &[2; 3000]);
    assert_eq!(
        fetch.next(at(4)),
        FetchStep::GiveUp { next: None },
        "an encoding without bound isn't taken"
    );
}

// Guards against receivers that ask a busy instance without pause, and against those that wait for it
// although others have the value.
#[test]
fn a_receiver_that_is_turned_away_asks_the_others_that_it_hears_of() {
    let mut fetch = Fetch::new(at(0), large(1), addr(9));
    fetch.add_source(addr(1));
    let retry_in = Duration::from_millis(200);
    fetch.on_turned_away(at(0), addr(1), &TurnAway { retry_in, holders: Vec::new() });
    assert_eq!(fetch.next(at(50)), FetchStep::Wait(Duration::from_millis(150)));
    fetch.add_source(addr(2));
    assert_eq!(asked(fetch.next(at(50))), addr(2));
    fetch.on_failure(at(450), addr(2));
    let step = fetch.next(at(2500));
    assert_eq!(step, FetchStep::Ask { from: addr(1), is_urgent: true });
    assert_eq!(fetch.next(at(3000)), FetchStep::GiveUp { next: None });
    fetch.resume(at(5000));
    assert_eq!(asked(fetch.next(at(5000))), addr(1));
}

// Guards against receivers that wait for the newest value with many others, while an instance that has
// another newer one is free.
#[test]
fn a_value_is_given_up_for_another_newer_one_unless_pieces_of_it_have_arrived() {
    let mut fetch = Fetch::new(at(0), large(1), addr(9));
    (1..=4).for_each(|host| fetch.add_source(addr(host)));
    let mut begun = fetch.clone();
    fetch.on_unknown(addr(2));
    assert_eq!(fetch.next(at(0)), FetchStep::GiveUp { next: Some(addr(2)) });
    begun.on_piece(at(0), addr(1), encoding(10_000), 0, &[1; 4000]);
    begun.on_unknown(addr(1));
    assert_ne!(asked(begun.next(at(0))), addr(1));
    begun.on_unknown(addr(3));
    assert_eq!(begun.next(at(0)), FetchStep::GiveUp { next: Some(addr(3)) });
}

// Guards against two transfers of one topic at a time, and against changes that are forgotten.
#[test]
fn changes_heard_of_during_a_fetch_are_asked_for_after_it() {
    let mut turn = FetchTurn::default();
    assert!(turn.take(5, addr(1)));
    assert!(!turn.take(9, addr(2)));
    assert!(!turn.take(7, addr(3)));
    assert_eq!(turn.end(5), Some(addr(2)), "the one with the newest changes");
    assert!(!turn.take(9, addr(4)));
    assert_eq!(turn.end(9), None, "what it has is here by now");
    assert!(turn.take(10, addr(5)));
}

// Guards against a topic whose changes are never asked for again, as the task that did so has panicked.
#[test]
fn a_turn_of_a_lost_task_can_be_taken_again() {
    let mut turn = FetchTurn::default();
    assert!(turn.take(5, addr(1)));
    assert!(!turn.take(9, addr(2)));
    turn.on_task_lost();
    assert!(turn.take(7, addr(3)));
    assert_eq!(turn.end(7), None, "what was heard of before is heard of again");
}

// Guards against former values that fill the memory.
#[test]
fn former_values_are_kept_up_to_a_bound() {
    let mut held = HeldValues::default();
    assert_eq!(held.add(&Bytes::from_static(b"small")), None);
    let ids: Vec<_> = (0..20).map(|seed| held.add(&value(seed)).unwrap().id).collect();
    assert_eq!(held.newest(), ids.last().copied());
    let kept = ids.iter().filter(|id| held.get(**id).is_some()).count();
    assert!((2..=12).contains(&kept), "{kept} kept");
    assert!(held.get(ids[18]).is_some());
}

// Guards against answers that are cut although they come, and against those that come a byte at a time.
#[test]
fn an_answer_may_take_long_as_long_as_it_goes_on_coming() {
    let mut limit = ProgressLimit::new(at(0));
    for tick in 1..100 {
        assert!(limit.time_left(at(tick * 900)) > Duration::ZERO);
        limit.on_bytes(at(tick * 900), 10_000);
    }
    let mut limit = ProgressLimit::new(at(0));
    for part in 0..100_000 {
        limit.on_bytes(at(part / 100), 1);
    }
    assert_eq!(limit.time_left(at(1000)), Duration::ZERO);
}

// Guards against readers that fall further behind with each poll.
#[test]
fn after_a_slow_answer_with_changes_the_newest_state_is_listed() {
    let mut pace = ReadPace::default();
    pace.on_answer(Duration::from_millis(600), true);
    assert_eq!(pace.next(), NextRead::List(Duration::from_millis(300)));
    pace.on_answer(Duration::from_millis(600), false);
    assert_eq!(pace.next(), NextRead::Poll);
    pace.on_answer(Duration::from_millis(20), true);
    assert_eq!(pace.next(), NextRead::Poll);
    pace.on_broken_answer();
    assert_eq!(pace.next(), NextRead::List(Duration::ZERO));
}

// Guards against callers who are told that there is no route while it is on its way, and against an
// instance that goes on by terms which are long out of date.
#[test]
fn an_instance_that_lacks_changes_refuses_what_it_cannot_know() {
    let propagation = Duration::from_secs(3);
    let verdict = |lag_ms: Option<u64>, has_route| {
        Lag(lag_ms.map(Duration::from_millis)).verdict(has_route, propagation)
    };
    assert_eq!(verdict(None, true), LagVerdict::Decide);
    assert_eq!(verdict(None, false), LagVerdict::Decide);
    assert_eq!(verdict(Some(100), true), LagVerdict::Decide);
    assert!(matches!(verdict(Some(100), false), LagVerdict::Refuse(_)));
    assert!(matches!(verdict(Some(2000), true), LagVerdict::Refuse(_)));
}
