//! Retry share, crash guard, shutdown, remembered prompts.

use std::time::Duration;

use tamaracklead::decide::traffic::CrashGuard;
use tamaracklead::decide::traffic::PrefixTracker;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::RetryShare;
use tamaracklead::decide::traffic::Shutdown;
use tamaracklead::decide::traffic::WaitBudget;
use tamaracklead::names::ServiceName;

use crate::support::at;
use crate::support::key;

const WINDOW: Duration = Duration::from_secs(10);

fn taken(share: &mut RetryShare, now: u64, instances: usize) -> usize {
    let service = ServiceName::new("s");
    (0..1000).take_while(|_| share.take(at(now), &service, instances)).count()
}

#[test]
fn all_instances_together_stay_within_the_budget() {
    for instances in [1, 6, 9, 91] {
        let requests = 40;
        let each = {
            let mut share = RetryShare::new(0.2, 58.0, WINDOW);
            for _ in 0..requests {
                share.on_request(at(0), &ServiceName::new("s"));
            }
            taken(&mut share, 10, instances)
        };
        let budget = 0.2 * (requests * instances) as f64 + 58.0;
        assert!(((each * instances) as f64) <= budget, "{each} each of {instances}");
    }
}

#[test]
fn the_share_comes_back_with_the_window_and_services_do_not_share_it() {
    let mut share = RetryShare::new(0.2, 58.0, WINDOW);
    let first = taken(&mut share, 0, 2);
    assert!(first > 0);
    assert_eq!(taken(&mut share, 5000, 2), 0);
    assert!(share.take(at(5000), &ServiceName::new("other"), 2));
    assert_eq!(taken(&mut share, 10_001, 2), first);
}

#[test]
fn a_request_that_broke_three_replicas_is_refused_everywhere() {
    let mut guard = CrashGuard::default();
    guard.strike(at(0), 7);
    guard.strike(at(1), 7);
    assert!(!guard.refuses(at(2), 7));
    guard.strike(at(3), 7);
    assert!(guard.refuses(at(4), 7));
    assert!(!guard.refuses(at(4), 8));
    let mut other = CrashGuard::default();
    for (fingerprint, count) in guard.active_strikes(at(5)) {
        other.on_peer_count(at(5), fingerprint, count);
    }
    assert!(other.refuses(at(6), 7));
    other.on_peer_count(at(7), 7, 1);
    assert!(other.refuses(at(8), 7), "an older count takes nothing back");
    assert!(!other.refuses(at(200_000), 7));
}

#[test]
fn a_shutdown_takes_late_requests_for_a_while_and_never_past_its_limit() {
    let shutdown = Shutdown::new(at(0), Duration::from_secs(8));
    assert!(shutdown.takes_work(at(2000)));
    assert!(!shutdown.takes_work(at(3000)));
    assert!(!shutdown.is_over(at(1000), 0), "callers may still come");
    assert!(shutdown.is_over(at(3000), 0));
    assert!(!shutdown.is_over(at(7000), 1));
    assert!(shutdown.is_over(at(7999), 1));
}

#[test]
fn only_parts_behind_known_parts_count_as_read() {
    let part = |id| PromptPart { id, tokens: 100 };
    let mut memory = PrefixTracker::default();
    memory.on_read(at(0), &key("a"), &[part(1), part(2)]);
    assert_eq!(memory.cached_prefix_tokens(&key("a"), &[part(1), part(2), part(3)]), 200);
    assert_eq!(memory.cached_prefix_tokens(&key("a"), &[part(9), part(2)]), 0);
    assert_eq!(memory.cached_prefix_tokens(&key("b"), &[part(1)]), 0);
    memory.forget(&key("a"));
    assert_eq!(memory.cached_prefix_tokens(&key("a"), &[part(1)]), 0);
}

#[test]
fn remembered_parts_are_bounded() {
    let mut memory = PrefixTracker::default();
    for id in 0..100_000 {
        memory.on_read(at(id), &key("a"), &[PromptPart { id, tokens: 1 }]);
    }
    let known = (0..100_000).filter(|id| {
        memory.cached_prefix_tokens(&key("a"), &[PromptPart { id: *id, tokens: 1 }]) > 0
    });
    assert!(known.count() <= 1024);
}

/// Every place for adapters in use: one second of waiting, not the caller's whole time.
#[test]
fn a_request_waits_for_its_adapter_for_a_second_in_all() {
    let left = Duration::from_secs(6);
    let mut patience = WaitBudget::default();
    assert_eq!(patience.load_wait_limit(left), Some(Duration::from_secs(1)));
    patience.on_load_wait(Duration::from_millis(700));
    assert_eq!(patience.load_wait_limit(left), Some(Duration::from_millis(300)));
    assert_eq!(
        patience.load_wait_limit(Duration::from_millis(10)),
        Some(Duration::from_millis(10))
    );
    patience.on_load_wait(Duration::from_millis(300));
    assert_eq!(patience.load_wait_limit(left), None);
    assert_eq!(WaitBudget::default().load_wait_limit(Duration::ZERO), None);
}

/// All replicas of a service gone: refused after a moment, so that the caller may come back.
#[test]
fn a_request_without_a_replica_is_given_up_soon() {
    let mut patience = WaitBudget::default();
    let left = Duration::from_secs(6);
    let pauses = std::iter::from_fn(|| patience.wait_for_replica(left));
    let waited: Duration = pauses.take(1000).sum();
    assert!(waited <= Duration::from_millis(600), "{waited:?}");
}
