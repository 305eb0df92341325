//! Single decisions of one instance about its configuration.

use std::time::Duration;

use tamaracklead::decide::config_freshness::ConfigFreshness;
use tamaracklead::decide::config_freshness::ConfigProof;
use tamaracklead::decide::config_freshness::ConfigTrust;
use tamaracklead::decide::config_freshness::FreshnessLimits;
use tamaracklead::names::Timestamp;

/// Time of boot-based timestamps at which the tests begin.
const START_MS: u64 = 1_000_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(START_MS + ms)
}

fn limits(revocation_ms: Option<u64>) -> FreshnessLimits {
    FreshnessLimits {
        revocation: revocation_ms.map(Duration::from_millis),
        propagation: Duration::from_millis(3000),
    }
}

fn proof(version: u64, age_ms: u64) -> ConfigProof {
    ConfigProof { version, age_ms }
}

/// An instance with version 5 that awaits no peer.
fn joined(revocation_ms: Option<u64>) -> ConfigFreshness {
    let mut freshness = ConfigFreshness::new(limits(revocation_ms));
    freshness.stop_awaiting_peer();
    freshness.on_applied(5);
    freshness
}

/// An instance whose read was asked for at time 0.
fn fresh() -> ConfigFreshness {
    let mut freshness = joined(Some(5000));
    freshness.on_read(at(0));
    freshness
}

#[test]
fn trust_ends_a_margin_before_each_limit() {
    let freshness = fresh();
    let cases = [
        (0, ConfigTrust::Current),
        (2849, ConfigTrust::Current),
        (2850, ConfigTrust::Known),
        (4749, ConfigTrust::Known),
        (4750, ConfigTrust::Stale),
        (1_000_000, ConfigTrust::Stale),
    ];
    for (ms, trust) in cases {
        assert_eq!(freshness.trust(at(ms)), trust, "{ms} ms");
    }
}

/// Guards against an instance that trusts what it has before anything proves it.
#[test]
fn nothing_is_trusted_without_a_configuration_or_a_proof() {
    let mut freshness = ConfigFreshness::new(limits(Some(5000)));
    assert_eq!(freshness.trust(at(0)), ConfigTrust::Stale);
    assert_eq!(freshness.proof(at(0)), None);
    freshness.stop_awaiting_peer();
    freshness.on_read(at(0));
    freshness.on_applied(5);
    assert_eq!(freshness.trust(at(0)), ConfigTrust::Stale);
    assert_eq!(freshness.proof(at(0)), Some(proof(5, u64::MAX)));
}

/// Guards against refusals in deployments that set no limit on revoked keys.
#[test]
fn without_a_revocation_limit_keys_stay_known() {
    let mut freshness = joined(None);
    assert_eq!(freshness.trust(at(0)), ConfigTrust::Known);
    freshness.on_peer_proof(at(0), proof(6, 0));
    assert_eq!(freshness.trust(at(100_000)), ConfigTrust::Known);
    assert_eq!(freshness.trust_without_clock(), ConfigTrust::Known);
    assert_eq!(fresh().trust_without_clock(), ConfigTrust::Stale);
}

#[test]
fn the_age_of_a_peer_counts_from_when_it_was_called() {
    let mut freshness = joined(Some(5000));
    freshness.on_peer_proof(at(4000), proof(5, 1000));
    assert_eq!(freshness.age(at(4500)), Some(Duration::from_millis(1500)));
    // An older proof, or an older call whose reply comes later, takes nothing away.
    freshness.on_peer_proof(at(4200), proof(5, 3000));
    freshness.on_read(at(2000));
    assert_eq!(freshness.age(at(4500)), Some(Duration::from_millis(1500)));
}

/// Guards against a proof that counts as young since its age overflows or exceeds the clock.
#[test]
fn a_proof_from_before_the_clock_began_proves_nothing() {
    for age_ms in [START_MS, START_MS + 1, u64::MAX / 1000, u64::MAX] {
        let mut freshness = joined(Some(5000));
        freshness.on_peer_proof(at(0), proof(5, age_ms));
        assert_eq!(freshness.age(at(0)), None, "{age_ms}");
    }
}

/// Guards against ages that lose a part of a millisecond at each instance that passes them on.
#[test]
fn ages_are_rounded_up() {
    let freshness = fresh();
    let now = at(10) + Duration::from_micros(1);
    assert_eq!(freshness.proof(now), Some(proof(5, 11)));
}

