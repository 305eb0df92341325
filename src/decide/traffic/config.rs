//! The published traffic configuration: routes, services and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Route;
use crate::names::ModelName;
use crate::names::ServiceName;

/// One base model of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelName,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
}

/// What the replicas of a model service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that running requests and cached parts share.
    pub kv_tokens: u64,
    /// Space for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Adapters that one replica holds.
    pub adapter_slots: usize,
    /// Loads from the weight store a second, over all replicas.
    pub loads_per_s: f64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one replica accepts from all callers.
    pub max_connections: u32,
    /// What its replicas hold, if they are model engines.
    pub engine: Option<EngineSpec>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficConfig {
    /// Grows with each change.
    pub version: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for which an idle connection of a caller is kept.
    pub idle_timeout: Duration,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
}

impl TrafficConfig {
    /// A version with these routes and services.
    pub fn new(
        version: u64,
        max_body_bytes: usize,
        idle_timeout: Duration,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Self { version, max_body_bytes, idle_timeout, routes: by_host, services }
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
