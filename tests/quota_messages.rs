//! What instances send each other for the quotas of accounts, and whom they don't ask.

use std::time::Duration;

use tamaracklead::decide::quotas::LoanAsk;
use tamaracklead::decide::quotas::LoanReply;
use tamaracklead::names::AccountName;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;
use tamaracklead::send_permits::CountingInstance;
use tamaracklead::send_permits::UnresponsivePeers;
use tamaracklead::wire::frame::decode;
use tamaracklead::wire::frame::encode;
use tamaracklead::wire::quota::QuotaReply;
use tamaracklead::wire::quota::QuotaRequest;

// Guards against a reply that another place of the list gets, or a missing one that becomes a refusal.
#[test]
fn replies_keep_their_order_and_tell_a_refusal_from_an_account_that_is_not_counted() {
    let lent = LoanReply { granted: 46_000, wait_ms: 0, utilisation: 1.5 };
    let refused = LoanReply { granted: 0, wait_ms: 40, utilisation: 2.0 };
    let reply = QuotaReply { replies: vec![Some(lent), None, Some(refused)] };
    assert_eq!(decode::<QuotaReply>(&encode(&reply).unwrap()).unwrap(), reply);
    let ask = |account: &str| LoanAsk {
        account: AccountName::new(account),
        needed: u64::MAX,
        wanted: u64::MAX,
    };
    let request =
        QuotaRequest { user: InstanceName::new("entry-1"), asks: vec![ask("one"), ask("two")] };
    assert_eq!(decode::<QuotaRequest>(&encode(&request).unwrap()).unwrap(), request);
}

// Guards against bytes that make the receiver fail.
#[test]
fn a_message_that_is_cut_off_is_an_error() {
    let request = QuotaRequest { user: InstanceName::new("entry-1"), asks: Vec::new() };
    let bytes = encode(&request).unwrap();
    for length in 0..bytes.len() {
        assert!(decode::<QuotaRequest>(&bytes[..length]).is_err(), "{length} bytes");
    }
}

// Guards against asks without end of an instance that hangs, and against one that is never asked again.
#[test]
fn an_instance_that_does_not_answer_is_not_asked_for_a_second() {
    let peers = UnresponsivePeers::default();
    let [hangs, other] = ["entry-1", "entry-2"].map(InstanceName::new);
    let at = Timestamp::from_millis(5000);
    assert!(!peers.contains(at, &hangs));
    peers.add(at, &hangs);
    assert!(peers.contains(at + Duration::from_millis(999), &hangs));
    assert!(!peers.contains(at + Duration::from_millis(999), &other));
    assert!(!peers.contains(at + Duration::from_millis(1000), &hangs));
}

// Guards against a log that names the wrong instance as the counting one.
#[test]
fn the_counting_instance_has_a_name_if_it_is_known() {
    let [me, other] = ["entry-1", "entry-2"].map(InstanceName::new);
    let peer = CountingInstance::Peer(other, "127.0.0.1:9".parse().unwrap());
    let names = [CountingInstance::Own, peer, CountingInstance::Unknown];
    assert_eq!(names.each_ref().map(|counting| counting.name(&me)), ["entry-1", "entry-2", ""]);
}
