//! Who reaches whom, and who believes so, as by gossip.

use crate::plan::Failure;
use crate::plan::Plan;

/// Time for which an instance counts as part of the recent fleet, in ms.
const RECENT_MS: u64 = 10_000;
/// Longest time until an instance that is back is noticed, in ms.
const RETURN_MS: u64 = 500;
/// Shortest time after its start within which an instance knows another, in ms.
const JOIN_MS: u64 = 100;
/// Time after that within which it knows all of them, in ms.
const JOIN_SPREAD_MS: u64 = 900;

/// Membership as each instance sees it.
pub struct View {
    failures: Vec<Failure>,
    instances: usize,
    notice_ms: u64,
    seed: u64,
}

impl View {
    pub fn new(plan: &Plan) -> Self {
        Self {
            failures: plan.failures.clone(),
            instances: plan.instances,
            notice_ms: plan.notice_ms,
            seed: plan.seed,
        }
    }

    /// Whether the process runs.
    pub fn runs(&self, instance: usize, ms: u64) -> bool {
        self.failures.iter().all(|failure| match *failure {
            Failure::Killed { instance: other, at } => other != instance || ms < at,
            Failure::Paused { instance: other, from, until } => {
                other != instance || !(from..until).contains(&ms)
            }
            Failure::AllRestarted { at, down_ms } => !(at..at + down_ms).contains(&ms),
            Failure::ThirdCutOff { .. } => true,
        })
    }

    /// Start of the process that runs at this time.
    pub fn started(&self, ms: u64) -> u64 {
        let starts = self.failures.iter().filter_map(|failure| match *failure {
            Failure::AllRestarted { at, down_ms } => Some(at + down_ms),
            _ => None,
        });
        starts.filter(|start| *start <= ms).max().unwrap_or(0)
    }

    /// Whether a message between both arrives.
    pub fn reaches(&self, one: usize, other: usize, ms: u64) -> bool {
        self.runs(other, ms) && !self.is_cut(one, other, ms)
    }

    fn is_cut(&self, one: usize, other: usize, ms: u64) -> bool {
        let is_inside = |instance: usize| instance < self.instances / 3;
        self.failures.iter().any(|failure| match *failure {
            Failure::ThirdCutOff { from, until } => {
                (from..until).contains(&ms) && is_inside(one) != is_inside(other)
            }
            _ => false,
        })
    }

    /// Whether `one` takes `other` for live.
    pub fn sees(&self, one: usize, other: usize, ms: u64) -> bool {
        if one == other {
            return true;
        }
        let started = self.started(ms);
        if self.failures.is_empty() && ms >= started + JOIN_MS + JOIN_SPREAD_MS {
            return true;
        }
        let draw = self.draw(one, other);
        if ms < started + JOIN_MS + draw % JOIN_SPREAD_MS {
            return false;
        }
        let notice = self.notice_ms / 2 + draw % (self.notice_ms / 2 + 1);
        let back = draw % RETURN_MS;
        // Both edges of each failure are seen later, by what this pair needs to notice them.
        let edges = |from: u64, until: u64| (from + notice..until + back).contains(&ms);
        !self.failures.iter().any(|failure| match *failure {
            Failure::Killed { instance, at } => instance == other && ms >= at + notice,
            Failure::Paused { instance, from, until } => instance == other && edges(from, until),
            Failure::ThirdCutOff { from, until } => {
                edges(from, until) && self.is_cut(one, other, from)
            }
            Failure::AllRestarted { .. } => false,
        })
    }

    /// Number of a pair of instances, the same in all of the run.
    fn draw(&self, one: usize, other: usize) -> u64 {
        let pair = self.seed << 32 | (one as u64) << 16 | other as u64;
        (pair + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20
    }

    /// Whether `other` was live lately, as `one` sees it.
    pub fn saw(&self, one: usize, other: usize, ms: u64) -> bool {
        if self.sees(one, other, ms) {
            return true;
        }
        let earliest = self.started(ms).max(ms.saturating_sub(RECENT_MS));
        let mut at = ms;
        loop {
            if self.sees(one, other, at) {
                return true;
            }
            if at < earliest + 500 {
                return false;
            }
            at -= 500;
        }
    }
}
