//! What the callers of one account ask for.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::accounts::CostUnit;
use tamaracklead::decide::accounts::Quota;

/// Cost of a request without token counts.
const PLAIN_COST: u64 = 200;

/// Costs of requests.
#[derive(Clone, Copy, Debug)]
pub enum Costs {
    /// All alike.
    Fixed(u64),
    /// A third cost the plain cost, the others 0.3 to 1.7 times the mean.
    Usual { mean: u64 },
    /// Spread over the orders of magnitude between both.
    Spread { least: u64, most: u64 },
}

impl Costs {
    pub fn draw(self, rng: &mut ChaCha8Rng) -> u64 {
        match self {
            Self::Fixed(cost) => cost,
            Self::Usual { .. } if rng.random_bool(1.0 / 3.0) => PLAIN_COST,
            Self::Usual { mean } => (mean as f64 * rng.random_range(0.3..1.7)) as u64,
            Self::Spread { least, most } => {
                let (least, most) = ((least as f64).ln(), (most as f64).ln());
                rng.random_range(least..most).exp() as u64
            }
        }
    }

    pub fn mean(self) -> f64 {
        match self {
            Self::Fixed(cost) => cost as f64,
            Self::Usual { mean } => PLAIN_COST as f64 / 3.0 + mean as f64 * 2.0 / 3.0,
            Self::Spread { least, most } => {
                let (least, most) = (least as f64, most as f64);
                (most - least) / (most / least).ln()
            }
        }
    }
}

/// Load of one account.
#[derive(Clone, Copy, Debug)]
pub struct AccountLoad {
    /// Rate of the quota, in tokens per second; its burst is one second's rate.
    pub rate: f64,
    pub costs: Costs,
    /// Demand in tokens per second.
    pub demand: f64,
    /// Times of more demand: from, until (ms), and the factor.
    pub surge: Option<(u64, u64, f64)>,
    /// Instances that its callers are connected to, the first ones after a rotation; 0 for all.
    pub spots: usize,
}

impl AccountLoad {
    /// Usual demand, spread evenly.
    pub fn new(rate: f64, costs: Costs) -> Self {
        Self { rate, costs, demand: rate / 1.8, surge: None, spots: 0 }
    }

    pub fn quota(&self) -> Quota {
        Quota { rate: self.rate, burst: self.rate, unit: CostUnit::Tokens, plain_cost: PLAIN_COST }
    }

    /// Requests per second.
    pub fn requests_per_s(&self, ms: u64) -> f64 {
        let factor = match self.surge {
            Some((from, until, factor)) if (from..until).contains(&ms) => factor,
            _ => 1.0,
        };
        self.demand * factor / self.costs.mean()
    }

    /// Sixteen accounts of very uneven size, 420 requests per second together if `scale` is 1.
    pub fn deployment(scale: f64) -> Vec<Self> {
        let means = [9_300, 1_000, 7_000, 4_000, 9_300, 8_000, 5_000, 9_300];
        (0..16)
            .map(|n| {
                let rate = 29_000.0 * (900_000.0_f64 / 29_000.0).powf(n as f64 / 15.0);
                let mean = means.get(n).copied().unwrap_or(9_300);
                Self::new(rate * scale, Costs::Usual { mean })
            })
            .collect()
    }
}
