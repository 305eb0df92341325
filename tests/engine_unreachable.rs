//! Guards against an owner that floods an unreachable engine with orders or keeps its requests
//! waiting.

use std::time::Duration;

use tamaracklead::decide::engine::EngineAction;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::engine::QueuedRequest;
use tamaracklead::decide::engine::SafetyInput;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(AdapterName::new(name), Version(1))
}

fn waiting(id: u128, name: &str, now: Timestamp) -> QueuedRequest {
    QueuedRequest {
        request_id: RequestId(id),
        adapter: adapter(name),
        priority: 5,
        arrived: now,
        deadline: now + Duration::from_secs(30),
    }
}

/// One slot, taken by an idle adapter, and a request that needs it for another.
fn scheduler_that_must_unload(now: Timestamp) -> (EngineScheduler, Vec<EngineAction>) {
    let mut scheduler = EngineScheduler::new(1, 8);
    scheduler.on_input(now, EngineInput::Safety(SafetyInput::Found(vec![adapter("old")])));
    let actions = scheduler.on_input(now, EngineInput::Arrived(waiting(1, "new", now)));
    (scheduler, actions)
}

#[test]
fn a_failed_unload_is_repeated_later_and_not_at_once() {
    let now = Timestamp::from_millis(1000);
    let (mut scheduler, actions) = scheduler_that_must_unload(now);
    assert_eq!(actions, [EngineAction::Unload(adapter("old"))]);
    let failed = EngineInput::UnloadEnded { adapter: adapter("old"), unloaded: false };
    assert_eq!(scheduler.on_input(now, failed), []);
    let later = now + Duration::from_secs(1);
    let actions = scheduler.on_input(later, EngineInput::Tick);
    assert_eq!(actions, [EngineAction::Unload(adapter("old"))]);
}

#[test]
fn requests_that_wait_for_an_unreachable_engine_are_refused_at_once_as_not_run() {
    let now = Timestamp::from_millis(1000);
    let (mut scheduler, _) = scheduler_that_must_unload(now);
    let actions = scheduler.on_input(now, EngineInput::Unreachable);
    let [EngineAction::Refuse { request_id, error }] = actions.as_slice() else {
        panic!("not one refusal: {actions:?}");
    };
    assert_eq!(*request_id, RequestId(1));
    assert_eq!(error.kind, ErrorKind::NoBackend);
    assert!(error.response().not_run);
    assert!(error.response().retry_after.is_some());
}
