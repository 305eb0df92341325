//! What a process does while its addresses are taken: a model in virtual time, without a network.

use std::time::Duration;

use tamaracklead::decide::listening::BindFailure;
use tamaracklead::decide::listening::BindRetry;
use tamaracklead::decide::listening::FleetRole;
use tamaracklead::decide::listening::ListenAddress;
use tamaracklead::decide::listening::Listening;
use tamaracklead::names::Timestamp;

/// Time after which an earlier process has ended.
const PREDECESSOR_LIMIT: Duration = Duration::from_secs(10);
/// Longest time in which an address that is free may stay untaken.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Most tries a second that an address may cost while it stays taken for long.
const MAX_TRIES_PER_S: f64 = 5.0;

const NEEDED: [ListenAddress; 3] =
    [ListenAddress::Caller, ListenAddress::Ready, ListenAddress::Peer];

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn start() -> Listening {
    Listening::new(at(0), PREDECESSOR_LIMIT, ListenAddress::ALL)
}

fn with_bound(bound: &[ListenAddress]) -> Listening {
    let mut listening = start();
    for address in bound {
        listening.on_bound(at(0), *address);
    }
    listening
}

/// Tries `address` from `from` until `until` as the result tells; returns the number of tries, and how
/// many of them are news.
fn try_until(
    listening: &mut Listening,
    address: ListenAddress,
    (from, until): (u64, u64),
    failure: impl Fn(u64) -> BindFailure,
) -> (usize, usize) {
    let (mut now, mut tries, mut news) = (from, 0, 0);
    while now < until {
        let BindRetry { delay, is_news } = listening.on_failure(at(now), address, failure(now));
        assert!(!delay.is_zero() && delay <= MAX_RETRY_DELAY, "{now}: {delay:?}");
        tries += 1;
        news += usize::from(is_news);
        now += u64::try_from(delay.as_millis()).unwrap();
    }
    (tries, news)
}

/// Guards against a process that ends, or tries without a pause, since an address is taken for hours.
#[test]
fn an_address_that_is_taken_for_hours_is_tried_again_and_ends_nothing() {
    let hours = Duration::from_secs(6 * 3600);
    let until = u64::try_from(hours.as_millis()).unwrap();
    for address in ListenAddress::ALL {
        let mut listening = start();
        let (tries, news) = try_until(&mut listening, address, (0, until), |_| BindFailure::Taken);
        assert_eq!(news, 1, "one line a change");
        assert!((tries as f64) < MAX_TRIES_PER_S * hours.as_secs_f64(), "{tries}");
        assert_eq!(listening.on_bound(at(until), address), Some(hours));
        assert!(listening.is_bound(address));
    }
}

/// Guards against an address that comes with its interface later and isn't taken, or that the process may
/// not use, and a process that never says so, tries without a pause or can't take it afterwards.
#[test]
fn an_address_that_the_machine_lacks_or_denies_is_named_once_and_tried_for_hours() {
    let until = 6 * 3_600_000;
    for address in ListenAddress::ALL {
        for failure in [BindFailure::NotThere, BindFailure::Permanent] {
            let mut listening = start();
            let (tries, news) = try_until(&mut listening, address, (0, until), |_| failure);
            assert_eq!(news, 1, "{address:?}");
            assert!((tries as f64) < MAX_TRIES_PER_S * until as f64 / 1e3, "{tries}");
            assert!(listening.missing().any(|missing| missing == address));
            assert!(listening.on_bound(at(until), address).is_some());
            assert!(listening.is_bound(address));
        }
    }
}

/// Guards against a log that is silent about a new reason, or repeats an old one.
#[test]
fn each_change_of_the_reason_is_news_once() {
    let mut listening = start();
    let failure = |now: u64| {
        if (now / 1000).is_multiple_of(2) { BindFailure::Taken } else { BindFailure::NotThere }
    };
    let (_, news) = try_until(&mut listening, ListenAddress::Peer, (0, 9_000), failure);
    assert_eq!(news, 9);
}

/// Guards against two processes of one instance that both give orders, or tell others of themselves.
#[test]
fn without_its_address_for_peers_an_instance_is_an_observer_until_an_earlier_process_has_ended() {
    let mut listening = with_bound(&[ListenAddress::Caller, ListenAddress::Ready]);
    for ms in [0, 1, 5_000, 9_999] {
        assert_eq!(listening.fleet_role(at(ms)), FleetRole::Observer, "{ms}");
    }
    for ms in [10_000, 60_000, 3_600_000] {
        assert_eq!(listening.fleet_role(at(ms)), FleetRole::Limited, "{ms}");
    }
    listening.on_bound(at(3_600_001), ListenAddress::Peer);
    assert_eq!(listening.fleet_role(at(3_600_001)), FleetRole::Full);
}

/// Guards against a second process of an instance that takes the first one's place in the fleet, though
/// it serves nobody.
#[test]
fn an_instance_with_neither_callers_nor_peers_stays_an_observer() {
    let listening = with_bound(&[ListenAddress::Ready, ListenAddress::Metrics]);
    for ms in [0, 10_000, 86_400_000] {
        assert_eq!(listening.fleet_role(at(ms)), FleetRole::Observer, "{ms}");
    }
}

/// Guards against an instance that does less than it can while an address is missing on which that
/// doesn't depend.
#[test]
fn only_the_address_for_peers_decides_what_others_may_rely_on() {
    for missing in [ListenAddress::Caller, ListenAddress::Ready] {
        let bound: Vec<ListenAddress> =
            ListenAddress::ALL.into_iter().filter(|address| *address != missing).collect();
        let listening = with_bound(&bound);
        assert_eq!(listening.fleet_role(at(0)), FleetRole::Full, "{missing:?}");
        assert_eq!(listening.missing().collect::<Vec<_>>(), [missing]);
    }
}

/// Guards against an address that counts as missing though it was there at once, or isn't configured.
#[test]
fn what_is_bound_at_once_or_not_configured_is_not_missing() {
    let mut listening = Listening::new(at(0), PREDECESSOR_LIMIT, NEEDED);
    for address in NEEDED {
        assert_eq!(listening.on_bound(at(0), address), None);
    }
    assert_eq!(listening.missing().count(), 0);
}
