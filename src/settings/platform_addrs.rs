//! Addresses of the platform's services.

use std::net::SocketAddr;

use super::section::Section;

/// Addresses of the platform's services (`platform`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformAddrs {
    /// Configuration service.
    pub configuration: SocketAddr,
    /// Service that lists live and leaving instances.
    pub instances: SocketAddr,
    /// Weight store; `None` if instances may not call it.
    pub weight_store: Option<SocketAddr>,
}

impl PlatformAddrs {
    pub(super) fn read(mut section: Section<'_>) -> Option<Self> {
        let configuration = section.required_addr("configuration");
        let instances = section.required_addr("instances");
        let weight_store = section.addr_if_set("weight_store");
        section.report_unknown_keys();
        Some(Self { configuration: configuration?, instances: instances?, weight_store })
    }
}
