//! Discrete-event simulation of one run: routing, engine owners, engines and weight store.
//!
//! The policy under test decides where each request goes and which adapters an
//! engine loads and evicts; models of the engines and of the weight store answer in
//! virtual time. Routing sees the engines only as of the last tick.

use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::engine::EngineAction;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::QueuedRequest;
use tamaracklead::decide::permits::PermitIssuer;
use tamaracklead::decide::permits::PermitKey;
use tamaracklead::decide::permits::StoreLimits;
use tamaracklead::decide::retry_budget::RetryBudget;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;

use super::event::Event;
use super::event::ScheduledEvent;
use super::owner::Owner;
use super::policy::Policy;
use super::request::Outcome;
use super::request::Request;
use super::router::EngineView;
use super::router::Router;
use super::run_metrics::RunCounters;
use super::run_metrics::RunMetrics;
use crate::model::EngineModel;
use crate::model::LOAD_TIME;
use crate::model::RunningRequest;
use crate::model::StepEvent;
use crate::model::StoreModel;
use crate::workloads::Deployment;
use crate::workloads::Scenario;
use crate::workloads::WARM_UP;
use crate::workloads::Workload;

/// Deadline of a request's first token, from its arrival.
pub const FIRST_TOKEN_DEADLINE: Duration = Duration::from_secs(8);
/// Time between ticks; routing's view of the engines is at most this old.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last arrival within which every request must end.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Time until a load order fails that the engine refuses: it is starting, or has no free slot.
const REFUSED_ORDER_DELAY: Duration = Duration::from_millis(10);
/// Share of weight store loads that fail.
const LOAD_FAILURE_RATE: f64 = 0.02;

/// State of one run.
pub struct Simulation<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) scenario: Scenario,
    pub(super) workload: &'a Workload,
    pub(super) models: Vec<EngineModel>,
    pub(super) owners: Vec<Owner>,
    pub(super) views: Vec<EngineView>,
    pub(super) policy: Policy,
    pub(super) router: Router,
    pub(super) retry_budget: RetryBudget,
    pub(super) store: StoreModel,
    pub(super) permit_issuer: PermitIssuer,
    pub(super) next_grant: Timestamp,
    pub(super) requests: Vec<Request>,
    pub(super) counts: RunCounters,
    pub(super) queue: BinaryHeap<ScheduledEvent>,
    pub(super) sequence: u64,
    pub(super) rng: ChaCha8Rng,
}

impl<'a> Simulation<'a> {
    /// Runs the workload under a policy and returns the metrics after the warm-up.
    pub fn run(
        deployment: &'a Deployment,
        scenario: Scenario,
        workload: &'a Workload,
        policy: Policy,
        seed: u64,
    ) -> RunMetrics {
        let engines = deployment.engines;
        let mut simulation = Self {
            deployment,
            scenario,
            workload,
            models: vec![EngineModel::new(deployment.slots, deployment.batch); engines],
            owners: vec![Owner::new(policy, deployment); engines],
            views: vec![EngineView { live: true, ..EngineView::default() }; engines],
            policy,
            retry_budget: RetryBudget::default(),
            router: Router::new(policy, deployment),
            store: StoreModel::new(deployment.store_rate),
            permit_issuer: PermitIssuer::new(Timestamp::ZERO, store_limits(deployment.store_rate)),
            next_grant: Timestamp::ZERO,
            requests: Vec::new(),
            counts: RunCounters::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for engine in 0..engines {
            let weight = EngineInput::StallWeight(deployment.stall_weight);
            simulation.apply_input(Timestamp::ZERO, engine, weight);
        }
        simulation.schedule_workload();
        let end = simulation.end_time();
        while let Some(next) = simulation.queue.pop() {
            if next.at > end {
                break;
            }
            simulation.on_event(next.at, next.event);
        }
        RunMetrics::compute(&simulation.requests, &simulation.counts, Timestamp::ZERO + WARM_UP)
    }

    fn end_time(&self) -> Timestamp {
        let last = self.workload.arrivals.last().map_or(Timestamp::ZERO, |arrival| arrival.at);
        last + DRAIN_TIME
    }

    fn schedule_workload(&mut self) {
        for number in 0..self.workload.arrivals.len() {
            self.schedule(self.workload.arrivals[number].at, Event::RequestArrival(number));
        }
        for number in 0..self.workload.events.len() {
            self.schedule(self.workload.events[number].0, Event::FleetChange(number));
        }
        self.schedule(Timestamp::ZERO, Event::Tick);
    }

    pub(super) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.queue.push(ScheduledEvent { at, sequence: self.sequence, event });
    }

