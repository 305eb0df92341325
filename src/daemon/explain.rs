//! What was decided about recent requests, and why.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::names::InstanceName;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::wire::operator::Explanation;
use crate::wire::operator::ExplanationStep;

/// How many requests are remembered; at most about 1 kB each.
const MAX_REQUESTS: usize = 4096;
/// How many steps of one request are remembered.
const MAX_STEPS: usize = 32;

#[derive(Clone, Debug)]
struct Entry {
    arrived: Timestamp,
    from_caller: bool,
    steps: Vec<ExplanationStep>,
}

/// Decisions about recent requests, oldest forgotten first.
#[derive(Clone, Debug)]
pub struct ExplainLog {
    instance: InstanceName,
    entries: HashMap<RequestId, Entry>,
    order: VecDeque<RequestId>,
}

impl ExplainLog {
    /// An empty log of this instance.
    pub fn new(instance: InstanceName) -> Self {
        Self { instance, entries: HashMap::new(), order: VecDeque::new() }
    }

    /// Begins a request that came from a caller.
    pub fn begin(&mut self, now: Timestamp, id: RequestId) {
        self.make_room();
        self.order.push_back(id);
        self.entries.insert(id, Entry { arrived: now, from_caller: true, steps: Vec::new() });
    }

    /// Adds a decision about a request.
    pub fn note(&mut self, now: Timestamp, id: RequestId, text: String) {
        if !self.entries.contains_key(&id) {
            self.make_room();
            self.order.push_back(id);
            self.entries.insert(id, Entry { arrived: now, from_caller: false, steps: Vec::new() });
        }
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.steps.len() >= MAX_STEPS {
            return;
        }
        let at_ms = now.since(entry.arrived).as_millis() as u64;
        entry.steps.push(ExplanationStep { instance: self.instance.clone(), at_ms, text });
    }

    /// What was decided about a request, if it is remembered.
    pub fn explain(&self, id: RequestId) -> Option<Explanation> {
        let entry = self.entries.get(&id)?;
        Some(Explanation {
            request_id: id,
            from_entry: entry.from_caller,
            steps: entry.steps.clone(),
        })
    }

    fn make_room(&mut self) {
        while self.order.len() >= MAX_REQUESTS {
            let Some(oldest) = self.order.pop_front() else { return };
            self.entries.remove(&oldest);
        }
    }
}
