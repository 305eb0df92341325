//! What a replica's response says about how much it takes from all instances together.

use serde::Deserialize;
use serde::Serialize;

/// Lowest rate that is kept, per second: a replica that takes nothing gets a request now and then
/// all the same, whose response tells whether the limit has ended.
const MIN_RATE: f64 = 0.25;

/// Limits that a replica names; `None` where it names none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NamedLimits {
    /// Requests per second; finite and not negative.
    pub rate: Option<f64>,
    /// Rejections in one second above which the replica fails.
    pub max_rejections: Option<u32>,
}

impl NamedLimits {
    /// Whether the replica names no limit.
    pub fn is_none(&self) -> bool {
        self.rate.is_none() && self.max_rejections.is_none()
    }

    /// Whether the rate is a number that a replica can name.
    pub fn is_valid(&self) -> bool {
        self.rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0)
    }

    /// The part of these limits that may be used.
    pub fn part(self, share: f64) -> Self {
        Self { rate: self.rate.map(|rate| rate.max(MIN_RATE) * share), ..self }
    }
}
