//! The phases of a takeover, and the queries to the engine that it needs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineQuery;
use super::FenceOutcome;
use super::fencing_number::wall_clock_floor;
use super::next_fencing_number;
use crate::decide::engine::EngineInput;
use crate::decide::engine::SafetyInput;
use crate::names::AdapterRef;
use crate::names::FencingNumber;
use crate::names::Incarnation;
use crate::names::Timestamp;
use crate::names::WallTime;
use crate::wire::engine::EngineReport;
use crate::wire::listing::FencingMode;

/// Time after which a query without a reply is sent again.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between report queries while an adapter is held or about to be evicted.
const HELD_POLL: Duration = Duration::from_millis(100);
/// Time between report queries otherwise; they find a restarted engine that has no work.
const IDLE_POLL: Duration = Duration::from_secs(2);

/// Phase of a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// This instance doesn't own the engine.
    NotOwned,
    /// The engine is asked for its highest fencing number.
    Reading { settled_at: Timestamp },
    /// The engine is being fenced.
    Fencing { settled_at: Timestamp, number: FencingNumber },
    /// The engine is fenced; messages of earlier owners may arrive until `settled_at`.
    Settling { settled_at: Timestamp, number: FencingNumber },
    /// Taken over: orders and dispatches may be sent.
    Owned { number: FencingNumber },
}

/// The query that has no reply yet.
#[derive(Clone, Copy, Debug)]
struct PendingQuery {
    call: u64,
    sent: Timestamp,
}

/// State of the takeover of one engine.
#[derive(Clone, Debug)]
pub struct TakeoverState {
    fencing_mode: FencingMode,
    max_message_delay: Duration,
    owner: Incarnation,
    phase: Phase,
    last_call: u64,
    pending: Option<PendingQuery>,
    last_asked: Timestamp,
    incarnation: Option<Incarnation>,
    /// Highest number chosen here; a restarted engine has forgotten it.
    highest_chosen: FencingNumber,
    holds: BTreeMap<AdapterRef, Timestamp>,
}

impl TakeoverState {
    /// An engine that this instance doesn't own yet.
    pub fn new(fencing_mode: FencingMode, max_message_delay: Duration, owner: Incarnation) -> Self {
        Self {
            fencing_mode,
            max_message_delay,
            owner,
            phase: Phase::NotOwned,
            last_call: 0,
            pending: None,
            last_asked: Timestamp::ZERO,
            incarnation: None,
            highest_chosen: FencingNumber::default(),
            holds: BTreeMap::new(),
        }
    }

    /// Fencing number of orders and dispatches; `None` until the takeover is complete.
    pub fn fencing(&self) -> Option<FencingNumber> {
        match self.phase {
            Phase::Owned { number } => Some(number),
            _ => None,
        }
    }

    /// Incarnation that the engine last named; `None` before its first reply.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Starts a takeover, the first one or another after a message without a known outcome.
    ///
    /// Whatever was sent before `now`, by this owner or an earlier one, can't take effect
    /// after the takeover: the engine refuses its fencing number, or if it ignores those,
    /// `max_message_delay` is over.
    pub fn begin(&mut self, now: Timestamp) -> Vec<EngineInput> {
        let settled_at = match self.fencing_mode {
            FencingMode::Refuse => now,
            FencingMode::Ignore => now + self.max_message_delay,
        };
        self.phase = Phase::Reading { settled_at };
        self.pending = None;
        vec![EngineInput::Safety(SafetyInput::Pause)]
    }

    /// Raises the lower bound of later fencing numbers to the time of day.
    ///
    /// An engine that restarted under another owner has forgotten its highest number.
    pub fn raise_floor(&mut self, wall: WallTime) {
        self.highest_chosen = self.highest_chosen.max(wall_clock_floor(wall));
    }

    /// Gives the engine up, as the lease was lost.
    pub fn on_lease_lost(&mut self) -> Vec<EngineInput> {
        self.phase = Phase::NotOwned;
        self.pending = None;
        vec![EngineInput::Safety(SafetyInput::Pause)]
    }

    /// Counts an adapter as in use until a report asked for after `now` shows it idle.
    pub fn hold(&mut self, now: Timestamp, adapter: AdapterRef) -> Vec<EngineInput> {
        self.holds.insert(adapter.clone(), now);
        vec![EngineInput::Safety(SafetyInput::Hold(adapter))]
    }

    /// The next query, if one is due; `urgent` queries as often as for a held adapter.
    pub fn on_tick(&mut self, now: Timestamp, urgent: bool) -> Option<EngineQuery> {
        if self.pending.is_some_and(|pending| now.since(pending.sent) < QUERY_TIMEOUT) {
            return None;
        }
        match self.phase {
            Phase::NotOwned => None,
            Phase::Reading { .. } => Some(self.query_running(now)),
            Phase::Fencing { number, .. } => {
                let call = self.start_call(now);
                Some(EngineQuery::Fence { call, number })
            }
            Phase::Settling { settled_at, .. } => {
                (now >= settled_at).then(|| self.query_running(now))
            }
            Phase::Owned { .. } => {
                let fast = urgent || !self.holds.is_empty();
                let pause = if fast { HELD_POLL } else { IDLE_POLL };
                (now.since(self.last_asked) >= pause).then(|| self.query_running(now))
            }
        }
    }

