//! Gauges: values that are sampled at each report.

/// A value that is sampled at each report; one metric each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Gauge {
    /// Configuration generation in effect; 0 before the first one.
    Generation,
    /// Batch fill: requests running on owned engines, in percent of their batch sizes.
    BatchFillPercent,
    /// Engines that this instance owns.
    EnginesOwned,
    /// Requests running on owned engines.
    Running,
    /// Requests queued for owned engines.
    Waiting,
    /// Requests of callers and peers that are in progress here.
    InFlight,
    /// Peers believed to be live.
    PeersLive,
}

impl Gauge {
    /// Every gauge, for the generated documentation and for tests.
    pub const ALL: [Self; 7] = [
        Self::Generation,
        Self::BatchFillPercent,
        Self::EnginesOwned,
        Self::Running,
        Self::Waiting,
        Self::InFlight,
        Self::PeersLive,
    ];

    /// Name of the metric, without the prefix `tamaracklead.INSTANCE.`.
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

    /// Description in the generated table of metrics in the documentation.
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
