//! Metrics of one simulated run, computed from its requests and counters.

use std::collections::HashSet;

use hdrhistogram::Histogram;
use serde::Serialize;
use tamaracklead::names::Timestamp;

use super::request::Outcome;
use super::request::Request;

/// Metrics of one run; times in milliseconds unless the name has another unit.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunMetrics {
    /// Callers' requests, without their retries.
    pub requests: u64,
    /// Requests that stalled on an adapter load.
    pub stalled: u64,
    /// Sum of the load stalls, in seconds.
    pub stall_total_s: f64,
    /// 95th percentile of the load stalls.
    pub stall_p95: f64,
    /// Batch fill: mean over all steps of running requests divided by the batch size.
    pub fill: f64,
    /// Median time to the first token.
    pub first_p50: f64,
    /// 95th percentile of the time to the first token.
    pub first_p95: f64,
    /// 99th percentile of the time to the first token.
    pub first_p99: f64,
    /// Refused requests, callers' retries included.
    pub refused: u64,
    /// Requests whose engine failed after their first token.
    pub failed: u64,
    /// Share of callers' requests with an answered attempt whose first token met the deadline.
    pub goodput: f64,
    /// Adapter loads per answered request.
    pub loads_per_answer: f64,
    /// Attempts (callers' own and reroutes) per caller's request.
    pub amplification: f64,
    /// Dispatches that the engine didn't accept: adapter not loaded, or batch full.
    pub wrong: u64,
    /// Requests without a final outcome.
    pub lost: u64,
    /// Dispatches of a request that was running or had an outcome already.
    pub doubled: u64,
}

/// Counters kept during a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCounters {
    /// Adapter loads begun after the warm-up.
    pub loads: u64,
    /// Batch steps of all engines after the warm-up.
    pub steps: u64,
    /// Sum over those steps of running requests divided by the batch size.
    pub filled: f64,
    /// Dispatches that the engine didn't accept.
    pub wrong: u64,
    /// Dispatches of a request that was running or had an outcome already.
    pub doubled: u64,
}

impl RunMetrics {
    /// Computes the metrics of the requests that arrived at `from` or later.
    pub fn compute(requests: &[Request], counts: &RunCounters, from: Timestamp) -> Self {
        let measured = || requests.iter().filter(|request| request.arrived >= from);
        let originals = measured().filter(|request| request.caller_attempt == 0).count().max(1);
        let tries = measured().count();
        let rerouted: u32 = measured().map(|request| request.route_count.saturating_sub(1)).sum();
        let answered = count(measured(), Outcome::Answered);
        let mut stalls = histogram();
        let mut first_tokens = histogram();
        let mut met_deadline = HashSet::new();
        for request in measured() {
            if request.stall_us > 0 {
                record(&mut stalls, request.stall_us);
            }
            if let Some(first) = request.first_token_at {
                record(&mut first_tokens, first.as_micros() - request.arrived.as_micros());
            }
            if request.met_deadline() {
                met_deadline.insert(request.first_attempt);
            }
        }
        let stall_us: u64 = measured().map(|request| request.stall_us).sum();
        Self {
            requests: originals as u64,
            stalled: stalls.len(),
            stall_total_s: stall_us as f64 / 1e6,
            stall_p95: millis(&stalls, 0.95),
            fill: counts.filled / counts.steps.max(1) as f64,
            first_p50: millis(&first_tokens, 0.5),
            first_p95: millis(&first_tokens, 0.95),
            first_p99: millis(&first_tokens, 0.99),
            refused: count(measured(), Outcome::Refused),
            failed: count(measured(), Outcome::Failed),
            goodput: met_deadline.len() as f64 / originals as f64,
            loads_per_answer: counts.loads as f64 / answered.max(1) as f64,
            amplification: (tries as f64 + f64::from(rerouted)) / originals as f64,
            wrong: counts.wrong,
            lost: measured().filter(|request| request.outcome.is_none()).count() as u64,
            doubled: counts.doubled,
        }
    }
}

fn count<'a>(requests: impl Iterator<Item = &'a Request>, outcome: Outcome) -> u64 {
    requests.filter(|request| request.outcome == Some(outcome)).count() as u64
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are within the histogram's limits")
}

fn record(histogram: &mut Histogram<u64>, micros: u64) {
    histogram.record(micros).expect("a histogram without an upper bound resizes itself");
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
