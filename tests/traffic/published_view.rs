//! Views of the published state, read by few instances and synchronised between all.

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::traffic::PublishedEvent;
use tamaracklead::decide::traffic::PublishedItem;
use tamaracklead::decide::traffic::PublishedView;
use tamaracklead::decide::traffic::ViewChanges;
use tamaracklead::decide::traffic::ViewDigest;

use crate::support::at;

fn item(key: &str, rev: u64) -> PublishedItem {
    PublishedItem { key: key.to_owned(), value: Bytes::from(rev.to_string()), rev, created: 0 }
}

fn written(key: &str, rev: u64) -> PublishedEvent {
    PublishedEvent::Written(item(key, rev))
}

fn removed(key: &str, rev: u64) -> PublishedEvent {
    PublishedEvent::Removed { key: key.to_owned(), rev }
}

fn apply(view: &mut PublishedView, event: &PublishedEvent) {
    if view.apply(event)
        && let PublishedEvent::Written(item) = event
    {
        view.mark_for_sharing(&item.key);
    }
}

/// Applies a peer's changes to a view, as the relay does.
fn catch_up(now: u64, view: &mut PublishedView, changes: ViewChanges) {
    let (as_of, is_whole) = (changes.as_of.unwrap(), changes.whole);
    let events = if changes.whole {
        let items = changes.events.into_iter().map(|event| match event {
            PublishedEvent::Written(item) => item,
            PublishedEvent::Removed { .. } => panic!("a listing of all items has no removals"),
        });
        view.changes_to(items.collect(), as_of)
    } else {
        changes.events
    };
    for event in &events {
        apply(view, event);
    }
    if is_whole {
        view.on_peers_items(as_of, at(now));
    } else {
        view.on_complete(as_of, at(now));
    }
}

fn keys(view: &PublishedView) -> Vec<(String, u64)> {
    let all = view.changes_after(at(0), 0, None);
    let key = |event| match event {
        PublishedEvent::Written(item) => (item.key, item.rev),
        PublishedEvent::Removed { key, rev } => (key, rev),
    };
    let mut keys: Vec<_> = all.events.into_iter().map(key).collect();
    keys.sort();
    keys
}

#[test]
fn a_view_that_applies_the_changes_of_another_becomes_equal_to_it() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut reader, mut other) = (PublishedView::default(), PublishedView::default());
        reader.on_complete(1, at(0));
        for rev in 2..300 {
            let key = format!("k{}", rng.random_range(0..12));
            let event = if rng.random_bool(0.3) { removed(&key, rev) } else { written(&key, rev) };
            apply(&mut reader, &event);
            reader.on_complete(rev, at(rev));
            if rng.random_bool(0.1) {
                let changes = reader.changes_after(at(rev), 0, other.as_of());
                catch_up(rev, &mut other, changes);
                assert_eq!(keys(&reader), keys(&other), "seed {seed}, revision {rev}");
            }
        }
    }
}

#[test]
fn only_changes_since_the_peers_revision_are_sent() {
    let mut reader = PublishedView::default();
    reader.on_complete(1, at(0));
    for rev in 2..50 {
        apply(&mut reader, &written(&format!("k{rev}"), rev));
        reader.on_complete(rev, at(rev));
    }
    apply(&mut reader, &removed("k2", 50));
    reader.on_complete(50, at(50));
    let changes = reader.changes_after(at(50), 0, Some(47));
    assert!(!changes.whole);
    let expected = [written("k48", 48), written("k49", 49), removed("k2", 50)];
    assert_eq!(changes.events, expected);
}

#[test]
fn a_view_older_than_the_kept_tombstones_is_sent_all_items() {
    let mut reader = PublishedView::default();
    reader.on_complete(1, at(0));
    apply(&mut reader, &written("stays", 2));
    for rev in (3..2003).step_by(2) {
        apply(&mut reader, &written("k", rev));
        apply(&mut reader, &removed("k", rev + 1));
        reader.on_complete(rev + 1, at(rev));
    }
    let changes = reader.changes_after(at(3000), 0, Some(10));
    assert!(changes.whole);
    assert_eq!(changes.events, [written("stays", 2)]);
    let mut other = PublishedView::default();
    apply(&mut other, &written("k", 9));
    other.on_complete(10, at(0));
    catch_up(3000, &mut other, changes);
    assert_eq!(keys(&other), [("stays".to_owned(), 2)]);
}

