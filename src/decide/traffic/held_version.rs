//! What an instance believes that a replica holds.

use std::collections::HashMap;
use std::time::Duration;

use super::AdapterKey;
use super::HeldModel;
use crate::names::Timestamp;

/// Time for which a replica is taken to hold an adapter without a newer confirmation.
pub const HELD_TTL: Duration = Duration::from_millis(1500);

/// Version of an adapter or model that the replica holds, by the last update or response.
#[derive(Clone, Copy, Debug)]
pub struct HeldVersion {
    /// The version.
    pub version: u64,
    /// When it was confirmed last.
    pub confirmed_at: Timestamp,
    /// Time for which the confirmation counts.
    pub valid_for: Duration,
}

/// Adapters and models of an entry or of the owner's word, as confirmed now.
pub fn believed_held(now: Timestamp, models: &[HeldModel]) -> HashMap<AdapterKey, HeldVersion> {
    let mut held = HashMap::new();
    for model in models {
        let of = |version| HeldVersion { version, confirmed_at: now, valid_for: HELD_TTL };
        held.insert(AdapterKey::base(model.name.clone()), of(model.version));
        for (adapter, version) in &model.adapters {
            let key = AdapterKey::adapter(model.name.clone(), adapter.clone());
            held.insert(key, of(*version));
        }
    }
    held
}
