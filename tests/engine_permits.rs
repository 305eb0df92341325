//! Scheduling of loads under permits: requests and returns of permits, refusals of requests that
//! would wait too long, and pinned adapters.

use std::time::Duration;

use tamaracklead::decide::engine::EngineAction;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::engine::PermitMode;
use tamaracklead::decide::engine::QueuedRequest;
use tamaracklead::decide::permits::Urgency;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;

const NOW: Timestamp = Timestamp::ZERO;

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(AdapterName::new(name), Version(1))
}

fn arrived(id: u128, name: &str) -> EngineInput {
    EngineInput::Arrived(QueuedRequest {
        request_id: RequestId(id),
        adapter: adapter(name),
        priority: 5,
        arrived: NOW,
        deadline: NOW + Duration::from_secs(8),
    })
}

fn scheduler_with_permits(slots: usize) -> EngineScheduler {
    EngineScheduler::with_permits(slots, 4, PermitMode::Required)
}

fn load(scheduler: &mut EngineScheduler, name: &str) -> Vec<EngineAction> {
    scheduler.on_input(NOW, EngineInput::PermitGranted(adapter(name)));
    scheduler.on_input(NOW, EngineInput::LoadEnded { adapter: adapter(name), loaded: true })
}

fn permit_request(name: &str, waiting: u32) -> EngineAction {
    let urgency = Urgency { demanded: true, priority: 5, waiting };
    EngineAction::RequestPermit { adapter: adapter(name), urgency }
}

#[test]
fn requests_of_one_adapter_wait_behind_one_load() {
    let mut scheduler = scheduler_with_permits(2);
    assert_eq!(scheduler.on_input(NOW, arrived(1, "a")), [permit_request("a", 1)]);
    assert_eq!(scheduler.on_input(NOW, arrived(2, "a")), [permit_request("a", 2)]);
    let granted = scheduler.on_input(NOW, EngineInput::PermitGranted(adapter("a")));
    assert_eq!(granted, [EngineAction::Load(adapter("a"))]);
    let ended = EngineInput::LoadEnded { adapter: adapter("a"), loaded: true };
    let expected = [
        EngineAction::ReturnPermit(adapter("a")),
        EngineAction::Dispatch(RequestId(1)),
        EngineAction::Dispatch(RequestId(2)),
    ];
    assert_eq!(scheduler.on_input(NOW, ended), expected);
}

#[test]
fn the_victim_stays_loaded_until_the_permit_is_granted() {
    let mut scheduler = scheduler_with_permits(1);
    scheduler.on_input(NOW, arrived(1, "old"));
    load(&mut scheduler, "old");
    scheduler.on_input(NOW, EngineInput::Ended(RequestId(1)));
    assert_eq!(scheduler.on_input(NOW, arrived(2, "new")), [permit_request("new", 1)]);
    let granted = scheduler.on_input(NOW, EngineInput::PermitGranted(adapter("new")));
    assert_eq!(granted, [EngineAction::Unload(adapter("old"))]);
    let unloaded = EngineInput::UnloadEnded { adapter: adapter("old"), unloaded: true };
    assert_eq!(scheduler.on_input(NOW, unloaded), [EngineAction::Load(adapter("new"))]);
}

#[test]
fn no_permit_is_requested_while_every_slot_has_work() {
    let mut scheduler = scheduler_with_permits(1);
    scheduler.on_input(NOW, arrived(1, "busy"));
    load(&mut scheduler, "busy");
    assert_eq!(scheduler.on_input(NOW, arrived(2, "new")), []);
    let ended = scheduler.on_input(NOW, EngineInput::Ended(RequestId(1)));
    assert_eq!(ended, [permit_request("new", 1)]);
}

