//! Whether an instance's configuration is fresh enough to decide about API keys.

mod config_proof;
mod config_trust;

pub use config_proof::ConfigProof;
pub use config_trust::ConfigTrust;
