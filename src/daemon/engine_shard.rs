//! State of one owned engine under a lock of its own: scheduler, takeover, waiting requests.
//!
//! [`EngineShard::apply`] runs one event through [`OwnedEngine`], wakes the
//! requests that it decides on, and returns the calls that the owner must make,
//! so that no call to an engine is made under the lock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::oneshot;

use crate::decide::engine::EngineInput;
use crate::decide::engine::SlotState;
use crate::decide::ownership::GroupId;
use crate::decide::takeover::EngineQuery;
use crate::decide::takeover::OwnedAction;
use crate::decide::takeover::OwnedEngine;
use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::BackendName;
use crate::names::FencingNumber;
use crate::names::Incarnation;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::wire::operator::EngineStatus;

/// Failed reports in a row after which the engine's queued requests are refused.
const UNREACHABLE_AFTER_FAILED_REPORTS: u32 = 3;

/// Decision on a queued request: the fencing number to dispatch it with, or the error that ends it.
pub type DispatchPermission = Result<FencingNumber, Error>;

/// A call that must be made to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCall {
    /// Read what it runs, or fence it.
    Query(EngineQuery),
    /// Load an adapter, by an order with this fencing number.
    Load(AdapterRef, FencingNumber),
    /// Unload an adapter if nothing runs on it, by an order with this fencing number.
    Unload(AdapterRef, FencingNumber),
}

#[derive(Debug)]
struct State {
    owned: OwnedEngine,
    waiters: HashMap<RequestId, oneshot::Sender<DispatchPermission>>,
    failed_reports: u32,
}

/// One engine that this instance owns or is taking over.
#[derive(Debug)]
pub struct EngineShard {
    /// Name in the instance list.
    pub name: BackendName,
    /// Address of its API.
    pub addr: SocketAddr,
    /// Group whose lease covers it.
    pub group: GroupId,
    state: Mutex<State>,
}

impl EngineShard {
    /// A shard without queued requests; `owned` hasn't been taken over yet.
    pub fn new(name: BackendName, addr: SocketAddr, group: GroupId, owned: OwnedEngine) -> Self {
        let state = State { owned, waiters: HashMap::new(), failed_reports: 0 };
        Self { name, addr, group, state: Mutex::new(state) }
    }

    /// Registers where the decision on a queued request is sent.
    pub fn register(&self, id: RequestId, tx: oneshot::Sender<DispatchPermission>) {
        self.lock().waiters.insert(id, tx);
    }

    /// Applies one event, sends the decisions to their requests, and returns the calls to make.
    pub fn apply(
        &self,
        now: Timestamp,
        event: impl FnOnce(&mut OwnedEngine, Timestamp) -> Vec<OwnedAction>,
    ) -> Vec<EngineCall> {
        let mut state = self.lock();
        let mut calls = Vec::new();
        let mut actions = event(&mut state.owned, now);
        while !actions.is_empty() {
            let abandoned = state.run_actions(actions, &mut calls);
            actions = Vec::new();
            for id in abandoned {
                actions.extend(state.owned.on_input(now, EngineInput::Ended(id)));
            }
        }
        calls
    }

    /// Counts a failed report; returns whether the engine now counts as unreachable.
    pub fn record_failed_report(&self) -> bool {
        let mut state = self.lock();
        state.failed_reports += 1;
        state.failed_reports >= UNREACHABLE_AFTER_FAILED_REPORTS
    }

    /// Resets the count of failed reports; returns whether the engine has restarted since.
    pub fn record_report(&self, incarnation: Incarnation) -> bool {
        let mut state = self.lock();
        state.failed_reports = 0;
        state.owned.takeover_state().incarnation().is_some_and(|known| known != incarnation)
    }

    /// Whether an adapter is ready in a slot.
    pub fn is_loaded(&self, adapter: &AdapterRef) -> bool {
        matches!(self.lock().owned.scheduler().slots().get(adapter), Some(SlotState::Ready { .. }))
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        let scheduler = state.owned.scheduler();
        scheduler.waiting().is_empty() && scheduler.running().is_empty()
    }

    /// State for operators and gauges.
    pub fn status(&self) -> EngineStatus {
        let state = self.lock();
        let scheduler = state.owned.scheduler();
        EngineStatus {
            engine: self.name.clone(),
            loaded: scheduler.slots().keys().cloned().collect(),
            slots: scheduler.slot_count(),
            batch: scheduler.batch(),
            running: scheduler.running().len(),
            waiting: scheduler.waiting().len(),
        }
    }

    /// Incarnation that the engine last named, in a report or at the start of a completion; `None`
    /// before the first.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.lock().owned.takeover_state().incarnation()
    }

    /// Whether the takeover is complete, so that orders and dispatches may be sent.
    pub fn is_taken_over(&self) -> bool {
        self.lock().owned.takeover_state().fencing().is_some()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the dispatched requests whose waiter has gone.
    fn run_actions(
        &mut self,
        actions: Vec<OwnedAction>,
        calls: &mut Vec<EngineCall>,
    ) -> Vec<RequestId> {
        let mut abandoned = Vec::new();
        for action in actions {
            match action {
                OwnedAction::Query(query) => calls.push(EngineCall::Query(query)),
                OwnedAction::Load { adapter, fencing } => {
                    calls.push(EngineCall::Load(adapter, fencing));
                }
                OwnedAction::Unload { adapter, fencing } => {
                    calls.push(EngineCall::Unload(adapter, fencing));
                }
                OwnedAction::Dispatch { request_id, fencing } => {
                    let delivered = self.waiters.remove(&request_id).map(|tx| tx.send(Ok(fencing)));
                    if !matches!(delivered, Some(Ok(()))) {
                        abandoned.push(request_id);
                    }
                }
                // This scheduler needs no permits for its loads.
                OwnedAction::RequestPermit { .. } | OwnedAction::ReturnPermit(_) => {}
                OwnedAction::Refuse { request_id, error } => {
                    if let Some(tx) = self.waiters.remove(&request_id) {
                        let _ = tx.send(Err(error));
                    }
                }
            }
        }
        abandoned
    }
}
