//! Client accounts: which requests run, and for which account.

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use tamaracklead::decide::accounts::Account;
use tamaracklead::decide::accounts::AccountError;
use tamaracklead::decide::accounts::Accounts;
use tamaracklead::decide::accounts::AuthVerdict;
use tamaracklead::decide::accounts::CostUnit;
use tamaracklead::decide::accounts::Credential;
use tamaracklead::decide::accounts::KeyDigest;
use tamaracklead::decide::accounts::Quota;
use tamaracklead::decide::accounts::authenticate;
use tamaracklead::decide::config_freshness::ConfigTrust;
use tamaracklead::names::AccountName;

const CASES: u32 = 512;
const SEED: u8 = 34;

fn account(name: &str) -> Account {
    Account { name: AccountName::new(name), priority: None, quota: None }
}

fn quota(rate: f64, burst: f64) -> Quota {
    Quota { rate, burst, unit: CostUnit::Tokens, plain_cost: 200 }
}

fn digests(keys: &[&str]) -> Vec<KeyDigest> {
    keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect()
}

fn accounts(list: &[(&str, &[&str])]) -> Result<Accounts, AccountError> {
    Accounts::new(list.iter().map(|(name, keys)| (account(name), digests(keys))).collect())
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

/// Name of the account that a verdict is for, or the verdict's own name in angle brackets.
fn label(verdict: &AuthVerdict) -> &str {
    match verdict {
        AuthVerdict::Anonymous => "<anonymous>",
        AuthVerdict::Account(account) => account.name.as_str(),
        AuthVerdict::Unauthorized => "<401>",
        AuthVerdict::Undecided => "<503>",
    }
}

// Guards against a key that is refused although it may be new, or accepted although it may be revoked.
#[test]
fn the_verdict_depends_on_the_key_and_on_how_far_the_configuration_is_trusted() {
    let known = accounts(&[("one", &["k1", "k2"]), ("two", &["k3"])]).unwrap();
    let trusts = [ConfigTrust::Current, ConfigTrust::Known, ConfigTrust::Stale];
    for (credential, verdicts, public_verdicts) in [
        (key("k2"), ["one", "one", "<503>"], ["one", "one", "<anonymous>"]),
        (key("k3"), ["two", "two", "<503>"], ["two", "two", "<anonymous>"]),
        (key("k9"), ["<401>", "<503>", "<503>"], ["<anonymous>"; 3]),
        (Credential::Absent, ["<401>"; 3], ["<anonymous>"; 3]),
        (Credential::Invalid, ["<401>"; 3], ["<anonymous>"; 3]),
    ] {
        for (index, trust) in trusts.into_iter().enumerate() {
            let verdict = |is_public| authenticate(Some(&known), is_public, &credential, trust);
            assert_eq!(label(&verdict(false)), verdicts[index], "{credential:?} {trust:?}");
            assert_eq!(label(&verdict(true)), public_verdicts[index], "{credential:?} {trust:?}");
        }
    }
}

// Guards against keys that are asked for where there are no accounts, and against an empty list of
// accounts that lets everyone in.
#[test]
fn without_accounts_nobody_needs_a_key_and_with_none_listed_nobody_has_one() {
    let empty = accounts(&[]).unwrap();
    for trust in [ConfigTrust::Current, ConfigTrust::Known, ConfigTrust::Stale] {
        for credential in [Credential::Absent, Credential::Invalid, key("k1")] {
            let without = authenticate(None, false, &credential, trust);
            assert_eq!(without, AuthVerdict::Anonymous, "{credential:?} {trust:?}");
            let verdict = authenticate(Some(&empty), false, &credential, trust);
            assert!(["<401>", "<503>"].contains(&label(&verdict)), "{credential:?} {trust:?}");
        }
    }
}

// Guards against a list that gives one key to two accounts, so that it is by chance which one pays.
#[test]
fn an_ambiguous_or_invalid_list_is_refused() {
    let name = AccountName::new;
    for (list, fault) in [
        (&[("", &["k1"] as &[&str])] as &[(&str, &[&str])], AccountError::EmptyName),
        (&[("a", &["k1", ""])], AccountError::EmptyKey(name("a"))),
        (&[("a", &["k1"]), ("a", &["k2"])], AccountError::DuplicateName(name("a"))),
        (&[("a", &["k1"]), ("a", &["k1"])], AccountError::DuplicateName(name("a"))),
        (&[("a", &["k1"]), ("b", &["k2", "k1"])], AccountError::SharedKey(name("a"), name("b"))),
    ] {
        assert_eq!(accounts(list), Err(fault), "{list:?}");
    }
    for (rate, burst) in [
        (0.0, 1.0),
        (-1.0, 1.0),
        (f64::NAN, 1.0),
        (f64::INFINITY, 1.0),
        (1.0, -1.0),
        (1.0, f64::NAN),
        (1.0, f64::INFINITY),
    ] {
        let limited = Account { quota: Some(quota(rate, burst)), ..account("a") };
        let fault = Err(AccountError::InvalidQuota(name("a")));
        assert_eq!(Accounts::new(vec![(limited, Vec::new())]), fault, "{rate} {burst}");
    }
}

// Guards against a sound list that is refused: an account without keys, or one that lists a key twice.
#[test]
fn accounts_are_found_by_name_and_by_each_of_their_keys() {
    let known = accounts(&[("one", &["k1", "k1", "k2"]), ("two", &[])]).unwrap();
    let holder = |key: &str| known.holder(&KeyDigest::of(key.as_bytes()));
    assert_eq!(holder("k1"), known.get(&AccountName::new("one")));
    assert_eq!(holder("k2"), known.get(&AccountName::new("one")));
    assert_eq!(holder("K1"), None, "keys are compared byte for byte");
    assert!(known.get(&AccountName::new("two")).is_some());
    assert!(known.get(&AccountName::new("three")).is_none());
}

// Guards against keys or their digests in logs.
#[test]
fn neither_a_key_nor_its_digest_is_shown() {
    let known = accounts(&[("one", &["secret"])]).unwrap();
    let shared = accounts(&[("one", &["secret"]), ("two", &["secret"])]).unwrap_err();
    let text = format!("{known:?} {:?} {shared:?} {shared}", key("secret"));
    assert!(!text.contains("secret"), "{text}");
    // First byte of the digest, in decimal and hexadecimal.
    assert!(!text.contains("43") && !text.contains("2b"), "{text}");
}

// Guards against requests that cost nothing.
#[test]
fn a_request_costs_its_tokens_or_the_plain_cost_and_at_least_one() {
    let in_tokens = quota(1.0, 1.0);
    assert_eq!(in_tokens.cost(Some(1010)), 1010);
    assert_eq!(in_tokens.cost(None), 200);
    assert_eq!(in_tokens.cost(Some(0)), 1);
    assert_eq!(Quota { plain_cost: 0, ..in_tokens }.cost(None), 1);
    let in_requests = Quota { unit: CostUnit::Requests, ..in_tokens };
    assert_eq!(in_requests.cost(Some(1010)), 1);
}

fn trusts() -> impl Strategy<Value = ConfigTrust> {
    prop_oneof![Just(ConfigTrust::Current), Just(ConfigTrust::Known), Just(ConfigTrust::Stale)]
}

/// Lists of accounts whose names and keys collide often.
fn lists() -> impl Strategy<Value = Vec<(String, Vec<String>)>> {
    vec(("[a-d]?", vec("[k-p]{0,2}", 0..4)), 0..6)
}

// Guards against panics, and against a request that runs for an account which doesn't list its key.
#[test]
fn no_list_of_accounts_lets_a_request_run_for_an_account_without_its_key() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[SEED; 32]);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let cases = (lists(), "[k-p]{0,2}", trusts(), any::<bool>());
    TestRunner::new_with_rng(config, rng)
        .run(&cases, |(list, sent, trust, is_public)| {
            let entries = list.iter().map(|(name, keys)| {
                (account(name), keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect())
            });
            let Ok(known) = Accounts::new(entries.collect()) else { return Ok(()) };
            let holder = list.iter().find(|(_, keys)| keys.contains(&sent));
            match (authenticate(Some(&known), is_public, &key(&sent), trust), holder) {
                (AuthVerdict::Account(account), Some((name, _))) => {
                    assert_eq!(account.name.as_str(), name);
                    assert_ne!(trust, ConfigTrust::Stale);
                }
                (AuthVerdict::Account(account), None) => panic!("{account:?} has no such key"),
                (AuthVerdict::Anonymous, _) => assert!(is_public),
                (AuthVerdict::Unauthorized, holder) => {
                    assert!(holder.is_none() && trust == ConfigTrust::Current && !is_public);
                }
                (AuthVerdict::Undecided, _) => {
                    assert!(trust != ConfigTrust::Current && !is_public);
                }
            }
            Ok(())
        })
        .unwrap();
}
