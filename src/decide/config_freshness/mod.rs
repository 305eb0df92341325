//! Whether an instance's configuration is fresh enough to decide about API keys.

mod config_proof;
mod config_trust;
mod freshness;
mod freshness_limits;
mod missing_versions;

pub use config_proof::ConfigProof;
pub use config_trust::ConfigTrust;
pub use freshness::ConfigFreshness;
pub use freshness_limits::FreshnessLimits;
