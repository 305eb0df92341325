//! Sizes of the deployments.

/// Size and weights of one deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Name for tables.
    pub name: &'static str,
    /// Model engines.
    pub engines: usize,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Requests that an engine runs at once.
    pub batch: usize,
    /// Published adapters.
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

    /// Requests a second on an ordinary evening.
    pub fn ordinary_rate(&self) -> f64 {
        const PER_ENGINE: f64 = 0.5;
        PER_ENGINE * self.engines as f64
    }
}
