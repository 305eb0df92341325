//! Measured demand for adapters: exponentially decayed counters in bounded memory.
//!
//! A counter halves every half-life. Once more than twice the capacity is tracked,
//! only the `capacity` highest counters are kept, so a record costs amortized
//! constant time.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::AdapterRef;
use crate::names::Timestamp;

/// Decayed request counts of adapters.
#[derive(Clone, Debug)]
pub struct DemandCounters {
    half_life: Duration,
    capacity: usize,
    counters: HashMap<AdapterRef, Counter>,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    value: f64,
    updated_at: Timestamp,
}

impl DemandCounters {
    /// Counters that halve every `half_life`, for the `capacity` most requested adapters.
    pub fn new(half_life: Duration, capacity: usize) -> Self {
        Self { half_life, capacity, counters: HashMap::new() }
    }

    /// Counts one request.
    pub fn record(&mut self, now: Timestamp, adapter: &AdapterRef) {
        let value = self.count(now, adapter) + 1.0;
        self.counters.insert(adapter.clone(), Counter { value, updated_at: now });
        if self.counters.len() > 2 * self.capacity {
            self.forget_weakest(now);
        }
    }

    /// Decayed count of an adapter; 0 if it isn't tracked.
    pub fn count(&self, now: Timestamp, adapter: &AdapterRef) -> f64 {
        self.counters.get(adapter).map_or(0.0, |counter| self.decayed(now, counter))
    }

    /// Estimated requests a second for an adapter.
    pub fn rate(&self, now: Timestamp, adapter: &AdapterRef) -> f64 {
        self.count(now, adapter) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    /// How many adapters are tracked.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no adapter is tracked.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    fn decayed(&self, now: Timestamp, counter: &Counter) -> f64 {
        let half_lives = now.since(counter.updated_at).as_secs_f64() / self.half_life.as_secs_f64();
        counter.value * (-half_lives).exp2()
    }

    fn forget_weakest(&mut self, now: Timestamp) {
        let mut values: Vec<(f64, AdapterRef)> = self
            .counters
            .iter()
            .map(|(adapter, counter)| (self.decayed(now, counter), adapter.clone()))
            .collect();
        values.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, adapter) in values.drain(self.capacity..) {
            self.counters.remove(&adapter);
        }
    }
}
