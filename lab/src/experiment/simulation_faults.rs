//! Fault handling of the simulation: engine restarts, reroutes, refusals and callers' retries.

use std::time::Duration;

use rand::Rng;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::Timestamp;

use super::event::Event;
use super::policy::Policy;
use super::request::Outcome;
use super::simulation::Simulation;
use super::simulation::adapter_ref;
use crate::workloads::FleetEvent;

/// Most times that one request is routed, the first included.
const MAX_ROUTES: u32 = 3;

/// Most attempts of one caller, the first included.
const MAX_CALLER_ATTEMPTS: u32 = 4;

/// Delay before the retry of a caller that got no `Retry-After`; jitter of up to half is added.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Simulation<'_> {
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
            let here = adapters.iter().filter(|a| self.router.top_ranked_engine(a) == engine);
            let here = here.cloned().collect();
            self.apply_input(now, engine, EngineInput::Pinned(here));
        }
    }

    fn restart(&mut self, now: Timestamp, engine: usize) {
        let lost = self.models[engine].restart(now);
        for id in &lost {
            self.requests[id.0 as usize].is_running = false;
        }
        self.apply_input(now, engine, EngineInput::Restarted);
        for id in lost {
            self.apply_input(now, engine, EngineInput::Ended(id));
            let number = id.0 as usize;
            if self.requests[number].first_token_at.is_some() {
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
        let may_reroute = request.route_count < MAX_ROUTES && now < request.deadline;
        if may_reroute && (self.policy != Policy::Tamaracklead || self.retry_budget.take()) {
            self.route(now, number, Some(engine));
        } else {
            self.refuse(now, number, error);
        }
    }

    pub(super) fn refuse(&mut self, now: Timestamp, number: usize, error: &Error) {
        self.requests[number].outcome = Some(Outcome::Refused);
        let again = self.requests[number].caller_attempt + 1 < MAX_CALLER_ATTEMPTS;
        if self.scenario.callers_retry() && again {
            let span = error.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            let jitter = span.mul_f64(self.rng.random_range(0.0..0.5));
            self.schedule(now + span + jitter, Event::CallerRetry(number));
        }
    }
}
