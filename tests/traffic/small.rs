//! Retry share, crash guard, shutdown, prefix tracker and wait budget.

use std::time::Duration;

use tamaracklead::decide::traffic::CrashGuard;
use tamaracklead::decide::traffic::PrefixTracker;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::RetryShare;
use tamaracklead::decide::traffic::Shutdown;
use tamaracklead::decide::traffic::Strikes;
use tamaracklead::decide::traffic::WaitBudget;
use tamaracklead::names::ServiceName;

use crate::support::at;
use crate::support::key;

const WINDOW: Duration = Duration::from_secs(10);

fn retries_granted(share: &mut RetryShare, now: u64, instances: usize) -> usize {
    let service = ServiceName::new("s");
    (0..1000).take_while(|_| share.try_take_retry(at(now), &service, instances)).count()
}

#[test]
fn retries_of_all_instances_stay_within_the_budget() {
    for instances in [1, 6, 9, 91] {
        let requests = 40;
        let each = {
            let mut share = RetryShare::new(0.2, 58.0, WINDOW);
            for _ in 0..requests {
                share.on_request(at(0), &ServiceName::new("s"));
            }
            retries_granted(&mut share, 10, instances)
        };
        let budget = 0.2 * (requests * instances) as f64 + 58.0;
        assert!(((each * instances) as f64) <= budget, "{each} each of {instances}");
    }
}

#[test]
fn the_retry_share_refills_with_the_window_and_is_separate_for_each_service() {
    let mut share = RetryShare::new(0.2, 58.0, WINDOW);
    let first = retries_granted(&mut share, 0, 2);
    assert!(first > 0);
    assert_eq!(retries_granted(&mut share, 5000, 2), 0);
    assert!(share.try_take_retry(at(5000), &ServiceName::new("other"), 2));
    assert_eq!(retries_granted(&mut share, 10_001, 2), first);
}

/// Guards against strikes that never expire, since instances tell them to each other in turn.
#[test]
fn strikes_that_instances_share_expire_at_all_of_them() {
    let (mut one, mut two) = (CrashGuard::default(), CrashGuard::default());
    for _ in 0..3 {
        one.strike(at(0), 7);
    }
    for second in 1..130 {
        let now = at(second * 1000);
        for strike in one.active_strikes(now) {
            two.on_peer_strikes(now, &strike);
        }
        for strike in two.active_strikes(now) {
            one.on_peer_strikes(now, &strike);
        }
        assert_eq!(two.refuses(now, 7), second < 120, "after {second} s");
    }
    assert!(!one.refuses(at(130_000), 7));
}

/// Guards against messages that grow with every connection that broke in the last two minutes.
#[test]
fn single_strikes_are_shared_for_some_seconds_only() {
    let mut guard = CrashGuard::default();
    for request in 0..1000 {
        guard.strike(at(0), request);
    }
    guard.strike(at(100), 7);
    assert_eq!(guard.active_strikes(at(2000)).len(), 1000);
    let shared = guard.active_strikes(at(10_000));
    let repeated = Strikes { fingerprint: 7, count: 2, age_ms: 9900 };
    assert_eq!(shared, [repeated], "for instances that have restarted");
    assert_eq!(guard.strike(at(10_000), 8), 2, "it is remembered all the same");
}

#[test]
fn a_request_that_broke_three_connections_is_refused_on_all_instances() {
    let mut guard = CrashGuard::default();
    guard.strike(at(0), 7);
    guard.strike(at(1), 7);
    assert!(!guard.refuses(at(2), 7));
    guard.strike(at(3), 7);
    assert!(guard.refuses(at(4), 7));
    assert!(!guard.refuses(at(4), 8));
    let mut other = CrashGuard::default();
    for strikes in guard.active_strikes(at(5)) {
        other.on_peer_strikes(at(5), &strikes);
    }
    assert!(other.refuses(at(6), 7));
    other.on_peer_strikes(at(7), &Strikes { fingerprint: 7, count: 1, age_ms: 0 });
    assert!(other.refuses(at(8), 7), "a lower count of a peer lowers nothing");
    assert!(!other.refuses(at(200_000), 7));
}

#[test]
fn a_shutdown_accepts_late_requests_for_a_while_and_ends_before_its_limit() {
    let shutdown = Shutdown::new(at(0), Duration::from_secs(8));
    assert!(shutdown.accepts_requests(at(2000)));
    assert!(!shutdown.accepts_requests(at(3000)));
    assert!(!shutdown.is_closing(at(1000), 0), "the load balancer may still send requests");
    assert!(shutdown.is_closing(at(3000), 0));
    assert!(!shutdown.is_closing(at(7000), 1));
    assert!(shutdown.is_closing(at(7999), 1));
}

