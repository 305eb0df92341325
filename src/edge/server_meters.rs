//! Meters of the connections to servers, which remember servers that bring nothing.
//!
//! Whoever calls such a server again and again makes a new connection each time, and would read as much
//! of it as of one to a server that nothing is known of.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;

use hyper::Uri;
use hyper::http::uri::Authority;

use super::ContentMeter;

/// Servers that are remembered at a time; more are as new ones.
const MAX_SERVERS: usize = 4096;

/// Which servers bring nothing, for all clones.
#[derive(Clone, Debug, Default)]
pub struct ServerMeters {
    servers: Arc<Mutex<HashMap<Authority, Arc<AtomicBool>>>>,
}

impl ServerMeters {
    /// Meter of a new connection to a server.
    pub fn meter(&self, target: &Uri) -> ContentMeter {
        let Some(server) = target.authority() else { return ContentMeter::default() };
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        if servers.len() >= MAX_SERVERS && !servers.contains_key(server) {
            servers.clear();
        }
        let brings_nothing = servers.entry(server.clone()).or_default();
        ContentMeter::of_server(Arc::clone(brings_nothing))
    }
}
