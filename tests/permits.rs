//! Permits keep the store's limits, go to the most urgent load first and adapt to a slow store.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;
use tamaracklead::decide::permits::PermitIssuer;
use tamaracklead::decide::permits::PermitKey;
use tamaracklead::decide::permits::StaticShare;
use tamaracklead::decide::permits::StoreLimits;
use tamaracklead::decide::permits::Urgency;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;

const LIMITS: StoreLimits =
    StoreLimits { rate: 2.0, in_flight: 8, load_time: Duration::from_millis(250) };

fn key(name: &str) -> PermitKey {
    let adapter = AdapterRef::new(AdapterName::new(name), Version(1));
    PermitKey { engine: BackendName::new("engine-1"), adapter }
}

fn urgency(demanded: bool, priority: u8, waiting: u32) -> Urgency {
    Urgency { demanded, priority, waiting }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn the_most_urgent_load_goes_first() {
    let cases = [
        ("demand before prefetch", urgency(true, 0, 1), urgency(false, 9, 0)),
        ("higher priority", urgency(true, 6, 1), urgency(true, 5, 9)),
        ("more waiting requests", urgency(true, 5, 3), urgency(true, 5, 2)),
        ("older request", urgency(true, 5, 1), urgency(true, 5, 1)),
    ];
    for (name, first, second) in cases {
        let mut issuer = PermitIssuer::new(at(0), LIMITS);
        issuer.on_permit_request(at(0), key("first"), first);
        issuer.on_permit_request(at(1), key("second"), second);
        assert_eq!(issuer.grant(at(1)), [key("first")], "{name}");
    }
}

#[test]
fn a_repeated_request_keeps_its_age() {
    let mut issuer = PermitIssuer::new(at(0), LIMITS);
    issuer.on_permit_request(at(0), key("old"), urgency(true, 5, 1));
    issuer.on_permit_request(at(1), key("young"), urgency(true, 5, 2));
    issuer.on_permit_request(at(2), key("old"), urgency(true, 5, 2));
    assert_eq!(issuer.grant(at(2)), [key("old")]);
}

#[test]
fn a_withdrawn_request_gets_no_permit() {
    let mut issuer = PermitIssuer::new(at(0), LIMITS);
    issuer.on_permit_request(at(0), key("gone"), urgency(true, 5, 1));
    issuer.on_ended(at(0), &key("gone"));
    assert_eq!(issuer.grant(at(0)), []);
    assert_eq!(issuer.next_grant(), None);
}

#[test]
fn permits_of_a_lost_owner_expire() {
    let limits = StoreLimits { in_flight: 1, ..LIMITS };
    let mut issuer = PermitIssuer::new(at(0), limits);
    issuer.on_permit_request(at(0), key("lost"), urgency(true, 5, 1));
    assert_eq!(issuer.grant(at(0)), [key("lost")]);
    issuer.on_permit_request(at(5_000), key("next"), urgency(true, 5, 1));
    assert_eq!(issuer.grant(at(9_999)), []);
    issuer.on_permit_request(at(10_000), key("next"), urgency(true, 5, 1));
    assert_eq!(issuer.grant(at(10_001)), [key("next")]);
}

#[test]
fn slow_loads_reduce_those_in_flight_and_fast_ones_restore_them() {
    let mut issuer = PermitIssuer::new(at(0), LIMITS);
    let mut now = 0;
    let mut load = |issuer: &mut PermitIssuer, took: u64| {
        now += 1_000;
        issuer.on_permit_request(at(now), key("one"), urgency(true, 5, 1));
        assert_eq!(issuer.grant(at(now)), [key("one")]);
        now += took;
        issuer.on_ended(at(now), &key("one"));
        now
    };
    for _ in 0..4 {
        load(&mut issuer, 2_000);
    }
    let now = load(&mut issuer, 2_000);
    for name in ["a", "b", "c"] {
        issuer.on_permit_request(at(now + 1_000), key(name), urgency(true, 5, 1));
    }
    assert_eq!(issuer.grant(at(now + 1_000)).len(), 1);
    assert_eq!(
        issuer.grant(at(now + 9_000)).len(),
        0,
        "granted a second load beside the one in flight at a slow store"
    );
    assert!(issuer.expected_wait(at(now + 9_000)) >= Duration::from_secs(2));
}

#[test]
fn static_shares_of_all_instances_stay_within_the_rate() {
    let instances = 9;
    let mut shares = vec![StaticShare::new(at(0), &LIMITS, instances); instances];
    let mut loads = 0;
    for millis in 0..60_000 {
        for share in &mut shares {
            loads += u32::from(share.take(at(millis), &LIMITS, instances));
        }
    }
    assert!(loads <= 120, "{loads} loads in 60 s at 2 a second");
    assert!(loads >= 108, "{loads} loads in 60 s at 2 a second");
}

proptest! {
    #[test]
    fn neither_the_rate_nor_the_number_in_flight_is_exceeded(
        steps in vec((0_u64..400, 0_u8..6, proptest::bool::ANY), 1..200),
    ) {
        let mut issuer = PermitIssuer::new(at(0), LIMITS);
        let mut now = 0;
        let mut granted = 0_u64;
        let mut in_flight = std::collections::BTreeSet::new();
        for (span, number, ends) in steps {
            now += span;
            let key = key(&format!("adapter-{number}"));
            if ends {
                issuer.on_ended(at(now), &key);
                in_flight.remove(&key);
            } else if !in_flight.contains(&key) {
                issuer.on_permit_request(at(now), key, urgency(true, 5, 1));
            }
            for grant in issuer.grant(at(now)) {
                granted += 1;
                in_flight.insert(grant);
            }
            prop_assert!(granted <= 1 + now * 2 / 1000, "{granted} permits in {now} ms");
            prop_assert!(in_flight.len() <= LIMITS.in_flight);
        }
    }
}