// Guards against requests that are cut off as they arrive, and against a stop that waits for ones
// that never arrive.
#[test]
fn a_shutdown_ends_once_the_last_requests_have_arrived_and_were_answered() {
    let shutdown = Shutdown::new(at(0), Duration::from_secs(8));
    let closed_at = at(3000);
    let may_end = |now, last_accepted, unfinished, heads| {
        shutdown.may_end(at(now), closed_at, at(last_accepted), unfinished, heads)
    };
    assert!(may_end(3010, 1000, 0, 0));
    assert!(!may_end(3010, 2990, 0, 0), "a request is about to arrive");
    assert!(may_end(3100, 2990, 0, 0));
    assert!(!may_end(3400, 1000, 0, 1), "the rest of its head may come");
    assert!(may_end(3500, 1000, 0, 1));
    assert!(!may_end(7400, 1000, 1, 0));
    assert!(may_end(7500, 1000, 1, 0));
}

#[test]
fn only_the_prefix_of_parts_that_were_all_read_counts_as_cached() {
    let part = |id| PromptPart { id, tokens: 100 };
    let mut tracker = PrefixTracker::default();
    tracker.on_read(at(0), &key("a"), &[part(1), part(2)]);
    assert_eq!(tracker.cached_prefix_tokens(&key("a"), &[part(1), part(2), part(3)]), 200);
    assert_eq!(tracker.cached_prefix_tokens(&key("a"), &[part(9), part(2)]), 0);
    assert_eq!(tracker.cached_prefix_tokens(&key("b"), &[part(1)]), 0);
    tracker.forget(&key("a"));
    assert_eq!(tracker.cached_prefix_tokens(&key("a"), &[part(1)]), 0);
}

#[test]
fn the_number_of_tracked_prompt_parts_is_bounded() {
    let mut tracker = PrefixTracker::default();
    for id in 0..100_000 {
        tracker.on_read(at(id), &key("a"), &[PromptPart { id, tokens: 1 }]);
    }
    let known = (0..100_000).filter(|id| {
        tracker.cached_prefix_tokens(&key("a"), &[PromptPart { id: *id, tokens: 1 }]) > 0
    });
    assert!(known.count() <= 1024);
}

/// Guards against a request that waits for the caller's whole time, in vain, when every adapter
/// slot is in use: it may wait for one second.
#[test]
fn a_request_waits_for_its_adapter_for_one_second_in_total() {
    let left = Duration::from_secs(6);
    let mut budget = WaitBudget::default();
    assert_eq!(budget.load_wait_limit(left), Some(Duration::from_secs(1)));
    budget.charge_load_wait(Duration::from_millis(700));
    assert_eq!(budget.load_wait_limit(left), Some(Duration::from_millis(300)));
    assert_eq!(budget.load_wait_limit(Duration::from_millis(10)), Some(Duration::from_millis(10)));
    budget.charge_load_wait(Duration::from_millis(300));
    assert_eq!(budget.load_wait_limit(left), None);
    assert_eq!(WaitBudget::default().load_wait_limit(Duration::ZERO), None);
}

/// Guards against a request that is kept waiting when all replicas of its service are gone: it
/// is refused early, so that the caller may retry.
#[test]
fn a_request_without_a_replica_is_refused_early() {
    let mut budget = WaitBudget::default();
    let left = Duration::from_secs(6);
    let pauses = std::iter::from_fn(|| budget.charge_replica_wait(left));
    let waited: Duration = pauses.take(1000).sum();
    assert!(waited <= Duration::from_millis(600), "{waited:?}");
}

/// Guards against callers that are sent away for a whole lease, as one owner can't say yet that its
/// replica holds their adapter.
#[test]
fn the_time_until_orders_counts_only_once_all_owners_know_what_their_replicas_hold() {
    let lease = Duration::from_millis(3500);
    let mut budget = WaitBudget::default();
    assert_eq!(budget.orders_wait(lease, true), lease);
    let mut waited = Duration::ZERO;
    while budget.orders_wait(lease, false) < lease {
        let wait = budget.orders_wait(lease, false);
        waited += wait + budget.charge_load_wait(wait);
        assert!(waited < Duration::from_secs(1), "no end");
    }
    assert!(waited >= Duration::from_millis(300), "{waited:?}");
    let short = Duration::from_millis(10);
    assert_eq!(WaitBudget::default().orders_wait(short, false), short);
}
