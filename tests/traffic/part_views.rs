//! Views of which only a part could be listed.

use std::time::Duration;

use tamaracklead::decide::traffic::PublishedEvent;
use tamaracklead::decide::traffic::PublishedItem;
use tamaracklead::decide::traffic::PublishedView;
use tamaracklead::decide::traffic::ViewDigest;
use tamaracklead::names::Timestamp;

const NOW: Timestamp = Timestamp::ZERO;

fn written(key: &str, rev: u64) -> PublishedEvent {
    let item = PublishedItem { key: key.to_owned(), value: "{}".into(), rev, created: 1 };
    PublishedEvent::Written(item)
}

fn part(now: Timestamp) -> PublishedView {
    let mut view = PublishedView::default();
    view.apply(&written("a", 3));
    view.on_part(7, now, false);
    view
}

// Guards against instances that take each other's part for everything.
#[test]
fn a_part_is_usable_and_makes_no_view_complete() {
    let now = NOW + Duration::from_secs(9);
    let mut view = part(now);
    assert!(view.is_usable(now));
    assert_eq!((view.as_of(), view.followed_to()), (None, Some(7)));
    assert_eq!(view.digest(now).as_of, None);
    assert_eq!(view.changes_after(now, 0, None).as_of, None);
    assert_eq!(view.changes_after(now, 0, Some(5)).as_of, None);
    let mut other = PublishedView::default();
    other.apply(&written("b", 2));
    other.on_complete(5, now);
    other.on_peer_digest(now, &view.digest(now), false);
    assert_eq!(other.as_of(), Some(5));
    view.on_followed(9, now);
    assert_eq!((view.as_of(), view.followed_to()), (None, Some(9)));
}

// Guards against an instance that proves a configuration by changes after a part which lacks it.
#[test]
fn a_part_has_what_matters_most_only_if_that_was_listed() {
    let now = NOW + Duration::from_secs(9);
    let mut view = part(now);
    view.on_followed(8, now);
    assert!(!view.has_main_part());
    view.on_part(9, now, true);
    view.on_followed(10, now);
    assert!(view.has_main_part());
    view.on_history_lost();
    assert!(!view.has_main_part());
}

// Guards against an instance that stays with a part although a peer has everything.
#[test]
fn a_part_ends_with_everything_from_a_peer_or_the_store_and_with_lost_history() {
    let now = NOW + Duration::from_secs(9);
    let mut view = part(now);
    view.last_success = Some(now);
    let digest =
        ViewDigest { newest: 6, as_of: Some(8), age_ms: Some(1), era: 0, removals_after: 0 };
    assert!(view.on_peer_digest(now, &digest, true));
    view.on_complete(8, now);
    assert_eq!((view.as_of(), view.followed_to()), (Some(8), Some(8)));
    view.on_followed(9, now);
    assert_eq!(view.as_of(), Some(9));
    let mut view = part(now);
    view.on_history_lost();
    assert_eq!(view.followed_to(), None);
    let mut view = part(now);
    view.begin_era(now, 3);
    assert_eq!(view.followed_to(), None);
}

// Guards against instances that none has everything of a topic and that each take what the others have for
// changes which they lack, so that nobody is ready.
#[test]
fn instances_that_all_have_a_part_lack_nothing_of_each_other() {
    let now = NOW + Duration::from_secs(9);
    let (mut one, mut two) = (part(now), part(now));
    one.apply(&written("b", 8));
    one.mark_for_sharing("b");
    one.on_followed(8, now);
    assert!(!two.on_peer_digest(now, &one.digest(now), true));
    assert!(!one.on_peer_digest(now, &two.digest(now), true));
    assert_eq!((one.lacks_for(now), two.lacks_for(now)), (None, None));
}

// Guards against a peer that takes a view for current of which only a part is.
#[test]
fn a_part_after_a_loss_of_history_has_what_was_complete_before_and_no_age() {
    let now = NOW + Duration::from_secs(9);
    let mut view = PublishedView::default();
    view.apply(&written("a", 3));
    view.mark_for_sharing("a");
    view.on_listed(5, now);
    view.on_history_lost();
    view.on_part(9, now, true);
    let digest = view.digest(now);
    assert_eq!((digest.as_of, digest.newest, digest.age_ms), (Some(5), 3, None));
    let changes = view.changes_after(now, 0, None);
    assert_eq!((changes.whole, changes.as_of, changes.age_ms), (true, Some(5), None));
    view.on_listed(12, now);
    assert_eq!((view.as_of(), view.followed_to()), (Some(12), Some(12)));
    assert_eq!(view.digest(now).removals_after, 12);
}

// Guards against an instance that is never ready since a peer, which lost the history again after it took a
// part, names a revision of that part for what it has, and counts it as current.
#[test]
fn a_part_whose_history_is_lost_is_still_no_more_than_what_was_complete() {
    let now = NOW + Duration::from_secs(9);
    let mut view = PublishedView::default();
    view.on_listed(5, now);
    view.on_history_lost();
    view.apply(&written("a", 8));
    view.mark_for_sharing("a");
    view.on_part(9, now, true);
    view.on_history_lost();
    let digest = view.digest(now);
    assert_eq!((digest.as_of, digest.newest, digest.age_ms), (Some(5), 5, None));
    let mut other = PublishedView::default();
    other.on_listed(6, now);
    assert!(!other.on_peer_digest(now, &digest, false));
    assert_eq!(other.lacks_for(now), None);
    view.on_listed(12, now);
    let digest = view.digest(now);
    assert_eq!((digest.as_of, digest.newest, digest.age_ms), (Some(12), 12, Some(0)));
}
