//! One engine as its owner sees it: its scheduler and the state of its takeover.

use std::collections::BTreeMap;
use std::time::Duration;

use super::FenceOutcome;
use super::OwnedAction;
use super::TakeoverState;
use super::UnresolvedMessage;
use crate::decide::engine::EngineAction;
use crate::decide::engine::EngineInput;
use crate::decide::engine::EngineScheduler;
use crate::decide::engine::SafetyInput;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::AdapterRef;
use crate::names::FencingNumber;
use crate::names::Incarnation;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::names::WallTime;
use crate::wire::engine::EngineReport;
use crate::wire::listing::FencingMode;

/// One engine at an instance that owns it or may come to own it.
#[derive(Clone, Debug)]
pub struct OwnedEngine {
    scheduler: EngineScheduler,
    takeover_state: TakeoverState,
    /// Adapters closed to new work, and since when; each is unloaded once a later report of the
    /// engine shows it idle.
    evicting: BTreeMap<AdapterRef, Timestamp>,
}

impl OwnedEngine {
    /// An engine that this instance doesn't own yet.
    pub fn new(
        mut scheduler: EngineScheduler,
        fencing_mode: FencingMode,
        max_message_delay: Duration,
        owner: Incarnation,
    ) -> Self {
        scheduler.on_input(Timestamp::ZERO, EngineInput::Safety(SafetyInput::Pause));
        Self {
            scheduler,
            takeover_state: TakeoverState::new(fencing_mode, max_message_delay, owner),
            evicting: BTreeMap::new(),
        }
    }

    /// Scheduler of the engine's queue and slots.
    pub fn scheduler(&self) -> &EngineScheduler {
        &self.scheduler
    }

    /// State of the takeover, and what the engine itself reported.
    pub fn takeover_state(&self) -> &TakeoverState {
        &self.takeover_state
    }

    /// Starts the takeover when the lease was acquired; `wall` is the time of day.
    pub fn on_lease_acquired(&mut self, now: Timestamp, wall: WallTime) -> Vec<OwnedAction> {
        self.takeover_state.raise_floor(wall);
        let inputs = self.takeover_state.begin(now);
        let mut actions = self.apply(now, inputs);
        actions.extend(self.on_tick(now));
        actions
    }

    /// Stops using the engine when the lease was lost.
    ///
    /// Waiting requests are refused as not run, so that they can be routed anew.
    pub fn on_lease_lost(&mut self, now: Timestamp) -> Vec<OwnedAction> {
        let inputs = self.takeover_state.on_lease_lost();
        let mut actions = self.apply(now, inputs);
        let waiting: Vec<RequestId> =
            self.scheduler.waiting().iter().map(|waiting| waiting.request_id).collect();
        for request_id in waiting {
            actions.extend(self.apply(now, vec![EngineInput::Withdrawn(request_id)]));
            let error = Error::new(
                ErrorKind::NotOwner,
                "this instance lost the lease of the engine; the request was not run",
            );
            actions.push(OwnedAction::Refuse { request_id, error });
        }
        actions
    }

    /// Handles an event of the scheduler: arrivals, withdrawals, ends of dispatches.
    pub fn on_input(&mut self, now: Timestamp, input: EngineInput) -> Vec<OwnedAction> {
        self.apply(now, vec![input])
    }

    /// Runs the scheduler and returns its actions, with the query to the engine if one is due.
    pub fn on_tick(&mut self, now: Timestamp) -> Vec<OwnedAction> {
        let mut actions = self.apply(now, vec![EngineInput::Tick]);
        let query = self.takeover_state.on_tick(now, !self.evicting.is_empty());
        actions.extend(query.map(OwnedAction::Query));
        actions
    }

    /// Handles the known outcome of a load or unload order that carried `fencing`.
    ///
    /// Outcomes of orders from before the last takeover are ignored: they say nothing of the engine
    /// now.
    pub fn on_order_ended(
        &mut self,
        now: Timestamp,
        fencing: FencingNumber,
        outcome: EngineInput,
    ) -> Vec<OwnedAction> {
        if self.takeover_state.fencing() != Some(fencing) {
            return Vec::new();
        }
        self.apply(now, vec![outcome])
    }

    /// Handles a message without a known outcome: no reply came, or the connection broke.
    ///
    /// A request that the engine had begun may still run, so its adapter is held. After any other
    /// message the engine is taken over anew.
    pub fn on_outcome_unknown(
        &mut self,
        now: Timestamp,
        sent: UnresolvedMessage,
    ) -> Vec<OwnedAction> {
        let mut inputs = Vec::new();
        match sent {
            UnresolvedMessage::Begun { request_id, adapter } => {
                inputs.extend(self.takeover_state.hold(now, adapter));
                inputs.push(EngineInput::Ended(request_id));
            }
            UnresolvedMessage::Dispatch(request_id) => {
                inputs.extend(self.retake(now));
                inputs.push(EngineInput::Ended(request_id));
            }
            UnresolvedMessage::Order => inputs.extend(self.retake(now)),
        }
        self.apply(now, inputs)
    }

