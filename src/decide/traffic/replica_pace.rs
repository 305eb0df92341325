//! Speed of one replica, learned from the streams of all instances.
//!
//! Reading other prompts stalls single streams, and never makes one faster. So the estimate is a low
//! quantile of the latest streams: what the replica does when nothing stalls it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::names::Timestamp;

/// Streams from which the estimate is made.
const MAX_SAMPLES: usize = 8;
/// Least streams for an estimate.
const MIN_SAMPLES: usize = 3;
/// Of the samples, by length, the one that is the estimate: one in so many is shorter.
const QUANTILE_DIVISOR: usize = 4;
/// Time after which a stream no longer counts.
const SAMPLE_TTL: Duration = Duration::from_secs(20);

/// Paces of the latest streams of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPace {
    samples: VecDeque<(Timestamp, Duration)>,
}

impl ReplicaPace {
    /// Records the mean time between the events of a stream.
    pub fn on_stream(&mut self, now: Timestamp, event_gap: Duration) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, event_gap));
    }

    /// Forgets all streams, as the replica has restarted.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Time between two events of a stream that nothing stalls; `None` if it isn't known.
    pub fn event_gap(&self, now: Timestamp) -> Option<Duration> {
        let fresh = self.samples.iter().filter(|(at, _)| now.since(*at) < SAMPLE_TTL);
        let mut gaps: Vec<Duration> = fresh.map(|(_, gap)| *gap).collect();
        if gaps.len() < MIN_SAMPLES {
            return None;
        }
        gaps.sort_unstable();
        Some(gaps[gaps.len() / QUANTILE_DIVISOR])
    }
}
