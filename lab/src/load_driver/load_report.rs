//! Report of one load run on real processes: latencies, failures and wrong answers.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::request::RequestOutcome;

/// Upper bound of the histogram; longer latencies are recorded as this one. 600 s.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits that the histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self { histogram: histogram.expect("the bounds are valid") }
    }
}

impl LatencyHistogram {
    /// Records one latency.
    pub fn record(&mut self, span: Duration) {
        self.histogram.saturating_record(span.as_micros() as u64);
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Latency at a quantile from 0 to 1, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Count, median, 95th and 99th percentile as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "count": self.count(),
            "p50_ms": self.millis(0.50),
            "p95_ms": self.millis(0.95),
            "p99_ms": self.millis(0.99),
        })
    }

    /// Median, 95th and 99th percentile in milliseconds, as table columns.
    pub fn columns(&self) -> String {
        let [p50, p95, p99] = [0.50, 0.95, 0.99].map(|quantile| self.millis(quantile));
        format!("{p50:>10.2} {p95:>10.2} {p99:>10.2}")
    }
}

/// Results of one load run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Times from the planned arrival to the first token.
    pub first_token: LatencyHistogram,
    /// Times from the planned arrival to the end of the completion.
    pub end_to_end: LatencyHistogram,
    /// Number of requests that ended with a problem, by the title of its kind.
    pub problems: BTreeMap<String, u64>,
    /// Requests whose connection broke or whose response couldn't be read.
    pub broken: u64,
    /// Texts of wrong answers; a correct fleet gives none.
    pub wrong: Vec<String>,
    /// Adapter loads that the weight store completed.
    pub loads: u64,
}

impl LoadReport {
    /// Records the outcome of one request.
    pub fn record(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Answered { first_token, end_to_end } => {
                self.first_token.record(first_token);
                self.end_to_end.record(end_to_end);
            }
            RequestOutcome::Problem(kind) => {
                *self.problems.entry(kind.to_string()).or_default() += 1
            }
            RequestOutcome::Broken => self.broken += 1,
            RequestOutcome::WrongAnswer(text) => self.wrong.push(text),
        }
    }

    /// Formats the report for a terminal.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let answered = self.first_token.count();
        let _ = writeln!(text, "answered {answered}, loads {}, broken {}", self.loads, self.broken);
        let _ = writeln!(text, "{:<14} {:>10} {:>10} {:>10}", "ms", "p50", "p95", "p99");
        let _ = writeln!(text, "{:<14} {}", "first token", self.first_token.columns());
        let _ = writeln!(text, "{:<14} {}", "whole answer", self.end_to_end.columns());
        for (title, count) in &self.problems {
            let _ = writeln!(text, "{title}: {count}");
        }
        text
    }

    /// The report as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "first_token": self.first_token.json(),
            "whole": self.end_to_end.json(),
            "problems": self.problems,
            "broken": self.broken,
            "wrong": self.wrong.len(),
            "loads": self.loads,
        })
    }

    /// Fails if an answer was wrong.
    ///
    /// # Errors
    ///
    /// The number of wrong answers and the text of the first.
    pub fn check(&self) -> Result<(), String> {
        match self.wrong.first() {
            None => Ok(()),
            Some(text) => Err(format!("{} wrong answers, the first {text:?}", self.wrong.len())),
        }
    }
}
