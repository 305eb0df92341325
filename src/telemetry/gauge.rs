//! Values as they stand.

/// A value that is sampled at each report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Gauge {
    /// Generation in effect.
    Generation,
    /// Requests running on owned engines, in percent of their batches.
    BatchFillPercent,
    /// Engines that the instance owns.
    EnginesOwned,
    /// Requests running on owned engines.
    Running,
    /// Requests waiting for owned engines.
    Waiting,
    /// Requests of callers and peers in progress.
    InFlight,
    /// Peers believed to be live.
    PeersLive,
}

impl Gauge {
    /// Every one, for tables and tests.
    pub const ALL: [Self; 7] = [
        Self::Generation,
        Self::BatchFillPercent,
        Self::EnginesOwned,
        Self::Running,
        Self::Waiting,
        Self::InFlight,
        Self::PeersLive,
    ];

    /// Name of the metric, behind the instance's prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Generation => "generation",
            Self::BatchFillPercent => "batch_fill_percent",
            Self::EnginesOwned => "engines_owned",
            Self::Running => "running",
            Self::Waiting => "waiting",
            Self::InFlight => "in_flight",
            Self::PeersLive => "peers_live",
        }
    }

    /// What it tells, for the documentation.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Generation => "generation in effect",
            Self::BatchFillPercent => {
                "requests running on owned engines, in percent of their batches"
            }
            Self::EnginesOwned => "engines that the instance owns",
            Self::Running => "requests running on owned engines",
            Self::Waiting => "requests waiting for owned engines",
            Self::InFlight => "requests of callers and peers in progress",
            Self::PeersLive => "peers believed to be live",
        }
    }
}
