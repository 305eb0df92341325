//! Guards against the eviction of an adapter with running or waiting requests.
//!
//! Random events drive the scheduler, and each action is checked against a model of the engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use tamaracklead::decide::engine::EngineAction;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::engine::PermitMode;
use tamaracklead::decide::engine::QueuedRequest;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;

const SLOTS: usize = 2;
const BATCH: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Arrive { adapter: u8, time_left_ms: u64 },
    Withdraw(usize),
    EndRun(usize),
    EndOrder { order: usize, done: bool },
    Grant(usize),
    Restart,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..5, 1_u64..3000).prop_map(|(adapter, time_left_ms)| Step::Arrive {
            adapter,
            time_left_ms,
        }),
        1 => (0_usize..8).prop_map(Step::Withdraw),
        3 => (0_usize..8).prop_map(Step::EndRun),
        4 => (0_usize..4, proptest::bool::weighted(0.8)).prop_map(|(order, done)| {
            Step::EndOrder { order, done }
        }),
        4 => (0_usize..4).prop_map(Step::Grant),
        1 => proptest::strategy::Just(Step::Restart),
        2 => (1_u64..1500).prop_map(Step::Wait),
    ]
}

fn adapter(number: u8) -> AdapterRef {
    AdapterRef::new(AdapterName::new(&format!("a{number}")), Version(1))
}

/// Model of what is loaded, ordered, waiting and running.
#[derive(Default)]
struct Oracle {
    loaded: BTreeSet<AdapterRef>,
    orders: Vec<EngineAction>,
    requested: BTreeSet<AdapterRef>,
    waiting: BTreeMap<RequestId, AdapterRef>,
    running: BTreeMap<RequestId, AdapterRef>,
}

impl Oracle {
    /// Applies an action to the model; the error says which rule it breaks.
    fn on_action(&mut self, action: EngineAction) -> Result<(), String> {
        match action {
            EngineAction::RequestPermit { adapter, .. } => {
                self.requested.insert(adapter);
            }
            EngineAction::ReturnPermit(adapter) => {
                self.requested.remove(&adapter);
            }
            EngineAction::Load(_) => {
                let loading = self.orders.iter().filter(|o| matches!(o, EngineAction::Load(_)));
                if self.loaded.len() + loading.count() >= SLOTS {
                    return Err("load without a free slot".to_owned());
                }
                self.orders.push(action);
            }
            EngineAction::Unload(ref adapter) => {
                let busy = self.running.values().chain(self.waiting.values());
                if busy.into_iter().any(|used| used == adapter) {
                    return Err(format!("unload of {adapter}, which has work"));
                }
                self.orders.push(action);
            }
            EngineAction::Dispatch(id) => {
                let Some(adapter) = self.waiting.remove(&id) else {
                    return Err(format!("dispatch of {id}, which does not wait"));
                };
                if !self.loaded.contains(&adapter) || self.running.len() >= BATCH {
                    return Err(format!("dispatch of {id} to an engine that cannot run it"));
                }
                let unload = EngineAction::Unload(adapter.clone());
                if self.orders.contains(&unload) {
                    return Err(format!("dispatch of {id} while {adapter} is being unloaded"));
                }
                self.running.insert(id, adapter);
            }
            EngineAction::Refuse { request_id, .. } => {
                if self.waiting.remove(&request_id).is_none() {
                    return Err(format!("refusal of {request_id}, which does not wait"));
                }
            }
        }
        Ok(())
    }

    /// Applies a step to the model and returns its event; `None` if it can't happen now.
    fn next_input(&mut self, now: Timestamp, number: u128, step: &Step) -> Option<EngineInput> {
        match *step {
            Step::Arrive { adapter: wanted, time_left_ms } => {
                let request_id = RequestId(number);
                let wanted = adapter(wanted);
                self.waiting.insert(request_id, wanted.clone());
                let deadline = now + Duration::from_millis(time_left_ms);
                let waiting = QueuedRequest {
                    request_id,
                    adapter: wanted,
                    priority: 5,
                    arrived: now,
                    deadline,
                };
                Some(EngineInput::Arrived(waiting))
            }
            Step::Withdraw(index) => {
                let id = *self.waiting.keys().nth(index)?;
                self.waiting.remove(&id);
                Some(EngineInput::Withdrawn(id))
            }
            Step::EndRun(index) => {
                let id = *self.running.keys().nth(index)?;
                self.running.remove(&id);
                Some(EngineInput::Ended(id))
            }
            Step::EndOrder { order, done } => self.end_order(order, done),
            Step::Grant(index) => {
                let adapter = self.requested.iter().nth(index)?.clone();
                self.requested.remove(&adapter);
                Some(EngineInput::PermitGranted(adapter))
            }
            Step::Restart => {
                self.loaded.clear();
                self.orders.clear();
                Some(EngineInput::Restarted)
            }
            Step::Wait(_) => Some(EngineInput::Tick),
        }
    }

    fn end_order(&mut self, order: usize, done: bool) -> Option<EngineInput> {
        if order >= self.orders.len() {
            return None;
        }
        match self.orders.remove(order) {
            EngineAction::Load(adapter) => {
                if done {
                    self.loaded.insert(adapter.clone());
                }
                Some(EngineInput::LoadEnded { adapter, loaded: done })
            }
            EngineAction::Unload(adapter) => {
                if done {
                    self.loaded.remove(&adapter);
                }
                Some(EngineInput::UnloadEnded { adapter, unloaded: done })
            }
            _ => None,
        }
    }
}

fn check(mode: PermitMode, steps: &[Step]) -> Result<(), String> {
    let mut scheduler = EngineScheduler::with_permits(SLOTS, BATCH, mode);
    let mut oracle = Oracle::default();
    let mut now = Timestamp::ZERO;
    for (number, step) in steps.iter().enumerate() {
        if let Step::Wait(span) = step {
            now = now + Duration::from_millis(*span);
        }
        let Some(input) = oracle.next_input(now, number as u128, step) else { continue };
        let restarted = input == EngineInput::Restarted;
        let mut inputs = vec![input];
        if restarted {
            let lost = std::mem::take(&mut oracle.running);
            inputs.extend(lost.into_keys().map(EngineInput::Ended));
        }
        for input in inputs {
            for action in scheduler.on_input(now, input) {
                oracle.on_action(action)?;
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn no_adapter_with_work_is_evicted(steps in vec(step(), 1..120)) {
        let end = check(PermitMode::NotRequired, &steps);
        prop_assert!(end.is_ok(), "{end:?}");
    }

    #[test]
    fn no_adapter_with_work_is_evicted_under_permits(steps in vec(step(), 1..120)) {
        let end = check(PermitMode::Required, &steps);
        prop_assert!(end.is_ok(), "{end:?}");
    }
}
