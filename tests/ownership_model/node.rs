//! One instance: the state machines under test, with the calls and messages that they cause.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::engine::QueuedRequest;
use tamaracklead::decide::engine::SafetyInput;
use tamaracklead::decide::ownership::Claimant;
use tamaracklead::decide::ownership::GroupId;
use tamaracklead::decide::ownership::LeaseAction;
use tamaracklead::decide::ownership::LeaseGranter;
use tamaracklead::decide::ownership::LeaseHolder;
use tamaracklead::decide::ownership::LeaseReply;
use tamaracklead::decide::ownership::LeaseTiming;
use tamaracklead::decide::takeover::EngineQuery;
use tamaracklead::decide::takeover::FenceOutcome;
use tamaracklead::decide::takeover::OwnedAction;
use tamaracklead::decide::takeover::OwnedEngine;
use tamaracklead::decide::takeover::UnresolvedMessage;
use tamaracklead::decide::takeover::was_chosen_by;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::FencingNumber;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::WallTime;
use tamaracklead::wire::engine::EngineRefusal;

use crate::engine::Answer;
use crate::engine::Call;
use crate::engine::SLOTS;

const BATCH: usize = 3;
const DEADLINE: Duration = Duration::from_secs(60);

/// A call to the engine without a known outcome yet.
#[derive(Clone, Debug)]
enum PendingCall {
    Running(u64),
    Fence(u64),
    Load(AdapterRef, FencingNumber),
    Unload(AdapterRef, FencingNumber),
    Dispatch { request_id: RequestId, adapter: AdapterRef, begun: bool },
}

/// A call to the engine that was decided on but not sent yet.
#[derive(Clone, Debug)]
pub struct Unsent {
    pub id: u64,
    pub fencing: FencingNumber,
    pub call: Call,
}

pub struct Node {
    pub name: InstanceName,
    incarnation: Incarnation,
    pub granter: LeaseGranter,
    holder: LeaseHolder,
    owned: OwnedEngine,
    group: GroupId,
    pub panel: Vec<InstanceName>,
    pub preferred: bool,
    /// Time of day on the instance's machine.
    pub wall: WallTime,
    adapters: BTreeMap<RequestId, AdapterRef>,
    pending: BTreeMap<u64, PendingCall>,
    last_call: u64,
    pub outbox: Vec<Unsent>,
    pub lease_actions: Vec<LeaseAction>,
    pub answered_not_run: BTreeSet<RequestId>,
}

impl Node {
    pub fn new(name: InstanceName, incarnation: Incarnation, group: &GroupId) -> Self {
        let timing = LeaseTiming::default();
        let claimant = Claimant { name: name.clone(), incarnation };
        let scheduler = EngineScheduler::new(SLOTS, BATCH);
        Self {
            name,
            incarnation,
            granter: LeaseGranter::new(timing),
            holder: LeaseHolder::new(group.clone(), claimant, timing),
            owned: OwnedEngine::new(
                scheduler,
                group.fencing,
                timing.max_message_delay,
                incarnation,
            ),
            group: group.clone(),
            panel: Vec::new(),
            preferred: false,
            wall: WallTime(0),
            adapters: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_call: 0,
            outbox: Vec::new(),
            lease_actions: Vec::new(),
            answered_not_run: BTreeSet::new(),
        }
    }

    pub fn believes_owner(&self, now: Timestamp) -> bool {
        self.holder.may_act(now).is_ok()
    }

    pub fn on_list(&mut self, now: Timestamp, panel: Vec<InstanceName>) {
        let membership = panel.contains(&self.name).then(|| self.group.clone());
        self.granter.on_panels(now, &membership.into_iter().collect());
        self.panel = panel;
    }

    pub fn on_tick(&mut self, now: Timestamp) {
        self.granter.on_tick(now);
        let actions = self.holder.on_tick(now, self.preferred, &self.panel);
        self.on_lease(now, actions);
        let actions = self.owned.on_tick(now);
        self.on_owned(actions);
    }

