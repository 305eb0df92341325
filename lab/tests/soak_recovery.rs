//! Guards the soak's check that instances become ready in time and stay so.

use std::time::Duration;

use lab::soak::Answer;
use lab::soak::Change;
use lab::soak::Disruption;
use lab::soak::DisruptionKind;
use lab::soak::FindingKind;
use lab::soak::Recovery;
use lab::soak::Trouble;

const DURATION: Duration = Duration::from_secs(60);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The findings of an instance that is killed from 5 s to 6 s and answers like this.
fn findings(
    answers: &[(u64, Answer)],
    more: &[Disruption],
    troubles: &[Trouble],
) -> Vec<FindingKind> {
    let mut disruptions = vec![Disruption {
        at: at(5),
        until: at(6),
        instances: vec![0],
        kind: DisruptionKind::Kill,
    }];
    disruptions.extend_from_slice(more);
    let to_change =
        |(seconds, answer): &(u64, Answer)| Change { at: at(*seconds), answer: *answer };
    let changes: Vec<Change> = answers.iter().map(to_change).collect();
    let recovery = Recovery::check(0, &changes, &disruptions, troubles, DURATION);
    recovery.findings.iter().map(|finding| finding.kind).collect()
}

// Guards against findings about an instance that recovers as it should.
#[test]
fn a_quick_return_is_fine() {
    let answers = [(1, Answer::Ready), (5, Answer::Nothing), (7, Answer::Ready)];
    assert_eq!(findings(&answers, &[], &[]), []);
}

// Guards against instances that come back too late or never, unseen.
#[test]
fn a_late_return_is_found() {
    let late = [(1, Answer::Ready), (5, Answer::Nothing), (20, Answer::Ready)];
    assert_eq!(findings(&late, &[], &[]), [FindingKind::ReadyLate]);
    let never = [(1, Answer::Ready), (5, Answer::NotReady(503))];
    assert_eq!(findings(&never, &[], &[]), [FindingKind::ReadyLate]);
    assert_eq!(findings(&[], &[], &[]), [FindingKind::ReadyLate]);
}

// Guards against an instance that gives up readiness without a cause, unseen.
#[test]
fn a_loss_of_readiness_without_a_cause_is_found() {
    let answers = [(1, Answer::Ready), (5, Answer::Nothing), (7, Answer::Ready)];
    let lost = [&answers[..], &[(30, Answer::NotReady(503)), (40, Answer::Ready)]].concat();
    assert_eq!(findings(&lost, &[], &[]), [FindingKind::Unready]);
    let blink = [&answers[..], &[(30, Answer::Nothing), (31, Answer::Ready)]].concat();
    assert_eq!(findings(&blink, &[], &[]), []);
}

// Guards against an instance that says it is ready and refuses callers, unseen.
#[test]
fn readiness_without_a_listener_is_found() {
    let answers = [(1, Answer::Ready), (5, Answer::ReadyButRefuses), (7, Answer::Ready)];
    assert_eq!(findings(&answers, &[], &[]), [FindingKind::ReadyButRefuses]);
}

// Guards against findings for which a disruption or a taken address is the cause.
#[test]
fn disruptions_and_taken_addresses_excuse_what_is_late() {
    let late = [(1, Answer::Ready), (5, Answer::Nothing), (50, Answer::Ready)];
    let silent = Disruption {
        at: at(10),
        until: at(45),
        instances: vec![0, 2],
        kind: DisruptionKind::Suspend,
    };
    assert_eq!(findings(&late, std::slice::from_ref(&silent), &[]), []);
    let of_another = Disruption { instances: vec![2], ..silent };
    assert_eq!(findings(&late, &[of_another], &[]), [FindingKind::ReadyLate]);
    let taken = Trouble { instance: 0, from: at(5), until: at(45) };
    assert_eq!(findings(&late, &[], &[taken]), []);
    let of_another = Trouble { instance: 1, ..taken };
    assert_eq!(findings(&late, &[], &[of_another]), [FindingKind::ReadyLate]);
}

// Guards against start times that count a process that was killed before it was ready.
#[test]
fn times_to_readiness_are_those_of_each_process() {
    let changes = [(2, Answer::Ready), (5, Answer::Nothing), (9, Answer::Ready)];
    let changes = changes.map(|(seconds, answer)| Change { at: at(seconds), answer });
    let starts = [1, 6, 8].map(|s| Trouble { instance: 0, from: at(s), until: at(s) });
    let recovery = Recovery::check(0, &changes, &[], &starts, DURATION);
    assert_eq!(recovery.start_times, [at(1), at(1)]);
}
