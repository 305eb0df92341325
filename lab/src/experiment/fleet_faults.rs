//! Faults of a run: restarts, retries and final refusals.

use std::time::Duration;

use rand::Rng;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::Timestamp;

use super::event::Event;
use super::fleet::Fleet;
use super::fleet::adapter_ref;
use super::policy::Policy;
use super::request::Outcome;
use crate::load::FleetEvent;

/// How often a request is routed at most.
const MOST_ROUTED: u32 = 3;

/// How often a refused caller tries at most.
const MOST_TRIES: u32 = 4;

/// Time after which a caller that got no `Retry-After` comes back.
const COME_BACK: Duration = Duration::from_secs(1);

impl Fleet<'_> {
    pub(super) fn on_fleet_event(&mut self, now: Timestamp, number: usize) {
        match self.workload.events[number].1.clone() {
            FleetEvent::Restart(engine) => self.restart(now, engine),
            FleetEvent::StoreRate(rate) => self.store.set_rate(rate),
            FleetEvent::Preset(pinned) => self.pin(now, &pinned),
        }
    }

    fn pin(&mut self, now: Timestamp, pinned: &[usize]) {
        let adapters: Vec<AdapterRef> = pinned.iter().map(|number| adapter_ref(*number)).collect();
        for engine in 0..self.owners.len() {
            let here = adapters.iter().filter(|a| self.router.first_home(a) == engine);
            let here = here.cloned().collect();
            self.input(now, engine, EngineInput::Pinned(here));
        }
    }

    fn restart(&mut self, now: Timestamp, engine: usize) {
        let lost = self.models[engine].restart(now);
        for id in &lost {
            self.requests[id.0 as usize].running = false;
        }
        self.input(now, engine, EngineInput::Restarted);
        for id in lost {
            self.input(now, engine, EngineInput::Ended(id));
            let number = id.0 as usize;
            if self.requests[number].first_token.is_some() {
                self.requests[number].outcome = Some(Outcome::Failed);
            } else {
                self.reroute(now, engine, number, &Error::new(ErrorKind::BackendFailed, "lost"));
            }
        }
    }

    pub(super) fn on_refused(
        &mut self,
        now: Timestamp,
        engine: usize,
        number: usize,
        error: &Error,
    ) {
        self.requests[number].end_stall(now);
        if error.kind == ErrorKind::LoadFailed {
            self.reroute(now, engine, number, error);
        } else {
            self.refuse(now, number, error);
        }
    }

    fn reroute(&mut self, now: Timestamp, engine: usize, number: usize, error: &Error) {
        let request = &self.requests[number];
        let may_retry = request.routed < MOST_ROUTED && now < request.deadline;
        if may_retry && (self.policy != Policy::Ours || self.retries.take()) {
            self.route(now, number, Some(engine));
        } else {
            self.refuse(now, number, error);
        }
    }

    pub(super) fn refuse(&mut self, now: Timestamp, number: usize, error: &Error) {
        self.requests[number].outcome = Some(Outcome::Refused);
        let again = self.requests[number].caller_try + 1 < MOST_TRIES;
        if self.scenario.callers_retry() && again {
            let span = error.retry_after.unwrap_or(COME_BACK);
            let jitter = span.mul_f64(self.rng.random_range(0.0..0.5));
            self.schedule(now + span + jitter, Event::ComeBack(number));
        }
    }
}