#[test]
fn a_higher_version_ends_trust_unless_it_comes_in_time() {
    let mut freshness = fresh();
    freshness.on_peer_proof(at(1000), proof(6, 200));
    assert_eq!(freshness.trust(at(1000)), ConfigTrust::Known);
    // A read that shows the own version nevertheless is one of a restored store.
    freshness.on_read(at(2000));
    assert_eq!(freshness.trust(at(2750)), ConfigTrust::Known);
    assert_eq!(freshness.trust(at(2751)), ConfigTrust::Stale);
    freshness.on_applied(6);
    assert_eq!(freshness.trust(at(2751)), ConfigTrust::Current, "the peer's proof counts now");
    assert_eq!(freshness.age(at(2751)), Some(Duration::from_millis(1951)));
}

/// Guards against an instance that refuses keys in a series of versions, each of which reaches it in
/// time.
#[test]
fn versions_that_each_come_in_time_leave_the_trust_as_it_is() {
    let mut freshness = fresh();
    for step in 0..40 {
        let ms = step * 300;
        freshness.on_peer_proof(at(ms), proof(6 + step, 100));
        if step > 0 {
            freshness.on_applied(5 + step);
        }
        assert_ne!(freshness.trust(at(ms)), ConfigTrust::Stale, "{ms} ms");
    }
}

/// Guards against a proof of a restored store's version that counts for the higher one here.
#[test]
fn a_peer_with_a_lower_version_proves_nothing() {
    let mut freshness = joined(Some(5000));
    freshness.on_peer_proof(at(0), proof(4, 0));
    assert_eq!(freshness.trust(at(0)), ConfigTrust::Stale);
    assert_eq!(freshness.highest_version(), Some(5));
}

#[test]
fn a_version_that_cannot_be_decoded_ends_proofs_until_the_next_one() {
    let mut freshness = fresh();
    freshness.on_undecodable();
    freshness.on_read(at(3000));
    assert_eq!(freshness.age(at(3000)), Some(Duration::from_secs(3)));
    assert!(!freshness.needs_read(at(3000)), "a read would prove nothing");
    freshness.on_applied(7);
    freshness.on_read(at(3100));
    assert_eq!(freshness.trust(at(3100)), ConfigTrust::Current);
}

/// Guards against a restarted instance that trusts the listing of a restored store before a peer
/// could name a higher version.
#[test]
fn after_the_start_reads_count_once_a_peer_in_touch_has_answered() {
    let mut freshness = ConfigFreshness::new(limits(Some(5000)));
    freshness.on_applied(5);
    freshness.on_read(at(0));
    assert_eq!(freshness.trust(at(10)), ConfigTrust::Stale);
    freshness.on_peer_proof(at(10), proof(5, u64::MAX));
    assert_eq!(freshness.trust(at(20)), ConfigTrust::Stale, "the peer has just started too");
    let mut other = freshness.clone();
    freshness.on_peer_proof(at(30), proof(5, 2000));
    assert_eq!(freshness.age(at(40)), Some(Duration::from_millis(40)), "the read counts");
    other.on_peer_proof(at(30), proof(6, 2000));
    assert_eq!(other.trust(at(40)), ConfigTrust::Stale);
    other.on_read(at(50));
    assert_eq!(other.trust(at(60)), ConfigTrust::Stale);
}

#[test]
fn after_a_restore_reads_count_once_a_peer_was_asked() {
    let mut freshness = fresh();
    freshness.on_restored(at(1000));
    freshness.on_read(at(1100));
    freshness.on_peer_proof(at(900), proof(5, 10));
    assert_eq!(freshness.age(at(1100)), Some(Duration::from_millis(210)), "asked before it");
    freshness.on_peer_proof(at(1200), proof(5, 2849));
    assert_eq!(freshness.age(at(1200)), Some(Duration::from_millis(100)));
}

/// Guards against a fleet that refuses keys for good after a store was down and came back restored,
/// since no instance was in touch when it came.
#[test]
fn after_a_restore_peers_that_were_not_in_touch_count_after_a_while() {
    let mut freshness = fresh();
    freshness.on_restored(at(10_000));
    for ms in [10_100, 11_499] {
        freshness.on_read(at(ms));
        freshness.on_peer_proof(at(ms), proof(5, 9000));
        assert_eq!(freshness.trust(at(ms)), ConfigTrust::Stale);
    }
    freshness.on_peer_proof(at(11_500), proof(5, 9000));
    assert_eq!(freshness.trust(at(11_500)), ConfigTrust::Current);
}

#[test]
fn a_read_is_needed_at_half_of_the_shorter_limit() {
    let freshness = fresh();
    assert!(!freshness.needs_read(at(1499)));
    assert!(freshness.needs_read(at(1500)));
    let mut strict = joined(Some(2000));
    assert!(strict.needs_read(at(0)), "without a proof");
    strict.on_read(at(0));
    assert!(!strict.needs_read(at(999)));
    assert!(strict.needs_read(at(1000)));
}