    /// Handles the reply to a fencing order; ignored unless `call` is the open query.
    pub fn on_fence(&mut self, call: u64, outcome: FenceOutcome) {
        if self.finish_call(call).is_none() {
            return;
        }
        let Phase::Fencing { settled_at, number } = self.phase else { return };
        self.phase = match outcome {
            FenceOutcome::Taken => Phase::Settling { settled_at, number },
            FenceOutcome::TooLow { highest } => {
                Phase::Fencing { settled_at, number: self.choose(highest) }
            }
            FenceOutcome::Unknown => Phase::Reading { settled_at },
        };
    }

    /// Handles a failed report query, so that another is sent.
    pub fn on_report_failed(&mut self, call: u64) {
        self.finish_call(call);
    }

    /// Handles the engine's report.
    ///
    /// Returns what the scheduler must be told and, once the engine is owned, when the report was
    /// asked for.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        call: u64,
        report: &EngineReport,
    ) -> (Vec<EngineInput>, Option<Timestamp>) {
        let Some(asked) = self.finish_call(call) else { return (Vec::new(), None) };
        let restarted = self.incarnation.is_some_and(|known| known != report.incarnation);
        self.incarnation = Some(report.incarnation);
        if restarted {
            return (self.on_restart(now), None);
        }
        match self.phase {
            Phase::NotOwned | Phase::Fencing { .. } => (Vec::new(), None),
            Phase::Reading { settled_at } => {
                let number = self.choose(report.fencing);
                self.phase = Phase::Fencing { settled_at, number };
                (Vec::new(), None)
            }
            Phase::Settling { number, .. } => {
                self.phase = Phase::Owned { number };
                (self.take_over(asked, report), None)
            }
            Phase::Owned { .. } => (self.release_idle(asked, report), Some(asked)),
        }
    }

    /// Handles the incarnation that a reply of the engine names.
    ///
    /// A new one means that the engine restarted: its slots are empty and its fence is gone.
    pub fn on_incarnation(&mut self, now: Timestamp, seen: Incarnation) -> Vec<EngineInput> {
        let restarted = self.incarnation.is_some_and(|known| known != seen);
        self.incarnation = Some(seen);
        if restarted { self.on_restart(now) } else { Vec::new() }
    }

    fn on_restart(&mut self, now: Timestamp) -> Vec<EngineInput> {
        let mut inputs = Vec::new();
        if self.phase != Phase::NotOwned {
            inputs.extend(self.begin(now));
        }
        inputs.push(EngineInput::Restarted);
        inputs
    }

    /// Holds every adapter that runs something until a later report shows it idle.
    fn take_over(&mut self, asked: Timestamp, report: &EngineReport) -> Vec<EngineInput> {
        let mut inputs: Vec<EngineInput> = std::mem::take(&mut self.holds)
            .into_keys()
            .map(|adapter| EngineInput::Safety(SafetyInput::Release(adapter)))
            .collect();
        let loaded = report.loaded.iter().map(|slot| slot.adapter.clone()).collect();
        inputs.push(EngineInput::Safety(SafetyInput::Found(loaded)));
        for slot in report.loaded.iter().filter(|slot| slot.running > 0) {
            inputs.extend(self.hold(asked, slot.adapter.clone()));
        }
        inputs.push(EngineInput::Safety(SafetyInput::Resume));
        inputs
    }

    fn release_idle(&mut self, asked: Timestamp, report: &EngineReport) -> Vec<EngineInput> {
        let busy = |adapter: &AdapterRef| {
            report.loaded.iter().any(|slot| &slot.adapter == adapter && slot.running > 0)
        };
        let idle: Vec<AdapterRef> = self
            .holds
            .iter()
            .filter(|(adapter, since)| asked > **since && !busy(adapter))
            .map(|(adapter, _)| adapter.clone())
            .collect();
        idle.into_iter()
            .map(|adapter| {
                self.holds.remove(&adapter);
                EngineInput::Safety(SafetyInput::Release(adapter))
            })
            .collect()
    }

    /// A number above the engine's highest and above every earlier one of this owner.
    fn choose(&mut self, highest: FencingNumber) -> FencingNumber {
        self.highest_chosen = next_fencing_number(highest.max(self.highest_chosen), self.owner);
        self.highest_chosen
    }

    fn query_running(&mut self, now: Timestamp) -> EngineQuery {
        self.last_asked = now;
        EngineQuery::Running { call: self.start_call(now) }
    }

    fn start_call(&mut self, now: Timestamp) -> u64 {
        self.last_call += 1;
        self.pending = Some(PendingQuery { call: self.last_call, sent: now });
        self.last_call
    }

    /// Closes a query; returns when it was sent, or `None` if it isn't the open one.
    fn finish_call(&mut self, call: u64) -> Option<Timestamp> {
        self.pending.take_if(|pending| pending.call == call).map(|pending| pending.sent)
    }
}