    pub fn on_grant(&mut self, now: Timestamp, from: &InstanceName, reply: &LeaseReply) {
        let actions = self.holder.on_reply(now, from, reply);
        self.on_lease(now, actions);
    }

    pub fn on_arrival(&mut self, now: Timestamp, request_id: RequestId, adapter: AdapterRef) {
        if self.holder.may_act(now).is_err() {
            self.answered_not_run.insert(request_id);
            return;
        }
        self.adapters.insert(request_id, adapter.clone());
        let deadline = now + DEADLINE;
        let waiting = QueuedRequest { request_id, adapter, priority: 5, arrived: now, deadline };
        let actions = self.owned.on_input(now, EngineInput::Arrived(waiting));
        self.on_owned(actions);
    }

    /// Sends the decided calls; all but reports need a lease at the time of the send.
    pub fn flush(&mut self, now: Timestamp) -> Vec<Unsent> {
        let mut sent = Vec::new();
        for unsent in std::mem::take(&mut self.outbox) {
            let needs_no_lease = matches!(unsent.call, Call::Running);
            if needs_no_lease || self.holder.may_act(now).is_ok() {
                sent.push(unsent);
            } else {
                self.on_not_sent(now, unsent.id);
            }
        }
        sent
    }

    fn on_not_sent(&mut self, now: Timestamp, id: u64) {
        let actions = match self.pending.remove(&id) {
            Some(PendingCall::Dispatch { request_id, .. }) => {
                self.answered_not_run.insert(request_id);
                self.owned.on_input(now, EngineInput::Ended(request_id))
            }
            Some(PendingCall::Fence(call)) => self.owned.on_fence(now, call, FenceOutcome::Unknown),
            Some(_) => self.owned.on_outcome_unknown(now, UnresolvedMessage::Order),
            None => Vec::new(),
        };
        self.on_owned(actions);
    }

    /// Stops waiting for the `pick`-th pending call that was sent; the engine may still get it.
    pub fn give_up(&mut self, now: Timestamp, pick: usize) {
        let unsent: BTreeSet<u64> = self.outbox.iter().map(|unsent| unsent.id).collect();
        let sent: Vec<u64> =
            self.pending.keys().filter(|id| !unsent.contains(id)).copied().collect();
        if !sent.is_empty() {
            self.on_broken(now, sent[pick % sent.len()]);
        }
    }

