//! Figures of one run on real processes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::request::End;

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// Latencies of one kind.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
        Self { histogram: histogram.expect("the bounds are valid") }
    }
}

impl Latencies {
    /// Adds one latency.
    pub fn record(&mut self, span: Duration) {
        self.histogram.saturating_record(span.as_micros() as u64);
    }

    /// How many were added.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The latency that this share of all does not exceed, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Median, 95th and 99th percentile, in milliseconds.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "count": self.count(),
            "p50_ms": self.millis(0.50),
            "p95_ms": self.millis(0.95),
            "p99_ms": self.millis(0.99),
        })
    }

    /// Median, 95th and 99th percentile, for a table.
    pub fn columns(&self) -> String {
        let [p50, p95, p99] = [0.50, 0.95, 0.99].map(|quantile| self.millis(quantile));
        format!("{p50:>10.2} {p95:>10.2} {p99:>10.2}")
    }
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Times to the first token.
    pub first_token: Latencies,
    /// Times to the end of the answer.
    pub whole: Latencies,
    /// Requests that ended with a problem, by title.
    pub problems: BTreeMap<String, u64>,
    /// Requests whose connection broke.
    pub broken: u64,
    /// Wrong answers; must stay empty.
    pub wrong: Vec<String>,
    /// Loads that the weight store delivered.
    pub loads: u64,
}

impl Figures {
    /// Adds the end of one request.
    pub fn record(&mut self, end: End) {
        match end {
            End::Answered { first_token, whole } => {
                self.first_token.record(first_token);
                self.whole.record(whole);
            }
            End::Problem(kind) => *self.problems.entry(kind.to_string()).or_default() += 1,
            End::Broken => self.broken += 1,
            End::Wrong(text) => self.wrong.push(text),
        }
    }

    /// The figures for a terminal.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let answered = self.first_token.count();
        let _ = writeln!(text, "answered {answered}, loads {}, broken {}", self.loads, self.broken);
        let _ = writeln!(text, "{:<14} {:>10} {:>10} {:>10}", "ms", "p50", "p95", "p99");
        let _ = writeln!(text, "{:<14} {}", "first token", self.first_token.columns());
        let _ = writeln!(text, "{:<14} {}", "whole answer", self.whole.columns());
        for (title, count) in &self.problems {
            let _ = writeln!(text, "{title}: {count}");
        }
        text
    }

    /// The figures as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "first_token": self.first_token.json(),
            "whole": self.whole.json(),
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
    /// A sentence with the first wrong answer.
    pub fn check(&self) -> Result<(), String> {
        match self.wrong.first() {
            None => Ok(()),
            Some(text) => Err(format!("{} wrong answers, the first {text:?}", self.wrong.len())),
        }
    }
}
