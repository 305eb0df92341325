//! Addresses of the platform's services.

use std::net::SocketAddr;

use super::section::Section;

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Configuration service.
    pub configuration: SocketAddr,
    /// List of live and leaving instances.
    pub instances: SocketAddr,
    /// Weight store, if instances may ask it.
    pub weight_store: Option<SocketAddr>,
}

impl Platform {
    pub(super) fn read(mut section: Section<'_>) -> Option<Self> {
        let configuration = section.required_addr("configuration");
        let instances = section.required_addr("instances");
        let weight_store = section.optional_addr("weight_store");
        section.finish();
        Some(Self { configuration: configuration?, instances: instances?, weight_store })
    }
}
