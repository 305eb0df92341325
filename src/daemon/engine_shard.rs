//! State of one owned engine, under its own lock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::oneshot;

use crate::decide::engine::EngineAction;
use crate::decide::engine::EngineCore;
use crate::decide::engine::EngineInput;
use crate::decide::engine::SlotState;
use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::BackendName;
use crate::names::Fencing;
use crate::names::Incarnation;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::wire::operator::EngineStatus;

/// Reports in a row that an engine may miss before its queue is refused.
const UNREACHABLE_AFTER: u32 = 3;

/// What a waiting request learns: that it may be sent, or its final answer.
pub type Verdict = Result<(), Error>;

/// An order that must be given to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingOrder {
    /// Load an adapter.
    Load(AdapterRef),
    /// Unload an adapter if nothing runs on it.
    Unload(AdapterRef),
}

#[derive(Debug)]
struct State {
    core: EngineCore,
    waiters: HashMap<RequestId, oneshot::Sender<Verdict>>,
    incarnation: Option<Incarnation>,
    failed_reports: u32,
    fencing: Fencing,
}

/// One owned engine.
#[derive(Debug)]
pub struct EngineShard {
    /// Name of the engine.
    pub name: BackendName,
    /// Address that it serves on.
    pub addr: SocketAddr,
    state: Mutex<State>,
}

impl EngineShard {
    /// An engine whose slots are unknown until its first report.
    pub fn new(name: BackendName, addr: SocketAddr, core: EngineCore) -> Self {
        let state = State {
            core,
            waiters: HashMap::new(),
            incarnation: None,
            failed_reports: 0,
            fencing: Fencing::default(),
        };
        Self { name, addr, state: Mutex::new(state) }
    }

    /// Fencing number of this owner.
    pub fn fencing(&self) -> Fencing {
        self.lock().fencing
    }

    /// Raises the fencing number of this owner.
    pub fn set_fencing(&self, fencing: Fencing) {
        self.lock().fencing = fencing;
    }

    /// Registers who waits for a request's verdict.
    pub fn register(&self, id: RequestId, tx: oneshot::Sender<Verdict>) {
        self.lock().waiters.insert(id, tx);
    }

    /// Takes one event; tells the requests concerned and returns the orders to give.
    pub fn apply(&self, now: Timestamp, input: EngineInput) -> Vec<PendingOrder> {
        let mut state = self.lock();
        let mut orders = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in state.core.on_input(now, input) {
                match action {
                    EngineAction::Load(adapter) => orders.push(PendingOrder::Load(adapter)),
                    EngineAction::Unload(adapter) => orders.push(PendingOrder::Unload(adapter)),
                    // This core's loads are permitted at once.
                    EngineAction::ApplyForPermit { .. } | EngineAction::ReturnPermit(_) => {}
                    EngineAction::Dispatch(id) => {
                        let told = state.waiters.remove(&id).map(|tx| tx.send(Ok(())));
                        if !matches!(told, Some(Ok(()))) {
                            inputs.push(EngineInput::Ended(id));
                        }
                    }
                    EngineAction::Refuse { request_id, error } => {
                        if let Some(tx) = state.waiters.remove(&request_id) {
                            let _ = tx.send(Err(error));
                        }
                    }
                }
            }
        }
        orders
    }

    /// Notes that the engine gave no report; true if it has to be given up for now.
    pub fn note_failed_report(&self) -> bool {
        let mut state = self.lock();
        state.failed_reports += 1;
        state.failed_reports >= UNREACHABLE_AFTER
    }

    /// Notes the engine's incarnation; true if it has restarted since the last report.
    pub fn note_incarnation(&self, incarnation: Incarnation) -> bool {
        let mut state = self.lock();
        state.failed_reports = 0;
        let restarted = state.incarnation.is_some_and(|known| known != incarnation);
        state.incarnation = Some(incarnation);
        restarted
    }

    /// Whether an adapter can serve now.
    pub fn is_loaded(&self, adapter: &AdapterRef) -> bool {
        matches!(self.lock().core.slots().get(adapter), Some(SlotState::Ready { .. }))
    }

    /// Whether no request waits or runs here.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.core.waiting().is_empty() && state.core.running().is_empty()
    }

    /// What operators see of the engine.
    pub fn status(&self) -> EngineStatus {
        let state = self.lock();
        EngineStatus {
            engine: self.name.clone(),
            loaded: state.core.slots().keys().cloned().collect(),
            slots: state.core.slot_count(),
            batch: state.core.batch(),
            running: state.core.running().len(),
            waiting: state.core.waiting().len(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
