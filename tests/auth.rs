//! Authentication: forged, altered and replayed peer messages are refused, and so are callers
//! and operators without the right bearer key.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use tamaracklead::auth::CallerGuard;
use tamaracklead::auth::OperatorGuard;
use tamaracklead::auth::PeerGuard;
use tamaracklead::auth::PeerSignature;
use tamaracklead::auth::PeerSigner;
use tamaracklead::auth::SignedRequest;
use tamaracklead::auth::SignedResponse;
use tamaracklead::decide::replay_window::MAX_SKEW;
use tamaracklead::decide::replay_window::Nonce;
use tamaracklead::decide::replay_window::ReplayWindow;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::CallerName;
use tamaracklead::names::InstanceName;
use tamaracklead::names::WallTime;
use tamaracklead::settings::CallerKeys;
use tamaracklead::settings::Key;

const START: WallTime = WallTime(1_000_000);
const KEY: &[u8] = b"fleet-key-of-16-bytes";

fn at(ms: u64) -> WallTime {
    START.after(Duration::from_millis(ms))
}

fn header(sent: WallTime, nonce: u128, request: &SignedRequest<'_>) -> String {
    let signer = PeerSigner::new(Key::new(KEY), InstanceName::new("entry-1"));
    signer.sign(sent, Nonce(nonce), request).to_string()
}

#[test]
fn a_replayed_request_is_refused() {
    let receiver = InstanceName::new("entry-2");
    let request =
        SignedRequest { method: "POST", path: "/peer/v1/hello", receiver: &receiver, body: b"x" };
    let guard = PeerGuard::new(Key::new(KEY), START);
    let header = header(at(10), 7, &request);
    let signature = guard.verify(at(20), Some(&header), &request).unwrap();
    assert_eq!(signature.sender, InstanceName::new("entry-1"));
    let again = guard.verify(at(21), Some(&header), &request).unwrap_err();
    assert_eq!(again.kind, ErrorKind::Unauthenticated);
}

#[test]
fn a_request_changed_in_any_signed_part_is_refused() {
    let receiver = InstanceName::new("entry-2");
    let other = InstanceName::new("entry-3");
    let original =
        SignedRequest { method: "POST", path: "/peer/v1/hello", receiver: &receiver, body: b"x" };
    let header = header(at(10), 7, &original);
    let cases = [
        ("method", SignedRequest { method: "PUT", ..original }),
        ("path", SignedRequest { path: "/peer/v1/submit", ..original }),
        ("receiver", SignedRequest { receiver: &other, ..original }),
        ("body", SignedRequest { body: b"y", ..original }),
        ("field border", SignedRequest { method: "POST/", path: "peer/v1/hello", ..original }),
    ];
    for (what, request) in cases {
        let guard = PeerGuard::new(Key::new(KEY), START);
        let error = guard.verify(at(20), Some(&header), &request).unwrap_err();
        assert_eq!(error.detail, "peer signature does not hold", "{what}");
    }
    let guard = PeerGuard::new(Key::new(b"another-key-of-16-bytes"), START);
    assert!(guard.verify(at(20), Some(&header), &original).is_err(), "another key");
}

#[test]
fn a_response_signature_fits_only_its_request_status_and_body() {
    let receiver = InstanceName::new("entry-2");
    let request = SignedRequest { method: "POST", path: "/", receiver: &receiver, body: b"x" };
    let key = Key::new(KEY);
    let parse = |nonce| header(at(10), nonce, &request).parse::<PeerSignature>().unwrap();
    let (signature, other) = (parse(7), parse(8));
    let original =
        SignedResponse { request_signature: &signature, status: 200, body: Some(b"yes") };
    let signed = original.sign(&key);
    assert!(original.verify(&key, Some(&signed)).is_ok());
    let cases = [
        ("another request", SignedResponse { request_signature: &other, ..original }),
        ("another status", SignedResponse { status: 503, ..original }),
        ("another body", SignedResponse { body: Some(b"no"), ..original }),
        ("a stream", SignedResponse { body: None, ..original }),
    ];
    for (what, response) in cases {
        assert!(response.verify(&key, Some(&signed)).is_err(), "{what}");
    }
    assert!(original.verify(&Key::new(b"another-key-of-16-bytes"), Some(&signed)).is_err());
    for malformed in [None, Some(""), Some("00"), Some(&signed[1..]), Some("é")] {
        assert!(original.verify(&key, malformed).is_err(), "{malformed:?}");
    }
}

