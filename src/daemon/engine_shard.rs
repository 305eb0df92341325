//! State of one owned engine, under its own lock.

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

/// Reports in a row that an engine may miss before its queue is refused.
const UNREACHABLE_AFTER: u32 = 3;

/// What a waiting request learns: the number that it may be sent with, or its final answer.
pub type Verdict = Result<FencingNumber, Error>;

/// A call that must be made to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCall {
    /// Ask for the direct report, or fence.
    Ask(EngineQuery),
    /// Order to load an adapter.
    Load(AdapterRef, FencingNumber),
    /// Order to unload an adapter if nothing runs on it.
    Unload(AdapterRef, FencingNumber),
}

#[derive(Debug)]
struct State {
    owned: OwnedEngine,
    waiters: HashMap<RequestId, oneshot::Sender<Verdict>>,
    failed_reports: u32,
}

/// One owned engine.
#[derive(Debug)]
pub struct EngineShard {
    /// Name of the engine.
    pub name: BackendName,
    /// Address that it serves on.
    pub addr: SocketAddr,
    /// Group that it's leased with.
    pub group: GroupId,
    state: Mutex<State>,
}

impl EngineShard {
    /// An engine that hasn't been taken over yet.
    pub fn new(name: BackendName, addr: SocketAddr, group: GroupId, owned: OwnedEngine) -> Self {
        let state = State { owned, waiters: HashMap::new(), failed_reports: 0 };
        Self { name, addr, group, state: Mutex::new(state) }
    }

    /// Registers who waits for a request's verdict.
    pub fn register(&self, id: RequestId, tx: oneshot::Sender<Verdict>) {
        self.lock().waiters.insert(id, tx);
    }

    /// Takes one event; tells the requests concerned and returns the calls to make.
    pub fn apply(
        &self,
        now: Timestamp,
        event: impl FnOnce(&mut OwnedEngine, Timestamp) -> Vec<OwnedAction>,
    ) -> Vec<EngineCall> {
        let mut state = self.lock();
        let mut calls = Vec::new();
        let mut actions = event(&mut state.owned, now);
        while !actions.is_empty() {
            let unheard = state.carry_out(actions, &mut calls);
            actions = Vec::new();
            for id in unheard {
                actions.extend(state.owned.on_input(now, EngineInput::Ended(id)));
            }
        }
        calls
    }

    /// Notes that the engine gave no report; true if it has to be given up for now.
    pub fn note_failed_report(&self) -> bool {
        let mut state = self.lock();
        state.failed_reports += 1;
        state.failed_reports >= UNREACHABLE_AFTER
    }

    /// Notes that the engine gave a report; true if it has restarted since the last one.
    pub fn note_report(&self, incarnation: Incarnation) -> bool {
        let mut state = self.lock();
        state.failed_reports = 0;
        state.owned.takeover_state().incarnation().is_some_and(|known| known != incarnation)
    }

    /// Whether an adapter can serve now.
    pub fn is_loaded(&self, adapter: &AdapterRef) -> bool {
        matches!(self.lock().owned.scheduler().slots().get(adapter), Some(SlotState::Ready { .. }))
    }

    /// Whether no request waits or runs here.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        let scheduler = state.owned.scheduler();
        scheduler.waiting().is_empty() && scheduler.running().is_empty()
    }

    /// What operators see of the engine.
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

    /// Incarnation that the engine last named, if any.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.lock().owned.takeover_state().incarnation()
    }

    /// Whether the takeover is over.
    pub fn is_taken_over(&self) -> bool {
        self.lock().owned.takeover_state().fencing().is_some()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the dispatches that nobody waits for any more.
    fn carry_out(
        &mut self,
        actions: Vec<OwnedAction>,
        calls: &mut Vec<EngineCall>,
    ) -> Vec<RequestId> {
        let mut unheard = Vec::new();
        for action in actions {
            match action {
                OwnedAction::Ask(query) => calls.push(EngineCall::Ask(query)),
                OwnedAction::Load { adapter, fencing } => {
                    calls.push(EngineCall::Load(adapter, fencing));
                }
                OwnedAction::Unload { adapter, fencing } => {
                    calls.push(EngineCall::Unload(adapter, fencing));
                }
                OwnedAction::Dispatch { request_id, fencing } => {
                    let told = self.waiters.remove(&request_id).map(|tx| tx.send(Ok(fencing)));
                    if !matches!(told, Some(Ok(()))) {
                        unheard.push(request_id);
                    }
                }
                // This core's loads are permitted at once.
                OwnedAction::RequestPermit { .. } | OwnedAction::ReturnPermit(_) => {}
                OwnedAction::Refuse { request_id, error } => {
                    if let Some(tx) = self.waiters.remove(&request_id) {
                        let _ = tx.send(Err(error));
                    }
                }
            }
        }
        unheard
    }
}
