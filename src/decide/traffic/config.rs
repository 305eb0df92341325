//! The published traffic configuration: routes, services and limits.
//!
//! A request's route is the one of its host with the longest matching path prefix.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Route;
use crate::decide::accounts::Accounts;
use crate::names::ModelName;
use crate::names::ServiceName;

/// A base model that the replicas of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Base model, as in [`AdapterKey`](super::AdapterKey).
    pub name: ModelName,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
}

/// Capacity of the replicas of a service, if they are model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Size of a replica's KV cache, which running requests and cached prompt parts share, in
    /// tokens.
    pub kv_tokens: u64,
    /// Memory of a replica for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Most adapters that one replica holds at once.
    pub adapter_slots: usize,
    /// Loads from the weight store per second, over all replicas.
    pub loads_per_s: f64,
    /// Base models that a replica can load.
    pub models: Vec<ModelSpec>,
}

/// A service, which is served by replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes and replicas refer to it.
    pub name: ServiceName,
    /// Connections that one replica accepts from all callers.
    pub max_connections: u32,
    /// Capacity of its replicas; `None` if they aren't model engines.
    pub engine: Option<EngineSpec>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficConfig {
    /// Increases with each change.
    pub version: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for which a caller's idle connection is kept open.
    pub idle_timeout: Duration,
    /// Time within which the head of a request must have arrived; `None` leaves it the time of an idle
    /// connection.
    pub head_timeout: Option<Duration>,
    /// Client accounts; `None` if the deployment has none, so that requests need no API key.
    pub accounts: Option<Arc<Accounts>>,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    /// Services of earlier versions that this one doesn't have.
    former_services: HashMap<ServiceName, Arc<Service>>,
}

impl TrafficConfig {
    /// Indexes the routes by host and the services by name.
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
        Self {
            version,
            max_body_bytes,
            idle_timeout,
            head_timeout: None,
            accounts: None,
            routes: by_host,
            services,
            former_services: HashMap::new(),
        }
    }

    /// The same configuration with these client accounts.
    #[must_use]
    pub fn with_accounts(self, accounts: Option<Accounts>) -> Self {
        Self { accounts: accounts.map(Arc::new), ..self }
    }

    /// The same configuration with this limit on heads of requests.
    #[must_use]
    pub fn with_head_timeout(self, head_timeout: Option<Duration>) -> Self {
        Self { head_timeout, ..self }
    }

    /// Remembers the services that `earlier` has and this version doesn't, for requests that were
    /// accepted before.
    #[must_use]
    pub fn after(mut self, earlier: &Self) -> Self {
        for (name, service) in earlier.former_services.iter().chain(&earlier.services) {
            if !self.services.contains_key(name) {
                self.former_services.insert(name.clone(), Arc::clone(service));
            }
        }
        self
    }

    /// The route of `host`, in any case, with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The service of this name; `None` if there isn't one.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The service of this name, also if only an earlier version had it.
    pub fn service_or_former(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.service(name).or_else(|| self.former_services.get(name))
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
