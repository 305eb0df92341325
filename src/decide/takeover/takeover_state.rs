//! What an owner knows of an engine that it took over.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineQuery;
use super::FenceOutcome;
use super::fencing_number::floor;
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

/// Time after which an unanswered query is sent again.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between queries while an adapter is held or about to be evicted.
const HELD_POLL: Duration = Duration::from_millis(100);
/// Time between queries otherwise: finds a restarted engine that has no work.
const IDLE_POLL: Duration = Duration::from_secs(2);

/// How far a takeover is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The engine is another instance's.
    Foreign,
    /// The highest fencing number is being asked for.
    Reading { settled: Timestamp },
    /// The engine is being fenced.
    FencingNumber { settled: Timestamp, number: FencingNumber },
    /// Fenced; messages of earlier owners may arrive until `settled`.
    Settling { settled: Timestamp, number: FencingNumber },
    /// Orders and dispatches may be sent.
    Owned { number: FencingNumber },
}

/// A query without an answer yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    call: u64,
    sent: Timestamp,
}

/// What an owner knows of an engine that it took over.
#[derive(Clone, Debug)]
pub struct TakeoverState {
    mode: FencingMode,
    max_message_delay: Duration,
    owner: Incarnation,
    phase: Phase,
    calls: u64,
    open: Option<Open>,
    asked: Timestamp,
    incarnation: Option<Incarnation>,
    /// Highest number chosen here; an engine that came back has forgotten it.
    chosen: FencingNumber,
    holds: BTreeMap<AdapterRef, Timestamp>,
}

impl TakeoverState {
    /// An engine that belongs to another instance.
    pub fn new(mode: FencingMode, max_message_delay: Duration, owner: Incarnation) -> Self {
        Self {
            mode,
            max_message_delay,
            owner,
            phase: Phase::Foreign,
            calls: 0,
            open: None,
            asked: Timestamp::ZERO,
            incarnation: None,
            chosen: FencingNumber::default(),
            holds: BTreeMap::new(),
        }
    }

    /// The number that orders and dispatches carry, once the takeover is over.
    pub fn fencing(&self) -> Option<FencingNumber> {
        match self.phase {
            Phase::Owned { number } => Some(number),
            _ => None,
        }
    }

    /// Incarnation that the engine last reported.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Takes the engine over, or takes it over again after a message whose end is unknown.
    ///
    /// Whatever was sent before `now`, by this owner or an earlier one, is dead
    /// after the takeover: by the fence where the engine checks it, else by `max_message_delay`.
    pub fn begin(&mut self, now: Timestamp) -> Vec<EngineInput> {
        let settled = match self.mode {
            FencingMode::Refuse => now,
            FencingMode::Ignore => now + self.max_message_delay,
        };
        self.phase = Phase::Reading { settled };
        self.open = None;
        vec![EngineInput::Safety(SafetyInput::Pause)]
    }

    /// Chooses no number below the time of day at which the lease was acquired.
    ///
    /// An engine that restarted under another owner has forgotten its highest number.
    pub fn raise(&mut self, wall: WallTime) {
        self.chosen = self.chosen.max(floor(wall));
    }

    /// The engine belongs to another instance.
    pub fn lose(&mut self) -> Vec<EngineInput> {
        self.phase = Phase::Foreign;
        self.open = None;
        vec![EngineInput::Safety(SafetyInput::Pause)]
    }

    /// Counts an adapter as in use until a report that was asked for after `now` shows it idle.
    pub fn hold(&mut self, now: Timestamp, adapter: AdapterRef) -> Vec<EngineInput> {
        self.holds.insert(adapter.clone(), now);
        vec![EngineInput::Safety(SafetyInput::Hold(adapter))]
    }

    /// The next query, if one is due; `urgent` asks as often as for a held adapter.
    pub fn on_tick(&mut self, now: Timestamp, urgent: bool) -> Option<EngineQuery> {
        if self.open.is_some_and(|open| now.since(open.sent) < QUERY_TIMEOUT) {
            return None;
        }
        match self.phase {
            Phase::Foreign => None,
            Phase::Reading { .. } => Some(self.ask_running(now)),
            Phase::FencingNumber { number, .. } => {
                let call = self.open_call(now);
                Some(EngineQuery::Fence { call, number })
            }
            Phase::Settling { settled, .. } => (now >= settled).then(|| self.ask_running(now)),
            Phase::Owned { .. } => {
                let fast = urgent || !self.holds.is_empty();
                let pause = if fast { HELD_POLL } else { IDLE_POLL };
                (now.since(self.asked) >= pause).then(|| self.ask_running(now))
            }
        }
    }

    /// Takes the answer to a fencing order.
    pub fn on_fence(&mut self, call: u64, outcome: FenceOutcome) {
        if self.close_call(call).is_none() {
            return;
        }
        let Phase::FencingNumber { settled, number } = self.phase else { return };
        self.phase = match outcome {
            FenceOutcome::Taken => Phase::Settling { settled, number },
            FenceOutcome::TooLow { highest } => {
                Phase::FencingNumber { settled, number: self.choose(highest) }
            }
            FenceOutcome::Unknown => Phase::Reading { settled },
        };
    }

    /// A query for a report failed.
    pub fn on_report_failed(&mut self, call: u64) {
        self.close_call(call);
    }

    /// Takes the engine's direct report; returns what it means, and when it was asked for.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        call: u64,
        report: &EngineReport,
    ) -> (Vec<EngineInput>, Option<Timestamp>) {
        let Some(asked) = self.close_call(call) else { return (Vec::new(), None) };
        let restarted = self.incarnation.is_some_and(|known| known != report.incarnation);
        self.incarnation = Some(report.incarnation);
        if restarted {
            return (self.on_restart(now), None);
        }
        match self.phase {
            Phase::Foreign | Phase::FencingNumber { .. } => (Vec::new(), None),
            Phase::Reading { settled } => {
                let number = self.choose(report.fencing);
                self.phase = Phase::FencingNumber { settled, number };
                (Vec::new(), None)
            }
            Phase::Settling { number, .. } => {
                self.phase = Phase::Owned { number };
                (self.take_over(asked, report), None)
            }
            Phase::Owned { .. } => (self.release_idle(asked, report), Some(asked)),
        }
    }

    /// The engine's answer names another incarnation: its slots are empty and its fence is gone.
    pub fn on_incarnation(&mut self, now: Timestamp, seen: Incarnation) -> Vec<EngineInput> {
        let restarted = self.incarnation.is_some_and(|known| known != seen);
        self.incarnation = Some(seen);
        if restarted { self.on_restart(now) } else { Vec::new() }
    }

    fn on_restart(&mut self, now: Timestamp) -> Vec<EngineInput> {
        let mut inputs = Vec::new();
        if self.phase != Phase::Foreign {
            inputs.extend(self.begin(now));
        }
        inputs.push(EngineInput::Restarted);
        inputs
    }

    /// Every adapter that runs something is held until a later report shows it idle.
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
        self.chosen = next_fencing_number(highest.max(self.chosen), self.owner);
        self.chosen
    }

    fn ask_running(&mut self, now: Timestamp) -> EngineQuery {
        self.asked = now;
        EngineQuery::Running { call: self.open_call(now) }
    }

    fn open_call(&mut self, now: Timestamp) -> u64 {
        self.calls += 1;
        self.open = Some(Open { call: self.calls, sent: now });
        self.calls
    }

    /// When the call was sent, if it is the open one.
    fn close_call(&mut self, call: u64) -> Option<Timestamp> {
        self.open.take_if(|open| open.call == call).map(|open| open.sent)
    }
}
