//! One run: entry instances, owners, engines and the store in virtual time.

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
use super::event::Scheduled;
use super::figures::Counts;
use super::figures::Figures;
use super::owner::Owner;
use super::policy::Policy;
use super::request::Outcome;
use super::request::Request;
use super::router::EngineView;
use super::router::Router;
use crate::load::Deployment;
use crate::load::Scenario;
use crate::load::WARM_UP;
use crate::load::Workload;
use crate::model::EngineModel;
use crate::model::LOAD_TIME;
use crate::model::Run;
use crate::model::StepEvent;
use crate::model::StoreModel;

/// Time until the first token is due.
pub const DEADLINE: Duration = Duration::from_secs(8);
/// Time between ticks; what is known of engines is as old as this at most.
const TICK: Duration = Duration::from_millis(200);
/// Time after the last arrival in which every request must end.
const DRAIN: Duration = Duration::from_secs(60);
/// Time in which an order to an engine that is starting fails.
const REFUSED_ORDER: Duration = Duration::from_millis(10);
/// Share of loads that fail.
const LOAD_FAILURES: f64 = 0.02;

/// State of one run.
pub struct Fleet<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) scenario: Scenario,
    pub(super) workload: &'a Workload,
    pub(super) models: Vec<EngineModel>,
    pub(super) owners: Vec<Owner>,
    pub(super) views: Vec<EngineView>,
    pub(super) policy: Policy,
    pub(super) router: Router,
    pub(super) retries: RetryBudget,
    pub(super) store: StoreModel,
    pub(super) permits: PermitIssuer,
    pub(super) next_grant: Timestamp,
    pub(super) requests: Vec<Request>,
    pub(super) counts: Counts,
    pub(super) queue: BinaryHeap<Scheduled>,
    pub(super) sequence: u64,
    pub(super) rng: ChaCha8Rng,
}

impl<'a> Fleet<'a> {
    /// Carries out a run.
    pub fn run(
        deployment: &'a Deployment,
        scenario: Scenario,
        workload: &'a Workload,
        policy: Policy,
        seed: u64,
    ) -> Figures {
        let engines = deployment.engines;
        let mut fleet = Self {
            deployment,
            scenario,
            workload,
            models: vec![EngineModel::new(deployment.slots, deployment.batch); engines],
            owners: vec![Owner::new(policy, deployment); engines],
            views: vec![EngineView { live: true, ..EngineView::default() }; engines],
            policy,
            retries: RetryBudget::default(),
            router: Router::new(policy, deployment),
            store: StoreModel::new(deployment.store_rate),
            permits: PermitIssuer::new(Timestamp::ZERO, limits(deployment.store_rate)),
            next_grant: Timestamp::ZERO,
            requests: Vec::new(),
            counts: Counts::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for engine in 0..engines {
            let weight = EngineInput::StallWeight(deployment.stall_weight);
            fleet.input(Timestamp::ZERO, engine, weight);
        }
        fleet.schedule_workload();
        let end = fleet.end();
        while let Some(next) = fleet.queue.pop() {
            if next.at > end {
                break;
            }
            fleet.on_event(next.at, next.event);
        }
        Figures::of(&fleet.requests, &fleet.counts, Timestamp::ZERO + WARM_UP)
    }

    fn end(&self) -> Timestamp {
        let last = self.workload.arrivals.last().map_or(Timestamp::ZERO, |arrival| arrival.at);
        last + DRAIN
    }

    fn schedule_workload(&mut self) {
        for number in 0..self.workload.arrivals.len() {
            self.schedule(self.workload.arrivals[number].at, Event::Arrive(number));
        }
        for number in 0..self.workload.events.len() {
            self.schedule(self.workload.events[number].0, Event::Fleet(number));
        }
        self.schedule(Timestamp::ZERO, Event::Tick);
    }

    pub(super) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.queue.push(Scheduled { at, sequence: self.sequence, event });
    }

