//! What becomes of requests before the first listing of the published state.

use std::time::Duration;

use tamaracklead::decide::traffic::FirstListing;

use crate::support::at;

/// Time for which a client may retry.
const CLIENT_TIME: Duration = Duration::from_secs(15);
/// Most retries of a client.
const RETRIES: usize = 3;
const STARTED: u64 = 700;

/// When a client's tries arrive that begin `first` after the start of an instance that lacks the
/// listing all the while; refused ones are repeated after the time that is named.
fn arrivals(first: Duration) -> Vec<Duration> {
    let (mut arrivals, mut time) = (vec![first], first);
    for _ in 0..RETRIES {
        let mut now = at(STARTED) + time;
        while let FirstListing::Await(wait) = FirstListing::missing(now, at(STARTED)) {
            now = now + wait;
        }
        let wait = FirstListing::retry_after(now, at(STARTED));
        let left = CLIENT_TIME.saturating_sub(now.since(at(STARTED)));
        time = now.since(at(STARTED)) + wait.min(left / 3);
        arrivals.push(time);
    }
    arrivals
}

/// Guards against clients that use up their tries in the first seconds of a store's outage.
#[test]
fn the_tries_of_a_client_reach_beyond_the_first_seconds() {
    for first_ms in [0, 20, 399, 400, 1500, 3000] {
        let arrivals = arrivals(Duration::from_millis(first_ms));
        assert!(*arrivals.last().unwrap() >= Duration::from_secs(7), "{arrivals:?}");
        let before = |limit| arrivals.iter().filter(|at| **at < Duration::from_secs(limit)).count();
        assert!(before(3) < RETRIES, "{arrivals:?}");
    }
}

/// Guards against a refusal in the moments that a sound start takes, and against a wait without an end.
#[test]
fn a_request_awaits_the_first_listing_for_a_moment_only() {
    let mut awaited = Duration::ZERO;
    let mut now = at(STARTED);
    while let FirstListing::Await(wait) = FirstListing::missing(now, at(STARTED)) {
        assert!(!wait.is_zero());
        awaited += wait;
        now = now + wait;
    }
    assert!(awaited >= Duration::from_millis(200), "{awaited:?}");
    assert!(awaited <= Duration::from_millis(600), "{awaited:?}");
}

/// Guards against times that only grow, or that call clients back while the outage is all but certain to last.
#[test]
fn the_time_that_is_named_grows_with_the_outage_up_to_a_limit() {
    let named = |ms| FirstListing::retry_after(at(STARTED + ms), at(STARTED));
    assert!(named(500) >= Duration::from_secs(1));
    assert_eq!(named(6000), Duration::from_secs(6));
    assert!(named(3_600_000) <= Duration::from_secs(30));
}