#[test]
fn a_permit_that_nobody_waits_for_is_returned() {
    let mut scheduler = scheduler_with_permits(1);
    scheduler.on_input(NOW, arrived(1, "a"));
    let withdrawn = scheduler.on_input(NOW, EngineInput::Withdrawn(RequestId(1)));
    assert_eq!(withdrawn, [EngineAction::ReturnPermit(adapter("a"))]);
    let late = scheduler.on_input(NOW, EngineInput::PermitGranted(adapter("a")));
    assert_eq!(late, [EngineAction::ReturnPermit(adapter("a"))]);
}

#[test]
fn a_restart_returns_the_permits_of_its_loads() {
    let mut scheduler = scheduler_with_permits(1);
    scheduler.on_input(NOW, arrived(1, "a"));
    scheduler.on_input(NOW, EngineInput::PermitGranted(adapter("a")));
    let actions = scheduler.on_input(NOW, EngineInput::Restarted);
    assert_eq!(actions, [EngineAction::ReturnPermit(adapter("a")), permit_request("a", 1)]);
}

#[test]
fn a_request_whose_load_would_take_too_long_is_refused_with_retry_after() {
    let cases = [(0, 7, true), (0, 8, false), (100, 2, true), (100, 4, false)];
    for (stall_weight, wait_s, admitted) in cases {
        let mut scheduler = scheduler_with_permits(1);
        scheduler.on_input(NOW, EngineInput::StallWeight(stall_weight));
        scheduler.on_input(NOW, EngineInput::LoadWait(Duration::from_secs(wait_s)));
        let actions = scheduler.on_input(NOW, arrived(1, "a"));
        let case = format!("stall weight {stall_weight}, wait {wait_s} s");
        if admitted {
            assert_eq!(actions, [permit_request("a", 1)], "{case}");
            continue;
        }
        let [EngineAction::Refuse { request_id: RequestId(1), error }] = &actions[..] else {
            panic!("{case}: {actions:?}");
        };
        assert_eq!(error.kind, ErrorKind::Overloaded, "{case}");
        assert!(error.retry_after >= Some(Duration::from_secs(wait_s)), "{case}");
    }
}

#[test]
fn a_loaded_adapter_accepts_requests_however_long_a_load_would_wait() {
    let mut scheduler = scheduler_with_permits(1);
    scheduler.on_input(NOW, arrived(1, "a"));
    load(&mut scheduler, "a");
    scheduler.on_input(NOW, EngineInput::LoadWait(Duration::from_secs(60)));
    assert_eq!(scheduler.on_input(NOW, arrived(2, "a")), [EngineAction::Dispatch(RequestId(2))]);
}

#[test]
fn pinned_adapters_are_loaded_ahead_of_requests_and_evicted_last() {
    let mut scheduler = scheduler_with_permits(2);
    let ahead = scheduler.on_input(NOW, EngineInput::Pinned(vec![adapter("pinned")]));
    let urgency = Urgency::default();
    let pinned = adapter("pinned");
    assert_eq!(ahead, [EngineAction::RequestPermit { adapter: pinned, urgency }]);
    load(&mut scheduler, "pinned");
    scheduler.on_input(NOW, arrived(1, "other"));
    load(&mut scheduler, "other");
    scheduler.on_input(NOW, EngineInput::Ended(RequestId(1)));
    scheduler.on_input(NOW, arrived(2, "third"));
    let granted = scheduler.on_input(NOW, EngineInput::PermitGranted(adapter("third")));
    assert_eq!(granted, [EngineAction::Unload(adapter("other"))]);
}

#[test]
fn a_failed_load_of_a_pinned_adapter_is_not_repeated_at_once() {
    let mut scheduler = scheduler_with_permits(2);
    scheduler.on_input(NOW, EngineInput::Pinned(vec![adapter("pinned")]));
    scheduler.on_input(NOW, EngineInput::PermitGranted(adapter("pinned")));
    let failed = EngineInput::LoadEnded { adapter: adapter("pinned"), loaded: false };
    assert_eq!(scheduler.on_input(NOW, failed), [EngineAction::ReturnPermit(adapter("pinned"))]);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(scheduler.on_input(later, EngineInput::Tick).len(), 1);
}