#[test]
fn changes_are_requested_only_from_a_peer_that_has_some_to_share() {
    let (mut reader, mut other) = (PublishedView::default(), PublishedView::default());
    apply(&mut reader, &written("a", 5));
    reader.on_complete(9, at(0));
    assert!(other.on_peer_digest(at(10), &reader.digest(at(10)), false));
    assert!(
        !other.on_peer_digest(at(20), &reader.digest(at(20)), false),
        "the requested changes are awaited"
    );
    let changes = reader.changes_after(at(20), 0, None);
    catch_up(20, &mut other, changes);
    assert!(!other.on_peer_digest(at(2000), &reader.digest(at(2000)), false));
    reader.apply(&written("a", 12));
    reader.on_complete(12, at(2500));
    assert!(
        !other.on_peer_digest(at(2600), &reader.digest(at(2600)), false),
        "that change isn't marked for sharing"
    );
    assert_eq!(other.as_of(), Some(12));
    apply(&mut reader, &written("a", 13));
    reader.on_complete(13, at(2700));
    assert!(other.on_peer_digest(at(2800), &reader.digest(at(2800)), false));
}

#[test]
fn a_view_that_no_peer_keeps_current_is_read_by_the_instance_itself() {
    let (mut reader, mut other) = (PublishedView::default(), PublishedView::default());
    reader.on_complete(5, at(0));
    other.on_complete(5, at(0));
    for now in (500..6000).step_by(500) {
        reader.on_complete(5, at(now));
        other.on_peer_digest(at(now + 100), &reader.digest(at(now + 100)), false);
        assert!(other.is_current(at(now + 100)), "at {now}");
    }
    let stale = reader.digest(at(9000));
    other.on_peer_digest(at(9000), &stale, false);
    assert!(!other.is_current(at(9000)), "the age of a peer's view counts");
}

/// Guards against an item that is back for good since a peer that hasn't heard of its removal sends all
/// of its items.
#[test]
fn a_listing_from_before_a_removal_does_not_undo_it() {
    let (mut view, mut peer) = (PublishedView::default(), PublishedView::default());
    for view in [&mut view, &mut peer] {
        apply(view, &written("k", 5));
        view.on_complete(9, at(0));
    }
    apply(&mut view, &removed("k", 10));
    view.on_complete(10, at(100));
    catch_up(200, &mut view, peer.changes_after(at(200), 0, None));
    assert_eq!(keys(&view), []);
    apply(&mut view, &written("k", 11));
    assert_eq!(keys(&view), [("k".to_owned(), 11)], "it was written again");
}

/// Guards against a view that takes itself for complete since a peer that listed after a removal has no
/// changes to tell.
#[test]
fn a_view_is_not_completed_by_a_peer_that_never_knew_what_was_removed() {
    let (mut view, mut peer) = (PublishedView::default(), PublishedView::default());
    for view in [&mut view, &mut peer] {
        apply(view, &written("stays", 4));
    }
    apply(&mut view, &written("k", 5));
    view.on_complete(9, at(0));
    view.last_success = Some(at(2900));
    peer.on_complete(12, at(3000));
    assert!(!view.on_peer_digest(at(3000), &peer.digest(at(3000)), false));
    assert_eq!(view.as_of(), Some(9));
    assert!(!view.is_current(at(3000)), "it has to read the store");
    apply(&mut view, &removed("k", 10));
    view.on_complete(12, at(3100));
    peer.on_complete(14, at(3200));
    assert!(!view.on_peer_digest(at(3200), &peer.digest(at(3200)), false));
    assert_eq!(view.as_of(), Some(14));
}

/// Guards against an instance that the store refuses, and that stays out of date although peers are
/// current.
#[test]
fn a_view_that_can_not_be_read_takes_all_items_of_a_peer_that_listed_later() {
    let (mut view, mut peer) = (PublishedView::default(), PublishedView::default());
    apply(&mut peer, &written("stays", 4));
    apply(&mut view, &written("stays", 4));
    apply(&mut view, &written("k", 5));
    view.on_complete(9, at(0));
    (view.last_success, view.last_failure) = (Some(at(0)), Some(at(100)));
    peer.on_complete(12, at(3000));
    assert!(view.on_peer_digest(at(3000), &peer.digest(at(3000)), false));
    assert!(!view.on_peer_digest(at(3100), &peer.digest(at(3100)), false), "they are awaited");
    let changes = peer.changes_after(at(3150), 0, view.as_of());
    catch_up(3150, &mut view, changes);
    assert_eq!(keys(&view), keys(&peer));
    assert!(view.is_current(at(3200)));
}

/// Guards against an instance that serves from an old listing without reading what came after.
#[test]
fn a_view_of_an_old_listing_is_complete_but_not_current() {
    let mut view = PublishedView::default();
    view.on_complete(40, at(0));
    view.on_old_listing(at(0));
    assert!(view.was_listed() && !view.is_current(at(1)));
    assert!(!view.is_usable(at(4999)), "replicas may have left since");
    assert!(view.is_usable(at(5000)), "without any watch it is better than nothing");
    assert_eq!((view.as_of(), view.digest(at(1)).age_ms), (Some(40), None));
    view.on_complete(41, at(5));
    assert!(view.is_current(at(6)) && view.is_usable(at(6)));
}

