//! Where a request may run without a permit, and who gives permits.

use super::Fingerprint;
use crate::decide::rendezvous;
use crate::names::AdapterName;
use crate::names::BackendName;
use crate::names::InstanceName;

/// The one engine on which requests for an adapter run without a permit.
///
/// Every instance takes it from the listed engines of the base model, whether
/// they answer or not, so that all instances name the same one.
pub fn first_engine<'a>(
    adapter: &AdapterName,
    engines: impl Iterator<Item = &'a BackendName>,
) -> Option<BackendName> {
    engines.max_by_key(|engine| rendezvous::score(adapter.as_str(), engine.as_str())).cloned()
}

/// The instance that gives the permits of a fingerprint.
pub fn home_instance<'a>(
    fingerprint: Fingerprint,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> Option<InstanceName> {
    let key = fingerprint.to_string();
    instances.max_by_key(|instance| rendezvous::score(&key, instance.as_str())).cloned()
}