    fn on_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Arrive(number) => self.on_arrival(now, number),
            Event::ComeBack(number) => self.on_come_back(now, number),
            Event::Step { engine, restarts } => self.on_step(now, engine, restarts),
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
            Event::Grant => self.grant(now),
            Event::Tick => self.on_tick(now),
            Event::Fleet(number) => self.on_fleet_event(now, number),
        }
    }

    fn on_arrival(&mut self, now: Timestamp, number: usize) {
        self.retries.on_first_try();
        let arrival = self.workload.arrivals[number];
        let origin = self.requests.len();
        self.requests.push(Request {
            adapter: adapter_ref(arrival.adapter),
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens,
            arrived: now,
            deadline: now + DEADLINE,
            origin,
            caller_try: 0,
            engine: 0,
            routed: 0,
            dispatched: 0,
            running: false,
            stalled_since: None,
            stall_us: 0,
            first_token: None,
            outcome: None,
        });
        self.route(now, origin, None);
    }

    fn on_come_back(&mut self, now: Timestamp, number: usize) {
        let first = &self.requests[number];
        let again = Request {
            arrived: now,
            deadline: now + DEADLINE,
            caller_try: first.caller_try + 1,
            routed: 0,
            dispatched: 0,
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
            let error = Error::new(ErrorKind::NoBackend, "no engine takes work");
            return self.refuse(now, number, &error);
        };
        let ready = self.owners[engine].is_ready(&adapter);
        let request = &mut self.requests[number];
        request.engine = engine;
        request.routed += 1;
        request.stalled_since = (!ready).then_some(now);
        let waiting = QueuedRequest {
            request_id: RequestId(number as u128),
            adapter,
            priority: 5,
            arrived: now,
            deadline: request.deadline,
        };
        self.input(now, engine, EngineInput::Arrived(waiting));
    }

    pub(super) fn input(&mut self, now: Timestamp, engine: usize, input: EngineInput) {
        let actions = self.owners[engine].on_input(now, input);
        for action in actions {
            self.act(now, engine, action);
        }
        if let Some(step) = self.models[engine].begin_step() {
            let restarts = self.models[engine].restarts();
            self.schedule(now + step, Event::Step { engine, restarts });
        }
    }

    fn act(&mut self, now: Timestamp, engine: usize, action: EngineAction) {
        match action {
            EngineAction::RequestPermit { adapter, urgency } => {
                let key = self.permit_key(engine, adapter);
                self.permits.on_permit_request(now, key, urgency);
                self.schedule(now, Event::Grant);
            }
            EngineAction::ReturnPermit(adapter) => {
                let key = self.permit_key(engine, adapter);
                self.permits.on_ended(now, &key);
                self.schedule(now, Event::Grant);
            }
            EngineAction::Load(adapter) => self.load(now, engine, adapter),
            EngineAction::Unload(adapter) => {
                let unloaded = self.models[engine].unload_if_idle(&adapter);
                self.input(now, engine, EngineInput::UnloadEnded { adapter, unloaded });
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

    fn grant(&mut self, now: Timestamp) {
        for key in self.permits.grant(now) {
            let engine = key.engine.as_str().parse().expect("permit keys carry engine numbers");
            self.input(now, engine, EngineInput::PermitGranted(key.adapter));
        }
        if let Some(next) = self.permits.next_grant()
            && next > now
            && next > self.next_grant
        {
            self.next_grant = next;
            self.schedule(next, Event::Grant);
        }
    }

    fn load(&mut self, now: Timestamp, engine: usize, adapter: AdapterRef) {
        let restarts = self.models[engine].restarts();
        let from_store = self.models[engine].begin_load(now);
        let took = if from_store { self.store.begin(now) } else { REFUSED_ORDER };
        if from_store && now >= Timestamp::ZERO + WARM_UP {
            self.counts.loads += 1;
        }
        let loaded = from_store && !self.rng.random_bool(LOAD_FAILURES);
        let event = Event::LoadEnd { engine, restarts, adapter, from_store, loaded };
        self.schedule(now + took, event);
    }

    fn on_load_ended(&mut self, now: Timestamp, engine: usize, adapter: AdapterRef, loaded: bool) {
        if loaded {
            for id in self.owners[engine].waiting_for(&adapter) {
                self.requests[id.0 as usize].end_stall(now);
            }
        }
        self.input(now, engine, EngineInput::LoadEnded { adapter, loaded });
    }

    fn dispatch(&mut self, now: Timestamp, engine: usize, id: RequestId) {
        let request = &mut self.requests[id.0 as usize];
        self.counts.doubled += u64::from(request.running || request.outcome.is_some());
        request.end_stall(now);
        request.dispatched += 1;
        request.running = true;
        let run = Run {
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
                    self.requests[id.0 as usize].first_token = Some(now);
                }
                StepEvent::Done(id) => {
                    let request = &mut self.requests[id.0 as usize];
                    request.running = false;
                    request.outcome = Some(Outcome::Answered);
                    self.input(now, engine, EngineInput::Ended(id));
                }
            }
        }
        if let Some(step) = self.models[engine].begin_step() {
            self.schedule(now + step, Event::Step { engine, restarts });
        }
    }

    fn on_tick(&mut self, now: Timestamp) {
        self.grant(now);
        let wait = self.permits.expected_wait(now);
        for engine in 0..self.owners.len() {
            self.input(now, engine, EngineInput::LoadWait(wait));
            self.input(now, engine, EngineInput::Tick);
            self.views[engine] = EngineView {
                depth: self.owners[engine].depth(),
                live: now >= self.models[engine].ready_at(),
                summary: self.owners[engine].summary(now),
            };
        }
        self.schedule(now + TICK, Event::Tick);
    }
}

fn limits(rate: f64) -> StoreLimits {
    StoreLimits { rate, in_flight: 8, load_time: LOAD_TIME }
}

/// The adapter of a number.
pub fn adapter_ref(number: usize) -> AdapterRef {
    AdapterRef::new(AdapterName::new(&format!("adapter-{number}")), Version(1))
}
