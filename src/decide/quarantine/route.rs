//! Where a request may run without a permit, and which instance grants permits.

use super::Fingerprint;
use crate::decide::rendezvous;
use crate::names::AdapterName;
use crate::names::BackendName;
use crate::names::InstanceName;

/// The one engine on which requests for an adapter may run without a permit.
///
/// It is ranked among all listed engines of the base model, whether they answer or
/// not, so that every instance names the same one.
pub fn first_engine<'a>(
    adapter: &AdapterName,
    engines: impl Iterator<Item = &'a BackendName>,
) -> Option<BackendName> {
    engines.max_by_key(|engine| rendezvous::score(adapter.as_str(), engine.as_str())).cloned()
}

/// The instance that grants the permits of a fingerprint.
pub fn home_instance<'a>(
    fingerprint: Fingerprint,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> Option<InstanceName> {
    let key = fingerprint.to_string();
    instances.max_by_key(|instance| rendezvous::score(&key, instance.as_str())).cloned()
}
