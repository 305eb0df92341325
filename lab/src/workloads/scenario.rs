//! Scenarios of a run: which disturbance the fleet sees.

/// Disturbance of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Steady arrivals and no fault.
    OrdinaryEvening,
    /// Triple arrival rate for two minutes, most of it on forty rare adapters.
    GalaBurst,
    /// The popularity ranking of all adapters changes at one moment.
    PopularityShift,
    /// A third of the engines restart at once.
    EngineRestart,
    /// The weight store serves a third of its rate for two minutes.
    SlowStore,
    /// A preset with pinned adapters takes effect ten seconds before they become popular.
    PresetSwitch,
    /// Every engine restarts at once, and refused callers retry.
    RetryStorm,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::OrdinaryEvening,
        Self::GalaBurst,
        Self::PopularityShift,
        Self::EngineRestart,
        Self::SlowStore,
        Self::PresetSwitch,
        Self::RetryStorm,
    ];

    /// Name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::OrdinaryEvening => "ordinary-evening",
            Self::GalaBurst => "gala-burst",
            Self::PopularityShift => "popularity-shift",
            Self::EngineRestart => "engine-restart",
            Self::SlowStore => "slow-store",
            Self::PresetSwitch => "preset-switch",
            Self::RetryStorm => "retry-storm",
        }
    }

    /// Whether refused callers retry.
    pub fn callers_retry(self) -> bool {
        self == Self::RetryStorm
    }
}
