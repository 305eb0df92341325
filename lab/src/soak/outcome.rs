//! What a soak has shown.

use std::time::Duration;

use super::ServedShare;
use super::finding::Finding;
use super::finding::FindingKind;
use super::instance::End;
use super::instance::EndCause;

/// What a soak has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    /// What is wrong.
    pub findings: Vec<Finding>,
    /// Number of starts of processes.
    pub starts: usize,
    /// Ages of processes that SIGHUP ended while their program was being loaded.
    pub early_hangups: Vec<Duration>,
    /// Times from the end of a disruption to readiness.
    pub ready_times: Vec<Duration>,
    /// Times from the start of a process to readiness.
    pub start_times: Vec<Duration>,
    /// Shares of requests that were served: in the calm beginning, and in the first seconds after each
    /// return of all instances.
    pub shares: Vec<ServedShare>,
}

impl Outcome {
    /// The served shares, one line for each second.
    pub fn describe_shares(&self) -> String {
        let line = |one: &ServedShare| {
            let (from, to) = (one.from.as_secs_f64(), one.to.as_secs_f64().min(9999.0));
            format!("  {from:7.3} to {to:7.3} s: {} of {} served\n", one.served, one.requests)
        };
        self.shares.iter().map(line).collect()
    }

    /// One line.
    pub fn summary(&self) -> String {
        let mut times = self.start_times.clone();
        times.sort_unstable();
        let middle = times.get(times.len() / 2).copied().unwrap_or_default();
        let worst_start = times.last().copied().unwrap_or_default();
        let worst = self.ready_times.iter().max().copied().unwrap_or_default();
        format!(
            "{} findings; {} starts, {} ended by SIGHUP while loaded {:.0?}; {} became ready, in the \
             middle {middle:.3?} and at the latest {worst_start:.3?} after the start; {} recovered, at \
             the latest after {worst:.3?}",
            self.findings.len(),
            self.starts,
            self.early_hangups.len(),
            self.early_hangups,
            times.len(),
            self.ready_times.len(),
        )
    }

    /// Counts the end of a process, and adds a finding unless it was wanted.
    pub fn add_end(&mut self, index: usize, end: &End, at: Duration) {
        let kind = match end.cause {
            EndCause::Wanted => return,
            EndCause::HangupWhileLoading => {
                self.early_hangups.push(end.age);
                return;
            }
            EndCause::WithError => FindingKind::EndedWithError,
            EndCause::Late => FindingKind::EndedLate,
            EndCause::ByItself => FindingKind::EndedByItself,
        };
        let (status, age, tail) = (end.status, end.age, &end.log_tail);
        let detail = format!("instance {index}, {status}, {age:.3?} after its start\n{tail}");
        self.findings.push(Finding { at, kind, detail });
    }
}