    fn on_broken(&mut self, now: Timestamp, id: u64) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let actions = match pending {
            PendingCall::Running(call) => {
                self.owned.on_report_failed(call);
                Vec::new()
            }
            PendingCall::Fence(call) => self.owned.on_fence(now, call, FenceOutcome::Unknown),
            PendingCall::Load(..) | PendingCall::Unload(..) => {
                self.owned.on_outcome_unknown(now, UnresolvedMessage::Order)
            }
            PendingCall::Dispatch { request_id, adapter, begun: true } => {
                self.owned.on_outcome_unknown(now, UnresolvedMessage::Begun { request_id, adapter })
            }
            PendingCall::Dispatch { request_id, begun: false, .. } => {
                self.owned.on_outcome_unknown(now, UnresolvedMessage::Dispatch(request_id))
            }
        };
        self.on_owned(actions);
    }

    pub fn on_answer(&mut self, now: Timestamp, id: u64, answer: Answer) {
        match answer {
            Answer::Report(report) => {
                let Some(PendingCall::Running(call)) = self.pending.remove(&id) else { return };
                let actions = self.owned.on_report(now, call, &report);
                self.on_owned(actions);
            }
            Answer::Done => self.on_done(now, id),
            Answer::Begun => {
                if let Some(PendingCall::Dispatch { begun, .. }) = self.pending.get_mut(&id) {
                    *begun = true;
                }
            }
            Answer::Finished => {
                let Some(PendingCall::Dispatch { request_id, .. }) = self.pending.remove(&id)
                else {
                    return;
                };
                let actions = self.owned.on_input(now, EngineInput::Ended(request_id));
                self.on_owned(actions);
            }
            Answer::Broken => self.on_broken(now, id),
            Answer::Refused { refusal, highest } => self.on_refused(now, id, refusal, highest),
        }
    }

    fn on_done(&mut self, now: Timestamp, id: u64) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let actions = match pending {
            PendingCall::Fence(call) => self.owned.on_fence(now, call, FenceOutcome::Taken),
            PendingCall::Load(adapter, fencing) => {
                let outcome = EngineInput::LoadEnded { adapter, loaded: true };
                self.owned.on_order_ended(now, fencing, outcome)
            }
            PendingCall::Unload(adapter, fencing) => {
                let outcome = EngineInput::UnloadEnded { adapter, unloaded: true };
                self.owned.on_order_ended(now, fencing, outcome)
            }
            PendingCall::Running(_) | PendingCall::Dispatch { .. } => Vec::new(),
        };
        self.on_owned(actions);
    }

    fn on_refused(
        &mut self,
        now: Timestamp,
        id: u64,
        refusal: EngineRefusal,
        highest: FencingNumber,
    ) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let fenced =
            refusal == EngineRefusal::OldFencing && !was_chosen_by(highest, self.incarnation);
        let actions = match pending {
            PendingCall::Fence(call) => {
                self.owned.on_fence(now, call, FenceOutcome::TooLow { highest })
            }
            PendingCall::Dispatch { request_id, adapter, .. } => {
                self.answered_not_run.insert(request_id);
                let mut actions = self.owned.on_input(now, EngineInput::Ended(request_id));
                if refusal == EngineRefusal::NotLoaded {
                    let gone = EngineInput::Safety(SafetyInput::NotLoaded(adapter));
                    actions.extend(self.owned.on_input(now, gone));
                }
                actions
            }
            PendingCall::Load(..) | PendingCall::Unload(..) => {
                self.owned.on_outcome_unknown(now, UnresolvedMessage::Order)
            }
            PendingCall::Running(_) => Vec::new(),
        };
        self.on_owned(actions);
        if fenced {
            let actions = self.holder.on_fenced(now, &self.panel);
            self.on_lease(now, actions);
        }
    }

    fn on_lease(&mut self, now: Timestamp, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::Acquired => {
                    let actions = self.owned.on_lease_acquired(now, self.wall);
                    self.on_owned(actions);
                }
                LeaseAction::Lost => {
                    let actions = self.owned.on_lease_lost(now);
                    self.on_owned(actions);
                }
                message => self.lease_actions.push(message),
            }
        }
    }

    fn on_owned(&mut self, actions: Vec<OwnedAction>) {
        for action in actions {
            match action {
                OwnedAction::Query(EngineQuery::Running { call }) => {
                    self.post(PendingCall::Running(call), FencingNumber(0), Call::Running);
                }
                OwnedAction::Query(EngineQuery::Fence { call, number }) => {
                    self.post(PendingCall::Fence(call), number, Call::Fence);
                }
                OwnedAction::Load { adapter, fencing } => {
                    let call = Call::Load(adapter.clone());
                    self.post(PendingCall::Load(adapter, fencing), fencing, call);
                }
                OwnedAction::Unload { adapter, fencing } => {
                    let call = Call::Unload(adapter.clone());
                    self.post(PendingCall::Unload(adapter, fencing), fencing, call);
                }
                OwnedAction::Dispatch { request_id, fencing } => {
                    let adapter = self.adapters[&request_id].clone();
                    let call = Call::Dispatch(request_id, adapter.clone());
                    let pending = PendingCall::Dispatch { request_id, adapter, begun: false };
                    self.post(pending, fencing, call);
                }
                // Schedulers of the model load without permits.
                OwnedAction::RequestPermit { .. } | OwnedAction::ReturnPermit(_) => {
                    unreachable!("a permit was requested")
                }
                OwnedAction::Refuse { request_id, .. } => {
                    self.answered_not_run.insert(request_id);
                }
            }
        }
    }

    fn post(&mut self, pending: PendingCall, fencing: FencingNumber, call: Call) {
        self.last_call += 1;
        self.pending.insert(self.last_call, pending);
        self.outbox.push(Unsent { id: self.last_call, fencing, call });
    }
}
