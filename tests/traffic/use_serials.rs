//! Serial numbers of adapter uses over restarts of an instance.

use tamaracklead::decide::traffic::AdapterUses;
use tamaracklead::decide::traffic::UseUpdate;
use tamaracklead::decide::traffic::serial_at_start;
use tamaracklead::names::InstanceName;

use crate::support::at;
use crate::support::key;

/// Start of an instance's earlier process, in Unix milliseconds.
const STARTED_MS: u64 = 1_790_000_000_000;
/// Time from that start to the next process's, in milliseconds.
const RAN_MS: u64 = 60_000;
/// Serial numbers that the earlier process draws: 500 a second.
const DRAWN: u64 = 30_000;

fn uses(count: u32, serial: u64) -> UseUpdate {
    UseUpdate { user: InstanceName::new("entry-1"), count, serial }
}

/// Guards against an owner that ignores the uses of an instance that was restarted within the time
/// after which it counts as gone, and then unloads an adapter in use.
#[test]
fn the_uses_of_an_instance_that_was_just_restarted_count() {
    let mut known = AdapterUses::default();
    known.on_update(at(0), &key("a1"), &uses(3, serial_at_start(STARTED_MS) + DRAWN));
    let restarted = serial_at_start(STARTED_MS + RAN_MS);
    known.on_update(at(500), &key("a1"), &uses(1, restarted + 1));
    assert_eq!(known.count(at(500), &key("a1")), 1, "requests of the new process");
    assert!(known.is_in_use(at(10_400), &key("a1")), "the new process uses it");
}

/// Guards against an owner that keeps an adapter for the requests of a process that was killed.
#[test]
fn the_uses_of_a_process_that_ended_count_no_more_once_its_successor_tells_that_it_has_none() {
    let mut known = AdapterUses::default();
    known.on_update(at(0), &key("a1"), &uses(3, serial_at_start(STARTED_MS) + DRAWN));
    let restarted = serial_at_start(STARTED_MS + RAN_MS);
    known.on_update(at(500), &key("a1"), &uses(0, restarted + 2));
    assert!(!known.is_in_use(at(500), &key("a1")));
}

/// Guards against a late update of the earlier process that undoes one of the new process.
#[test]
fn an_update_of_the_process_before_a_restart_changes_nothing_later() {
    let mut known = AdapterUses::default();
    let restarted = serial_at_start(STARTED_MS + RAN_MS);
    known.on_update(at(0), &key("a1"), &uses(1, restarted + 1));
    known.on_update(at(100), &key("a1"), &uses(0, serial_at_start(STARTED_MS) + DRAWN));
    assert!(known.is_in_use(at(100), &key("a1")));
}

/// Guards against an owner that ignores an instance's uses without end, since its clock was set
/// back over a restart or it was set back to a version that begins at lower numbers.
#[test]
fn lower_serial_numbers_count_once_the_last_update_is_too_old_to_count() {
    let mut known = AdapterUses::default();
    known.on_update(at(0), &key("a1"), &uses(3, serial_at_start(STARTED_MS) + DRAWN));
    assert_eq!(known.on_update(at(9_900), &key("a1"), &uses(1, 1)), None, "it may be late");
    assert_eq!(known.on_update(at(10_000), &key("a1"), &uses(1, 2)), Some(1), "requests begun");
    assert_eq!(known.count(at(10_000), &key("a1")), 1);
}
