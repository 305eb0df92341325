//! Bounded in-memory log of the decisions about recent requests, for operators' `explain`.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::names::InstanceName;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::wire::operator::Explanation;
use crate::wire::operator::ExplanationStep;

/// Most requests in the log; each takes at most about 1 kB.
const MAX_REQUESTS: usize = 4096;
/// Most steps in the log of one request; later ones are dropped.
const MAX_STEPS: usize = 32;

#[derive(Clone, Debug)]
struct RequestSteps {
    arrived: Timestamp,
    from_caller: bool,
    steps: Vec<ExplanationStep>,
}

/// Decisions about recent requests; the oldest request is evicted first.
#[derive(Clone, Debug)]
pub struct ExplainLog {
    instance: InstanceName,
    entries: HashMap<RequestId, RequestSteps>,
    order: VecDeque<RequestId>,
}

impl ExplainLog {
    /// An empty log; `instance` is named in each step.
    pub fn new(instance: InstanceName) -> Self {
        Self { instance, entries: HashMap::new(), order: VecDeque::new() }
    }

    /// Adds a request that came from a caller to this instance.
    pub fn begin(&mut self, now: Timestamp, id: RequestId) {
        self.evict_oldest();
        self.order.push_back(id);
        self.entries
            .insert(id, RequestSteps { arrived: now, from_caller: true, steps: Vec::new() });
    }

    /// Adds a decision about a request, which is added itself if it isn't in the log.
    pub fn note(&mut self, now: Timestamp, id: RequestId, text: String) {
        if !self.entries.contains_key(&id) {
            self.evict_oldest();
            self.order.push_back(id);
            self.entries
                .insert(id, RequestSteps { arrived: now, from_caller: false, steps: Vec::new() });
        }
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.steps.len() >= MAX_STEPS {
            return;
        }
        let at_ms = now.since(entry.arrived).as_millis() as u64;
        entry.steps.push(ExplanationStep { instance: self.instance.clone(), at_ms, text });
    }

    /// Decisions about a request; `None` if it isn't in the log.
    pub fn explain(&self, id: RequestId) -> Option<Explanation> {
        let entry = self.entries.get(&id)?;
        Some(Explanation {
            request_id: id,
            from_entry: entry.from_caller,
            steps: entry.steps.clone(),
        })
    }

    fn evict_oldest(&mut self) {
        while self.order.len() >= MAX_REQUESTS {
            let Some(oldest) = self.order.pop_front() else { return };
            self.entries.remove(&oldest);
        }
    }
}