/// Guards against an instance that refuses callers since it waits for a change of before the store was
/// restored, whose revision is above all those of now.
#[test]
fn changes_of_before_a_restore_are_no_longer_lacked() {
    let (mut reader, mut other) = (PublishedView::default(), PublishedView::default());
    for view in [&mut reader, &mut other] {
        view.begin_era(at(0), 1);
        view.on_complete(5, at(0));
    }
    apply(&mut reader, &written("a", 900));
    reader.on_complete(900, at(10));
    other.on_peer_digest(at(10), &reader.digest(at(10)), false);
    assert!(other.lacks_for(at(20)).is_some());
    assert!(other.begin_era(at(30), 2));
    other.on_complete(7, at(30));
    assert_eq!(other.lacks_for(at(40)), None);
}

// Guards against instances that can't list anew after a loss of history and then have nothing for one that
// starts, and that take what they all have for changes which they lack.
#[test]
fn a_view_whose_history_is_lost_still_has_what_it_had_for_peers() {
    let (mut one, mut two, mut new) =
        (PublishedView::default(), PublishedView::default(), PublishedView::default());
    for view in [&mut one, &mut two] {
        view.on_listed(8, at(0));
        apply(view, &written("a", 9));
        view.on_complete(9, at(10));
        view.on_history_lost();
        assert_eq!((view.as_of(), view.followed_to()), (Some(9), None));
    }
    assert!(!two.on_peer_digest(at(20), &one.digest(at(20)), false));
    assert_eq!(two.lacks_for(at(9000)), None);
    assert!(new.on_peer_digest(at(20), &one.digest(at(20)), true));
    let changes = one.changes_after(at(20), 0, new.as_of());
    catch_up(20, &mut new, changes);
    assert_eq!(keys(&new), [("a".to_owned(), 9)]);
    assert!(new.is_usable(at(20)));
}

// Guards against an item that stays at a peer, as it was written and removed while this view had lost the
// history: a peer from before the listing is sent all items.
#[test]
fn a_listing_after_a_loss_of_history_is_sent_whole_to_peers_from_before_it() {
    let (mut reader, mut other) = (PublishedView::default(), PublishedView::default());
    reader.on_listed(5, at(0));
    other.on_listed(5, at(0));
    apply(&mut other, &written("x", 7));
    other.on_complete(7, at(10));
    reader.on_history_lost();
    for event in reader.changes_to(vec![item("a", 4)], 9) {
        apply(&mut reader, &event);
    }
    reader.on_listed(9, at(20));
    assert!(other.on_peer_digest(at(30), &reader.digest(at(30)), false));
    let changes = reader.changes_after(at(30), 0, other.as_of());
    assert!(changes.whole);
    catch_up(30, &mut other, changes);
    assert_eq!(keys(&other), [("a".to_owned(), 4)]);
}

// Guards against an item that is back for good since a listing from before its removal, which a peer told
// meanwhile, is applied after it.
#[test]
fn a_listing_of_the_store_from_before_a_removal_does_not_undo_it() {
    let mut view = PublishedView::default();
    apply(&mut view, &written("k", 5));
    view.on_listed(9, at(0));
    view.on_history_lost();
    apply(&mut view, &removed("k", 14));
    view.on_complete(15, at(100));
    for event in view.changes_to(vec![item("k", 5)], 12) {
        apply(&mut view, &event);
    }
    view.on_listed(12, at(200));
    assert_eq!((keys(&view), view.followed_to()), (vec![], Some(15)));
    apply(&mut view, &written("k", 16));
    assert_eq!(keys(&view), [("k".to_owned(), 16)], "it was written again");
}

// Guards against an item that stays at a peer for good, as it was written and removed in a gap that the
// instance which tells it of nothing else has bridged by all items of a third one.
#[test]
fn a_view_that_took_all_items_of_a_peer_completes_none_from_before() {
    let (mut reader, mut two, mut three) =
        (PublishedView::default(), PublishedView::default(), PublishedView::default());
    for view in [&mut reader, &mut two, &mut three] {
        view.on_listed(5, at(0));
    }
    apply(&mut three, &written("x", 7));
    three.on_complete(7, at(10));
    reader.on_history_lost();
    reader.on_listed(9, at(20));
    assert!(two.on_peer_digest(at(30), &reader.digest(at(30)), false));
    let changes = reader.changes_after(at(30), 0, two.as_of());
    assert!(changes.whole);
    catch_up(30, &mut two, changes);
    three.on_peer_digest(at(40), &two.digest(at(40)), false);
    assert_eq!(three.as_of(), Some(7), "it can't know of the removal");
    assert!(two.changes_after(at(50), 0, three.as_of()).whole);
}

