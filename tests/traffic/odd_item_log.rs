//! Which of the items that can't be read are logged.

use std::time::Duration;

use tamaracklead::decide::traffic::OddItemLog;
use tamaracklead::names::Timestamp;

// Guards against a log that fills with the same item, or with items of ever new names.
#[test]
fn an_item_is_logged_once_in_ten_minutes_and_a_hundred_are() {
    let start = Timestamp::ZERO + Duration::from_secs(5);
    let mut log = OddItemLog::default();
    assert!(log.is_due(start, "servers/a", "its value isn't base64"));
    assert!(!log.is_due(start, "servers/a", "its value isn't base64"));
    assert!(log.is_due(start, "servers/a", "its revision can't be read"));
    let others = (0..1000).filter(|n| log.is_due(start, &format!("servers/b-{n}"), "x")).count();
    assert_eq!(others, 98);
    let later = start + Duration::from_secs(600);
    assert!(log.is_due(later, "servers/a", "its value isn't base64"));
}
