//! Sizes and settings of the two customer deployments.

/// Sizes and settings of one deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Name in tables and on the command line.
    pub name: &'static str,
    /// Number of model engines.
    pub engines: usize,
    /// Adapter slots of each engine.
    pub slots: usize,
    /// Most requests that an engine runs at once.
    pub batch: usize,
    /// Number of published adapters.
    pub adapters: usize,
    /// Loads a second that the weight store allows.
    pub store_rate: f64,
    /// Weight of load stalls against batch efficiency, 0 to 100.
    pub stall_weight: u8,
}

impl Deployment {
    /// Nakhla Proposal Works.
    pub const NAKHLA: Self = Self {
        name: "nakhla",
        engines: 12,
        slots: 8,
        batch: 16,
        adapters: 3000,
        store_rate: 3.0,
        stall_weight: 30,
    };

    /// Pamoja Aquatics Timing Consortium.
    pub const PAMOJA: Self = Self {
        name: "pamoja",
        engines: 9,
        slots: 8,
        batch: 16,
        adapters: 3000,
        store_rate: 2.0,
        stall_weight: 80,
    };

    /// Mean arrivals a second on an ordinary evening.
    pub fn ordinary_rate(&self) -> f64 {
        const REQUESTS_PER_ENGINE: f64 = 0.5;
        REQUESTS_PER_ENGINE * self.engines as f64
    }
}
