//! What happens in a run.

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Steady arrivals.
    OrdinaryEvening,
    /// Three times the arrivals for two minutes, most of them on forty rare adapters.
    GalaBurst,
    /// The ranking of adapters changes at once.
    PopularityShift,
    /// A third of the engines restart.
    EngineRestart,
    /// The weight store gives a third of its rate for two minutes.
    SlowStore,
    /// A preset with pinned adapters comes into force, ten seconds before its callers do.
    PresetSwitch,
    /// Every engine restarts, and callers that were refused come back.
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

    /// Whether refused callers come back.
    pub fn callers_retry(self) -> bool {
        self == Self::RetryStorm
    }
}
