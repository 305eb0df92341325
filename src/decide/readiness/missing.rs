//! What an instance may lack.

use serde::Serialize;

use super::WaitsFor;

/// Something without which callers shouldn't send requests to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Missing {
    /// No peer has replied, and the time to wait for one isn't over.
    Join,
    /// No configuration is known.
    Config,
    /// The configuration has lacked changes that a peer has for too long.
    NewerConfig,
    /// The replicas weren't listed, or what came after an old listing isn't known.
    Replicas,
    /// Neither peers nor the published state can be reached.
    Contact,
    /// The address for callers isn't bound.
    CallerAddress,
    /// Callers' connections can't be accepted, as for want of descriptors.
    Accepts,
    /// The instance shuts down.
    Service,
}

impl Missing {
    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::Join,
        Self::Config,
        Self::NewerConfig,
        Self::Replicas,
        Self::Contact,
        Self::CallerAddress,
        Self::Accepts,
        Self::Service,
    ];

    /// Name in the log, in metrics and in the body of a readiness check.
    pub fn name(self) -> &'static str {
        match self {
            Self::Join => "join",
            Self::Config => "config",
            Self::NewerConfig => "newer_config",
            Self::Replicas => "replicas",
            Self::Contact => "contact",
            Self::CallerAddress => "caller_address",
            Self::Accepts => "accepts",
            Self::Service => "service",
        }
    }

    /// Who or what can end it.
    pub fn waits_for(self) -> &'static [WaitsFor] {
        match self {
            Self::Join => &[WaitsFor::Peers],
            Self::Config | Self::NewerConfig | Self::Replicas | Self::Contact => {
                &[WaitsFor::Store, WaitsFor::Peers]
            }
            Self::CallerAddress => &[WaitsFor::Address],
            Self::Accepts => &[WaitsFor::Descriptors],
            Self::Service => &[],
        }
    }
}