#[test]
fn a_malformed_or_altered_signature_header_is_refused() {
    let receiver = InstanceName::new("entry-2");
    let request = SignedRequest { method: "GET", path: "/", receiver: &receiver, body: b"" };
    let original = header(at(10), 7, &request);
    let guard = PeerGuard::new(Key::new(KEY), START);
    let mut headers = vec![String::new(), "1".to_owned(), original.replacen("1 ", "2 ", 1)];
    headers.push(original.replace("entry-1", "entry-9"));
    headers.push(original.replace(&at(10).0.to_string(), &at(11).0.to_string()));
    headers.push(format!("{original} x"));
    headers.push(original[..original.len() - 1].to_owned());
    headers.push(original.replace(' ', "  "));
    headers.push("1 é 1 é é".to_owned());
    for header in headers {
        let error = guard.verify(at(20), Some(&header), &request).unwrap_err();
        assert_eq!(error.kind, ErrorKind::Unauthenticated, "{header}");
    }
    let missing = guard.verify(at(20), None, &request).unwrap_err();
    assert_eq!(missing.detail, "peer signature is missing");
    assert!(guard.verify(at(20), Some(&original), &request).is_ok());
}

#[test]
fn messages_beyond_the_clock_skew_or_before_the_start_are_refused() {
    let skew = MAX_SKEW.as_millis() as u64;
    let cases = [
        (at(100_000), at(100_000 - skew), true),
        (at(100_000), at(100_000 - skew - 1), false),
        (at(100_000), at(100_000 + skew), true),
        (at(100_000), at(100_000 + skew + 1), false),
        (at(5), at(0), true),
        (at(5), WallTime(START.0 - 1), false),
    ];
    for (now, sent, is_admitted) in cases {
        let mut window = ReplayWindow::new(START, 10);
        let result = window.admit(now, sent, Nonce(1));
        assert_eq!(result.is_ok(), is_admitted, "now {now:?}, sent {sent:?}: {result:?}");
    }
}

#[test]
fn a_clock_set_back_does_not_admit_a_replay() {
    let mut window = ReplayWindow::new(START, 10);
    window.admit(at(1000), at(1000), Nonce(1)).unwrap();
    window.admit(at(90_000), at(90_000), Nonce(2)).unwrap();
    assert!(window.admit(at(1000), at(1000), Nonce(1)).is_err());
}

#[test]
fn a_full_replay_window_refuses_until_its_nonces_expire() {
    let mut window = ReplayWindow::new(START, 2);
    window.admit(at(0), at(0), Nonce(1)).unwrap();
    window.admit(at(0), at(0), Nonce(2)).unwrap();
    let full = window.admit(at(0), at(0), Nonce(3)).unwrap_err();
    assert_eq!(full.kind, ErrorKind::Overloaded);
    let later = at(MAX_SKEW.as_millis() as u64 + 1);
    window.admit(later, later, Nonce(3)).unwrap();
    assert_eq!(window.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_message_is_admitted_twice(
        events in prop::collection::vec((0_u64..200_000, 0_u64..200_000, 0_u128..20), 1..200),
    ) {
        let mut window = ReplayWindow::new(START, 64);
        let mut admitted = std::collections::BTreeSet::new();
        for (now, sent, nonce) in events {
            if window.admit(at(now), at(sent), Nonce(nonce)).is_ok() {
                prop_assert!(admitted.insert((sent, nonce)), "{sent} {nonce} twice");
            }
            prop_assert!(window.len() <= 64);
        }
    }
}

#[test]
fn operators_need_the_exact_key() {
    let guard = OperatorGuard::new(Key::new(b"operator-key-0123"));
    let cases = [
        (None, false),
        (Some("Bearer operator-key-0123"), true),
        (Some("bearer operator-key-0123"), true),
        (Some("Bearer operator-key-012"), false),
        (Some("Bearer operator-key-01234"), false),
        (Some("Bearer "), false),
        (Some("Basic operator-key-0123"), false),
        (Some("operator-key-0123"), false),
    ];
    for (header, is_admitted) in cases {
        assert_eq!(guard.check(header).is_ok(), is_admitted, "{header:?}");
    }
}

#[test]
fn callers_are_identified_by_their_key() {
    let keys = [("app-a", "key-of-app-a-0001"), ("app-b", "key-of-app-b-0002")];
    let keys: BTreeMap<_, _> = keys
        .into_iter()
        .map(|(name, key)| (CallerName::new(name), Key::new(key.as_bytes())))
        .collect();
    let guard = CallerGuard::new(Some(CallerKeys(keys)));
    let caller = guard.check(Some("Bearer key-of-app-b-0002")).unwrap();
    assert_eq!(caller, Some(CallerName::new("app-b")));
    assert_eq!(guard.check(None).unwrap_err().kind, ErrorKind::Unauthenticated);
    assert_eq!(guard.check(Some("Bearer nobody")).unwrap_err().kind, ErrorKind::Unauthenticated);
    assert_eq!(CallerGuard::new(None).check(None).unwrap(), None);
}
