//! Progress of a response, which tells whether its replica has outlived the beginning.

use tamaracklead::decide::traffic::ResponseProgress;

use crate::support::at;

/// Guards against proof of life from data that was buffered while this process was paused.
#[test]
fn one_late_read_after_a_pause_does_not_show_that_the_replica_lives() {
    let mut progress = ResponseProgress::new(at(0));
    assert!(!progress.on_data(at(50)));
    assert!(!progress.on_data(at(2050)), "buffered during the pause");
    assert!(!progress.on_data(at(2051)), "buffered during the pause");
    assert!(!progress.on_data(at(2249)));
    assert!(progress.on_data(at(2251)));
    assert!(!progress.on_data(at(2500)), "said once");
    assert!(!progress.on_end(true), "said once");
}

/// Guards against a response that ends soon but whose prompt stays suspected.
#[test]
fn the_end_of_a_response_shows_that_its_replica_lives() {
    let mut progress = ResponseProgress::new(at(0));
    assert!(!progress.on_data(at(50)));
    assert!(progress.on_end(true));
}

/// Guards against a crash that is put down to a request whose response had gone on for long.
#[test]
fn only_a_response_that_has_just_begun_may_have_crashed_its_replica() {
    let mut progress = ResponseProgress::new(at(0));
    assert!(progress.may_have_crashed());
    progress.on_data(at(0));
    progress.on_data(at(499));
    assert!(progress.may_have_crashed());
    progress.on_data(at(500));
    assert!(!progress.may_have_crashed());
}

/// Guards against a crash that is taken for the end of a response without a length or chunks.
#[test]
fn an_early_end_that_nothing_marks_does_not_show_that_the_replica_lives() {
    let mut early = ResponseProgress::new(at(0));
    early.on_data(at(60));
    assert!(!early.on_end(false));
    assert!(early.may_have_crashed());
    let mut late = ResponseProgress::new(at(0));
    late.on_data(at(60));
    late.on_data(at(600));
    assert!(late.on_end(false));
}

/// Guards against a crashing request that is cleared since its prompt was read for long after the head.
#[test]
fn a_crash_soon_after_the_first_data_counts_however_long_the_head_was_there() {
    let mut progress = ResponseProgress::new(at(0));
    assert!(!progress.on_data(at(3000)));
    progress.on_data(at(3075));
    assert!(progress.may_have_crashed());
}