    /// Handles the reply to the fencing order of query number `call`.
    pub fn on_fence(
        &mut self,
        now: Timestamp,
        call: u64,
        outcome: FenceOutcome,
    ) -> Vec<OwnedAction> {
        self.takeover_state.on_fence(call, outcome);
        self.on_tick(now)
    }

    /// Handles the engine's own report, the reply to query number `call`.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        call: u64,
        report: &EngineReport,
    ) -> Vec<OwnedAction> {
        let (inputs, asked) = self.takeover_state.on_report(now, call, report);
        let mut actions = self.apply(now, inputs);
        if let Some(asked) = asked {
            actions.extend(self.unload_idle(now, asked, report));
        }
        actions.extend(self.on_tick(now));
        actions
    }

    /// Handles a report query that failed.
    pub fn on_report_failed(&mut self, call: u64) {
        self.takeover_state.on_report_failed(call);
    }

    /// Handles an incarnation that a reply of the engine named.
    pub fn on_incarnation(&mut self, now: Timestamp, seen: Incarnation) -> Vec<OwnedAction> {
        let inputs = self.takeover_state.on_incarnation(now, seen);
        self.apply(now, inputs)
    }

    fn retake(&mut self, now: Timestamp) -> Vec<EngineInput> {
        match self.takeover_state.fencing() {
            Some(_) => self.takeover_state.begin(now),
            None => Vec::new(),
        }
    }

    /// Unloads closed adapters that a report shows idle, if it was asked for after their closing.
    fn unload_idle(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        report: &EngineReport,
    ) -> Vec<OwnedAction> {
        let Some(fencing) = self.takeover_state.fencing() else { return Vec::new() };
        let mut actions = Vec::new();
        for (adapter, closed) in std::mem::take(&mut self.evicting) {
            if asked < closed {
                self.evicting.insert(adapter, closed);
                continue;
            }
            let slot = report.loaded.iter().find(|slot| slot.adapter == adapter);
            match slot.map(|slot| slot.running) {
                Some(0) => actions.push(OwnedAction::Unload { adapter, fencing }),
                Some(_) => actions.extend(self.reopen(now, adapter)),
                None => {
                    let gone = EngineInput::UnloadEnded { adapter, unloaded: true };
                    actions.extend(self.apply(now, vec![gone]));
                }
            }
        }
        actions
    }

    /// Reopens an adapter on which the engine runs work that isn't known here.
    fn reopen(&mut self, now: Timestamp, adapter: AdapterRef) -> Vec<OwnedAction> {
        let mut inputs = self.takeover_state.hold(now, adapter.clone());
        inputs.push(EngineInput::UnloadEnded { adapter, unloaded: false });
        self.apply(now, inputs)
    }

    fn apply(&mut self, now: Timestamp, inputs: Vec<EngineInput>) -> Vec<OwnedAction> {
        let mut actions = Vec::new();
        for input in inputs {
            for action in self.scheduler.on_input(now, input) {
                actions.extend(self.handle_action(now, action));
            }
        }
        if self.takeover_state.fencing().is_none() {
            self.evicting.clear();
        }
        actions
    }

    fn handle_action(&mut self, now: Timestamp, action: EngineAction) -> Vec<OwnedAction> {
        let fencing = self.takeover_state.fencing();
        match (action, fencing) {
            (EngineAction::Refuse { request_id, error }, _) => {
                vec![OwnedAction::Refuse { request_id, error }]
            }
            (EngineAction::ReturnPermit(adapter), _) => vec![OwnedAction::ReturnPermit(adapter)],
            (EngineAction::RequestPermit { adapter, urgency }, Some(_)) => {
                vec![OwnedAction::RequestPermit { adapter, urgency }]
            }
            (EngineAction::Load(adapter), Some(fencing)) => {
                vec![OwnedAction::Load { adapter, fencing }]
            }
            (EngineAction::Dispatch(request_id), Some(fencing)) => {
                vec![OwnedAction::Dispatch { request_id, fencing }]
            }
            (EngineAction::Unload(adapter), Some(_)) => {
                self.evicting.insert(adapter, now);
                let query = self.takeover_state.on_tick(now, true);
                query.map(OwnedAction::Query).into_iter().collect()
            }
            (_, None) => Vec::new(),
        }
    }
}