// Guards against the same after a gap that peers narrowed before the listing.
#[test]
fn a_listing_after_a_loss_of_history_is_sent_whole_although_peers_told_some_of_it() {
    let (mut reader, mut other) = (PublishedView::default(), PublishedView::default());
    reader.on_listed(5, at(0));
    other.on_listed(5, at(0));
    reader.on_history_lost();
    reader.on_complete(6, at(10));
    apply(&mut other, &written("x", 7));
    other.on_complete(7, at(10));
    reader.on_listed(9, at(20));
    assert!(reader.changes_after(at(30), 0, other.as_of()).whole);
    other.on_peer_digest(at(30), &reader.digest(at(30)), false);
    assert_eq!(other.as_of(), Some(7), "it can't know of the removal");
}

// Guards against an instance that can't read the store and never gets ready, as its peers know that a topic
// has no items.
#[test]
fn a_view_without_anything_takes_a_peers_view_that_is_complete_and_empty() {
    let (mut peer, mut new) = (PublishedView::default(), PublishedView::default());
    assert!(!new.on_peer_digest(at(5), &peer.digest(at(5)), true), "neither knows anything");
    peer.on_listed(7, at(10));
    assert!(new.on_peer_digest(at(20), &peer.digest(at(20)), true));
    let changes = peer.changes_after(at(20), 0, new.as_of());
    catch_up(20, &mut new, changes);
    assert!(new.is_usable(at(20)));
    assert!(!new.on_peer_digest(at(2000), &peer.digest(at(2000)), true), "it is asked once");
}

// Guards against an item that is back for good since an answer of a peer that hasn't heard of its removal
// comes after a listing from which it was gone.
#[test]
fn an_answer_from_before_a_listing_is_not_taken() {
    let (mut view, mut peer) = (PublishedView::default(), PublishedView::default());
    for view in [&mut view, &mut peer] {
        view.on_listed(5, at(0));
    }
    apply(&mut peer, &written("x", 7));
    peer.on_complete(7, at(10));
    let changes = peer.changes_after(at(20), 0, view.as_of());
    assert!(!changes.whole && view.takes(&changes));
    view.on_history_lost();
    view.on_listed(9, at(30));
    assert!(!view.takes(&changes));
    let whole = peer.changes_after(at(40), 0, None);
    assert!(whole.whole && !view.takes(&whole));
    peer.on_complete(9, at(50));
    assert!(view.takes(&peer.changes_after(at(60), 0, view.as_of())));
}

// Guards against an item that stays at a peer, as it was written and removed between the items that an
// instance took at its start and the listing that it had begun before.
#[test]
fn a_listing_after_a_start_by_a_peer_is_sent_whole_to_peers_from_before_it() {
    let (mut peer, mut new) = (PublishedView::default(), PublishedView::default());
    peer.on_listed(5, at(0));
    catch_up(10, &mut new, peer.changes_after(at(10), 0, None));
    apply(&mut peer, &written("x", 7));
    peer.on_complete(7, at(20));
    new.on_listed(9, at(30));
    assert!(new.changes_after(at(40), 0, peer.as_of()).whole);
}

// Guards against instances that turn callers away during an upgrade, as a peer of an earlier version that
// lost the history names changes which it can't give.
#[test]
fn changes_of_a_peer_whose_view_is_not_complete_are_not_lacked() {
    let mut view = PublishedView::default();
    view.on_listed(5, at(0));
    let digest = ViewDigest { newest: 9, as_of: None, age_ms: Some(1), era: 0, removals_after: 0 };
    assert!(!view.on_peer_digest(at(10), &digest, false));
    assert_eq!(view.lacks_for(at(9000)), None);
    assert!(view.on_peer_digest(at(300), &ViewDigest { as_of: Some(9), ..digest }, false));
    assert!(view.lacks_for(at(400)).is_some());
}

// Guards against an item that is back for good, as an instance that starts ends a listing which it began
// before it took all items of a peer that knew of the removal.
#[test]
fn a_listing_from_before_what_a_peer_told_is_not_taken() {
    let (mut view, mut peer) = (PublishedView::default(), PublishedView::default());
    assert!(view.takes_listing(0, 94));
    peer.on_listed(95, at(0));
    let changes = peer.changes_after(at(10), 0, view.as_of());
    catch_up(10, &mut view, changes);
    assert!(!view.takes_listing(0, 94), "it may have items that were removed at 95");
    assert!(view.takes_listing(0, 95));
    view.on_history_lost();
    assert!(!view.takes_listing(0, 94) && view.takes_listing(0, 96));
    assert!(view.takes_listing(1, 3), "a restored store counts anew");
    view.begin_era(at(20), 1);
    assert!(!view.takes_listing(0, 99));
}
