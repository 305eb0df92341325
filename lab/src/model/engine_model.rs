//! A model engine that batches continuously, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

/// Time of a step with an empty batch.
const STEP_BASE: Duration = Duration::from_millis(24);
/// Time that each request of the batch adds to a step.
const STEP_PER_REQUEST: Duration = Duration::from_micros(600);
/// Time that each prompt token adds to the step that reads it.
const STEP_PER_PROMPT_TOKEN: Duration = Duration::from_micros(50);
/// Time from a restart until the engine takes orders.
const COLD_START: Duration = Duration::from_secs(30);

/// One request in the batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Adapter that serves it.
    pub adapter: AdapterRef,
    /// Prompt tokens that the next step reads.
    pub prompt_tokens: u32,
    /// Tokens left to generate.
    pub tokens_left: u32,
}

/// What a step brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// A request's first token.
    FirstToken(RequestId),
    /// A request's last token.
    Done(RequestId),
}

/// State of one engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    slots: usize,
    batch: usize,
    loaded: BTreeSet<AdapterRef>,
    loading: usize,
    runs: Vec<Run>,
    stepping: bool,
    restarts: u32,
    ready_at: Timestamp,
    last_fill: usize,
}

impl EngineModel {
    /// An engine without adapters.
    pub fn new(slots: usize, batch: usize) -> Self {
        Self {
            slots,
            batch,
            loaded: BTreeSet::new(),
            loading: 0,
            runs: Vec::new(),
            stepping: false,
            restarts: 0,
            ready_at: Timestamp::ZERO,
            last_fill: 0,
        }
    }

    /// How often the engine restarted; events of earlier incarnations are void.
    pub fn restarts(&self) -> u32 {
        self.restarts
    }

    /// When the engine takes orders again after its last restart.
    pub fn ready_at(&self) -> Timestamp {
        self.ready_at
    }

    /// Takes a request if its adapter is loaded and the batch has room.
    pub fn dispatch(&mut self, run: Run) -> bool {
        let accepted = self.loaded.contains(&run.adapter) && self.runs.len() < self.batch;
        if accepted {
            self.runs.push(run);
        }
        accepted
    }

    /// Starts a load if a slot is free.
    pub fn begin_load(&mut self, now: Timestamp) -> bool {
        let accepted = now >= self.ready_at && self.loaded.len() + self.loading < self.slots;
        if accepted {
            self.loading += 1;
        }
        accepted
    }

    /// Ends a load.
    pub fn end_load(&mut self, adapter: &AdapterRef, loaded: bool) {
        self.loading -= 1;
        if loaded {
            self.loaded.insert(adapter.clone());
        }
    }

    /// Unloads an adapter if nothing runs on it.
    pub fn unload_if_idle(&mut self, adapter: &AdapterRef) -> bool {
        let idle = self.runs.iter().all(|run| &run.adapter != adapter);
        idle && self.loaded.remove(adapter)
    }

    /// Loses every adapter and request; returns the lost requests.
    pub fn restart(&mut self, now: Timestamp) -> Vec<RequestId> {
        self.loaded.clear();
        self.loading = 0;
        self.stepping = false;
        self.restarts += 1;
        self.ready_at = now + COLD_START;
        self.runs.drain(..).map(|run| run.request_id).collect()
    }

    /// Begins a step if one is due; returns how long it takes.
    pub fn begin_step(&mut self) -> Option<Duration> {
        if self.stepping || self.runs.is_empty() {
            return None;
        }
        self.stepping = true;
        let prompt: u32 = self.runs.iter().map(|run| run.prompt_tokens).sum();
        let fill = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        Some(STEP_BASE + STEP_PER_REQUEST * fill + STEP_PER_PROMPT_TOKEN * prompt)
    }

    /// Ends a step: every request that was in it has one more token.
    ///
    /// A request that joined during the step takes part from the next one on; the
    /// model counts it in, which is at most one step early.
    pub fn end_step(&mut self) -> Vec<StepEvent> {
        self.stepping = false;
        self.last_fill = self.runs.len();
        let mut events = Vec::new();
        for run in &mut self.runs {
            if run.prompt_tokens > 0 {
                run.prompt_tokens = 0;
                events.push(StepEvent::FirstToken(run.request_id));
            }
            run.tokens_left = run.tokens_left.saturating_sub(1);
            if run.tokens_left == 0 {
                events.push(StepEvent::Done(run.request_id));
            }
        }
        self.runs.retain(|run| run.tokens_left > 0);
        events
    }

    /// Requests in the last step.
    pub fn last_fill(&self) -> usize {
        self.last_fill
    }
}