    fn on_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::RequestArrival(number) => self.on_arrival(now, number),
            Event::CallerRetry(number) => self.on_caller_retry(now, number),
            Event::StepEnd { engine, restarts } => self.on_step(now, engine, restarts),
            Event::LoadEnd { engine, restarts, adapter, from_store, loaded } => {
                if from_store {
                    self.store.end();
                }
                if self.models[engine].restarts() != restarts {
                    return;
                }
                if from_store {
                    self.models[engine].end_load(&adapter, loaded);
                }
                self.on_load_ended(now, engine, adapter, loaded);
            }
            Event::GrantPermits => self.grant_permits(now),
            Event::Tick => self.on_tick(now),
            Event::FleetChange(number) => self.on_fleet_event(now, number),
        }
    }

    fn on_arrival(&mut self, now: Timestamp, number: usize) {
        self.retry_budget.on_first_try();
        let arrival = self.workload.arrivals[number];
        let first_attempt = self.requests.len();
        self.requests.push(Request {
            adapter: adapter_ref(arrival.adapter),
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens,
            arrived: now,
            deadline: now + FIRST_TOKEN_DEADLINE,
            first_attempt,
            caller_attempt: 0,
            engine: 0,
            route_count: 0,
            dispatch_count: 0,
            is_running: false,
            stalled_since: None,
            stall_us: 0,
            first_token_at: None,
            outcome: None,
        });
        self.route(now, first_attempt, None);
    }

    fn on_caller_retry(&mut self, now: Timestamp, number: usize) {
        let first = &self.requests[number];
        let again = Request {
            arrived: now,
            deadline: now + FIRST_TOKEN_DEADLINE,
            caller_attempt: first.caller_attempt + 1,
            route_count: 0,
            dispatch_count: 0,
            stall_us: 0,
            outcome: None,
            ..first.clone()
        };
        self.requests.push(again);
        self.route(now, self.requests.len() - 1, None);
    }

    pub(super) fn route(&mut self, now: Timestamp, number: usize, avoid: Option<usize>) {
        let adapter = self.requests[number].adapter.clone();
        let Some(engine) = self.router.choose(&adapter, avoid, &self.views, &mut self.rng) else {
            let error =
                Error::new(ErrorKind::NoBackend, "no live engine is left to route the request to");
            return self.refuse(now, number, &error);
        };
        let ready = self.owners[engine].is_ready(&adapter);
        let request = &mut self.requests[number];
        request.engine = engine;
        request.route_count += 1;
        request.stalled_since = (!ready).then_some(now);
        let waiting = QueuedRequest {
            request_id: RequestId(number as u128),
            adapter,
            priority: 5,
            arrived: now,
            deadline: request.deadline,
        };
        self.apply_input(now, engine, EngineInput::Arrived(waiting));
    }

    pub(super) fn apply_input(&mut self, now: Timestamp, engine: usize, input: EngineInput) {
        let actions = self.owners[engine].on_input(now, input);
        for action in actions {
            self.execute(now, engine, action);
        }
        if let Some(step) = self.models[engine].begin_step() {
            let restarts = self.models[engine].restarts();
            self.schedule(now + step, Event::StepEnd { engine, restarts });
        }
    }

    fn execute(&mut self, now: Timestamp, engine: usize, action: EngineAction) {
        match action {
            EngineAction::RequestPermit { adapter, urgency } => {
                let key = self.permit_key(engine, adapter);
                self.permit_issuer.on_permit_request(now, key, urgency);
                self.schedule(now, Event::GrantPermits);
            }
            EngineAction::ReturnPermit(adapter) => {
                let key = self.permit_key(engine, adapter);
                self.permit_issuer.on_ended(now, &key);
                self.schedule(now, Event::GrantPermits);
            }
            EngineAction::Load(adapter) => self.start_load(now, engine, adapter),
            EngineAction::Unload(adapter) => {
                let unloaded = self.models[engine].unload_if_idle(&adapter);
                self.apply_input(now, engine, EngineInput::UnloadEnded { adapter, unloaded });
            }
            EngineAction::Dispatch(id) => self.dispatch(now, engine, id),
            EngineAction::Refuse { request_id, error } => {
                self.on_refused(now, engine, request_id.0 as usize, &error);
            }
        }
    }

    fn permit_key(&self, engine: usize, adapter: AdapterRef) -> PermitKey {
        PermitKey { engine: BackendName::new(&engine.to_string()), adapter }
    }

    fn grant_permits(&mut self, now: Timestamp) {
        for key in self.permit_issuer.grant(now) {
            let engine = key.engine.as_str().parse().expect("permit keys carry engine indices");
            self.apply_input(now, engine, EngineInput::PermitGranted(key.adapter));
        }
        if let Some(next) = self.permit_issuer.next_grant()
            && next > now
            && next > self.next_grant
        {
            self.next_grant = next;
            self.schedule(next, Event::GrantPermits);
        }
    }

    fn start_load(&mut self, now: Timestamp, engine: usize, adapter: AdapterRef) {
        let restarts = self.models[engine].restarts();
        let from_store = self.models[engine].begin_load(now);
        let took = if from_store { self.store.begin(now) } else { REFUSED_ORDER_DELAY };
        if from_store && now >= Timestamp::ZERO + WARM_UP {
            self.counts.loads += 1;
        }
        let loaded = from_store && !self.rng.random_bool(LOAD_FAILURE_RATE);
        let event = Event::LoadEnd { engine, restarts, adapter, from_store, loaded };
        self.schedule(now + took, event);
    }

    fn on_load_ended(&mut self, now: Timestamp, engine: usize, adapter: AdapterRef, loaded: bool) {
        if loaded {
            for id in self.owners[engine].waiting_for(&adapter) {
                self.requests[id.0 as usize].end_stall(now);
            }
        }
        self.apply_input(now, engine, EngineInput::LoadEnded { adapter, loaded });
    }

    fn dispatch(&mut self, now: Timestamp, engine: usize, id: RequestId) {
        let request = &mut self.requests[id.0 as usize];
        self.counts.doubled += u64::from(request.is_running || request.outcome.is_some());
        request.end_stall(now);
        request.dispatch_count += 1;
        request.is_running = true;
        let run = RunningRequest {
            request_id: id,
            adapter: request.adapter.clone(),
            prompt_tokens: request.prompt_tokens,
            tokens_left: request.answer_tokens,
        };
        if !self.models[engine].dispatch(run) {
            self.counts.wrong += 1;
        }
    }

    fn on_step(&mut self, now: Timestamp, engine: usize, restarts: u32) {
        if self.models[engine].restarts() != restarts {
            return;
        }
        let events = self.models[engine].end_step();
        if now >= Timestamp::ZERO + WARM_UP {
            self.counts.steps += 1;
            self.counts.filled +=
                self.models[engine].last_fill() as f64 / self.deployment.batch as f64;
        }
        for event in events {
            match event {
                StepEvent::FirstToken(id) => {
                    self.requests[id.0 as usize].first_token_at = Some(now);
                }
                StepEvent::Done(id) => {
                    let request = &mut self.requests[id.0 as usize];
                    request.is_running = false;
                    request.outcome = Some(Outcome::Answered);
                    self.apply_input(now, engine, EngineInput::Ended(id));
                }
            }
        }
        if let Some(step) = self.models[engine].begin_step() {
            self.schedule(now + step, Event::StepEnd { engine, restarts });
        }
    }

    fn on_tick(&mut self, now: Timestamp) {
        self.grant_permits(now);
        let wait = self.permit_issuer.expected_wait(now);
        for engine in 0..self.owners.len() {
            self.apply_input(now, engine, EngineInput::LoadWait(wait));
            self.apply_input(now, engine, EngineInput::Tick);
            self.views[engine] = EngineView {
                depth: self.owners[engine].depth(),
                live: now >= self.models[engine].ready_at(),
                summary: self.owners[engine].summary(now),
            };
        }
        self.schedule(now + TICK_INTERVAL, Event::Tick);
    }
}

fn store_limits(rate: f64) -> StoreLimits {
    StoreLimits { rate, in_flight: 8, load_time: LOAD_TIME }
}

/// The adapter with this index in the workload, in its only version.
pub fn adapter_ref(number: usize) -> AdapterRef {
    AdapterRef::new(AdapterName::new(&format!("adapter-{number}")), Version(1))
}
