//! Figures of one run.

use std::collections::HashSet;

use hdrhistogram::Histogram;
use serde::Serialize;
use tamaracklead::names::Timestamp;

use super::request::Outcome;
use super::request::Request;

/// Figures of one run; times in milliseconds unless named otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests of callers, their later tries left out.
    pub requests: u64,
    /// Requests that waited for a load.
    pub stalled: u64,
    /// Their waiting time in all, in seconds.
    pub stall_total_s: f64,
    /// 95th percentile of a wait for a load.
    pub stall_p95: f64,
    /// Requests in the batch per step, against the batch.
    pub fill: f64,
    /// Median time to the first token.
    pub first_p50: f64,
    /// 95th percentile of the time to the first token.
    pub first_p95: f64,
    /// 99th percentile of the time to the first token.
    pub first_p99: f64,
    /// Requests refused, later tries counted too.
    pub refused: u64,
    /// Requests that failed after their first token.
    pub failed: u64,
    /// Share of callers' requests answered within their deadline.
    pub goodput: f64,
    /// Loads per answered request.
    pub loads_per_answer: f64,
    /// Dispatches and callers' tries per callers' request.
    pub amplification: f64,
    /// Requests served by an engine without their adapter.
    pub wrong: u64,
    /// Requests without a final outcome.
    pub lost: u64,
    /// Requests dispatched while an earlier dispatch was still running.
    pub doubled: u64,
}

/// Counts kept during a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Loads begun after the warm-up.
    pub loads: u64,
    /// Steps of all engines after the warm-up.
    pub steps: u64,
    /// Requests summed over those steps, against the batch.
    pub filled: f64,
    /// Dispatches to an engine without the adapter.
    pub wrong: u64,
    /// Dispatches of a request that was running.
    pub doubled: u64,
}

impl Figures {
    /// Works out the figures of the requests that arrived after `from`.
    pub fn of(requests: &[Request], counts: &Counts, from: Timestamp) -> Self {
        let measured = || requests.iter().filter(|request| request.arrived >= from);
        let originals = measured().filter(|request| request.caller_try == 0).count().max(1);
        let tries = measured().count();
        let rerouted: u32 = measured().map(|request| request.routed.saturating_sub(1)).sum();
        let answered = count(measured(), Outcome::Answered);
        let mut stalls = histogram();
        let mut firsts = histogram();
        let mut good = HashSet::new();
        for request in measured() {
            if request.stall_us > 0 {
                record(&mut stalls, request.stall_us);
            }
            if let Some(first) = request.first_token {
                record(&mut firsts, first.as_micros() - request.arrived.as_micros());
            }
            if request.in_time() {
                good.insert(request.origin);
            }
        }
        let stall_us: u64 = measured().map(|request| request.stall_us).sum();
        Self {
            requests: originals as u64,
            stalled: stalls.len(),
            stall_total_s: stall_us as f64 / 1e6,
            stall_p95: millis(&stalls, 0.95),
            fill: counts.filled / counts.steps.max(1) as f64,
            first_p50: millis(&firsts, 0.5),
            first_p95: millis(&firsts, 0.95),
            first_p99: millis(&firsts, 0.99),
            refused: count(measured(), Outcome::Refused),
            failed: count(measured(), Outcome::Failed),
            goodput: good.len() as f64 / originals as f64,
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
    Histogram::new(3).expect("three digits are within the histogram's limits")
}

fn record(histogram: &mut Histogram<u64>, micros: u64) {
    histogram.record(micros).expect("the histogram resizes itself");
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
