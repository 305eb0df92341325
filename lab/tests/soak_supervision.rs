//! Guards the soak's supervision of processes, with scripts in the place of the program.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::Duration;

use lab::soak::Disruption;
use lab::soak::DisruptionKind;
use lab::soak::Finding;
use lab::soak::FindingKind;
use lab::soak::Ports;
use lab::soak::Schedule;
use lab::soak::SoakOptions;
use lab::soak::Surroundings;
use lab::soak::run_schedule;
use tamaracklead_standin::STARTING;

/// A process that ends at SIGTERM, one that fails then, and one that doesn't.
const ENDS: &str = "trap 'exit 0' TERM; while :; do sleep 0.02; done";
const FAILS: &str = "trap 'echo failing; exit 3' TERM; while :; do sleep 0.02; done";
const STAYS: &str = "trap '' TERM; while :; do sleep 0.02; done";

/// Directory with a script of this name in the place of the program.
fn bin_dir(name: &str, script: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("soak-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let path = dir.join("tamaracklead-platform");
    // A child that another test starts must not hold the file while it is open for writing.
    let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    fs::write(&path, format!("#!/bin/sh\n{script}\n")).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    dir
}

/// What a soak of one instance finds that runs this script.
fn findings(
    name: &str,
    script: &str,
    kinds: &[(u64, DisruptionKind)],
    duration: Duration,
) -> Vec<Finding> {
    let to_disruption = |(ms, kind): &(u64, DisruptionKind)| Disruption {
        at: Duration::from_millis(*ms),
        until: Duration::from_millis(ms + 200),
        instances: vec![0],
        kind: *kind,
    };
    let disruptions = kinds.iter().map(to_disruption).collect();
    let options = SoakOptions {
        instances: 1,
        ports: Ports::Low,
        surroundings: Surroundings::Generous,
        is_beside_load: false,
        files: std::env::temp_dir(),
        keep_logs: None,
    };
    let dir = bin_dir(name, script);
    let outcome =
        run_schedule(&dir, &options, 1, &Schedule { disruptions, odd: Vec::new(), duration })
            .unwrap();
    fs::remove_dir_all(dir).unwrap();
    assert!(outcome.starts > 0);
    outcome.findings
}

fn kinds(findings: &[Finding]) -> Vec<FindingKind> {
    findings.iter().map(|finding| finding.kind).collect()
}

// Guards against a process that ends and is started again, unseen.
#[test]
fn an_end_that_nobody_asked_for_is_found() {
    let findings = findings("ends", "echo no address; exit 3", &[], Duration::from_secs(1));
    assert!(findings.len() > 1, "it is started again");
    for finding in &findings {
        assert_eq!(finding.kind, FindingKind::EndedByItself);
        assert!(finding.detail.contains("exit status: 3"), "{}", finding.detail);
        assert!(finding.detail.contains("no address"), "{}", finding.detail);
    }
}

// Guards against findings about ends that were asked for.
#[test]
fn ends_that_were_asked_for_are_fine() {
    let asked = [
        (800, DisruptionKind::Kill),
        (1600, DisruptionKind::Terminate),
        (2400, DisruptionKind::Suspend),
        (2500, DisruptionKind::Kill),
        (2600, DisruptionKind::Terminate),
    ];
    assert_eq!(kinds(&findings("asked", ENDS, &asked, Duration::from_secs(4))), []);
}

// Guards against an error on the way out, unseen.
#[test]
fn an_error_at_the_end_is_found() {
    let terminated = [(2000, DisruptionKind::Terminate)];
    let findings = findings("fails", FAILS, &terminated, Duration::from_secs(4));
    assert_eq!(kinds(&findings), [FindingKind::EndedWithError]);
    assert!(findings[0].detail.contains("failing"), "{}", findings[0].detail);
}

// Guards against a process that doesn't end when asked, unseen.
#[test]
fn a_process_that_stays_is_found() {
    let terminated = [(2000, DisruptionKind::Terminate)];
    let findings = findings("stays", STAYS, &terminated, Duration::from_millis(11_500));
    assert_eq!(kinds(&findings), [FindingKind::EndedLate]);
}

// Guards against SIGHUP ending a process that has begun to work, unseen.
#[test]
fn an_end_by_a_late_hangup_is_found() {
    let reloaded = [(1500, DisruptionKind::Reload)];
    let findings = findings("hangup", "exec sleep 60", &reloaded, Duration::from_secs(2));
    assert_eq!(kinds(&findings), [FindingKind::EndedByItself]);
}

// Guards against a process that doesn't hand back the processor, unseen.
#[test]
fn a_process_that_uses_a_processor_for_nothing_is_found() {
    let findings = findings("busy", "while :; do :; done", &[], Duration::from_secs(6));
    let busy = findings.iter().find(|finding| finding.kind == FindingKind::Busy);
    assert!(busy.is_some_and(|finding| finding.detail.contains("instance 0")), "{findings:?}");
}
