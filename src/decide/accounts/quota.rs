//! Limit on what an account may use, over all instances together.

use super::CostUnit;

/// Rate and burst of an account, in its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second; above 0.
    pub rate: f64,
    /// Units that may be used at once after a time of little use.
    pub burst: f64,
    /// What is counted.
    pub unit: CostUnit,
    /// Cost of a request that names no token counts.
    pub plain_cost: u64,
}

impl Quota {
    /// Cost of a request with this sum of token counts; at least 1.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            CostUnit::Requests => 1,
            CostUnit::Tokens => tokens.unwrap_or(self.plain_cost).max(1),
        }
    }
}
