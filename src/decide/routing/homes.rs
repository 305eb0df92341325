//! Homes of an adapter.

use crate::decide::rendezvous;
use crate::names::AdapterName;
use crate::wire::listing::ListedBackend;

/// Engines that may serve an adapter, best first.
pub fn homes(adapter: &AdapterName, engines: Vec<ListedBackend>) -> Vec<ListedBackend> {
    rendezvous::rank(adapter.as_str(), engines, |engine| engine.name.as_str())
}
