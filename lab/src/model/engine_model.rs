//! Model engine with continuous batching: each step gives every running request a token.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

/// Fixed part of a step's duration.
const STEP_BASE: Duration = Duration::from_millis(24);
/// Time that each running request adds to a step.
const STEP_PER_REQUEST: Duration = Duration::from_micros(600);
/// Time that each prompt token adds to the step of its prefill.
const STEP_PER_PROMPT_TOKEN: Duration = Duration::from_micros(50);
/// Time from a restart until the engine accepts load orders.
const COLD_START: Duration = Duration::from_secs(30);

/// One request in the batch of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Request of the simulation.
    pub request_id: RequestId,
    /// Adapter that the request needs.
    pub adapter: AdapterRef,
    /// Prompt tokens that the next step must prefill; 0 once it has.
    pub prompt_tokens: u32,
    /// Tokens still to generate.
    pub tokens_left: u32,
}

/// Progress of a request at the end of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// The request generated its first token.
    FirstToken(RequestId),
    /// The request generated its last token.
    Done(RequestId),
}

/// Model of one engine: its loaded adapters, loads in progress and batch.
#[derive(Clone, Debug)]
pub struct EngineModel {
    slots: usize,
    batch: usize,
    loaded: BTreeSet<AdapterRef>,
    loading: usize,
    running: Vec<RunningRequest>,
    is_stepping: bool,
    restarts: u32,
    ready_at: Timestamp,
    last_fill: usize,
}

impl EngineModel {
    /// An idle engine without adapters that accepts orders at once.
    pub fn new(slots: usize, batch: usize) -> Self {
        Self {
            slots,
            batch,
            loaded: BTreeSet::new(),
            loading: 0,
            running: Vec::new(),
            is_stepping: false,
            restarts: 0,
            ready_at: Timestamp::ZERO,
            last_fill: 0,
        }
    }

    /// Number of restarts; an event from before the last one is void.
    pub fn restarts(&self) -> u32 {
        self.restarts
    }

    /// Time from which the engine accepts load orders, after its last restart.
    pub fn ready_at(&self) -> Timestamp {
        self.ready_at
    }

    /// Adds a request to the batch; false if its adapter isn't loaded or the batch is full.
    pub fn dispatch(&mut self, request: RunningRequest) -> bool {
        let accepted = self.loaded.contains(&request.adapter) && self.running.len() < self.batch;
        if accepted {
            self.running.push(request);
        }
        accepted
    }

    /// Begins a load; false if the engine is starting or no slot is free.
    pub fn begin_load(&mut self, now: Timestamp) -> bool {
        let accepted = now >= self.ready_at && self.loaded.len() + self.loading < self.slots;
        if accepted {
            self.loading += 1;
        }
        accepted
    }

    /// Ends a load; the adapter becomes usable if it succeeded.
    pub fn end_load(&mut self, adapter: &AdapterRef, loaded: bool) {
        self.loading -= 1;
        if loaded {
            self.loaded.insert(adapter.clone());
        }
    }

    /// Unloads an adapter; false if a request runs on it or it isn't loaded.
    pub fn unload_if_idle(&mut self, adapter: &AdapterRef) -> bool {
        let is_idle = self.running.iter().all(|request| &request.adapter != adapter);
        is_idle && self.loaded.remove(adapter)
    }

    /// Restarts the engine, which drops all adapters and requests; returns these requests.
    pub fn restart(&mut self, now: Timestamp) -> Vec<RequestId> {
        self.loaded.clear();
        self.loading = 0;
        self.is_stepping = false;
        self.restarts += 1;
        self.ready_at = now + COLD_START;
        self.running.drain(..).map(|request| request.request_id).collect()
    }

    /// Begins a step and returns its duration; `None` during a step or without requests.
    pub fn begin_step(&mut self) -> Option<Duration> {
        if self.is_stepping || self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let prompt: u32 = self.running.iter().map(|request| request.prompt_tokens).sum();
        let fill = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        Some(STEP_BASE + STEP_PER_REQUEST * fill + STEP_PER_PROMPT_TOKEN * prompt)
    }

    /// Ends a step: every request in the batch gains one token.
    ///
    /// On a real engine a request that joins during a step takes part from the next
    /// one on; the model counts it in at once, which is at most one step early.
    pub fn end_step(&mut self) -> Vec<StepEvent> {
        self.is_stepping = false;
        self.last_fill = self.running.len();
        let mut events = Vec::new();
        for request in &mut self.running {
            if request.prompt_tokens > 0 {
                request.prompt_tokens = 0;
                events.push(StepEvent::FirstToken(request.request_id));
            }
            request.tokens_left = request.tokens_left.saturating_sub(1);
            if request.tokens_left == 0 {
                events.push(StepEvent::Done(request.request_id));
            }
        }
        self.running.retain(|request| request.tokens_left > 0);
        events
    }

    /// Number of requests in the last step.
    pub fn last_fill(&self) -> usize {
        self.last_fill
    }
}
