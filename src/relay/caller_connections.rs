//! Places of callers' connections, and the connections that give theirs to others.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

use crate::daemon::Clock;
use crate::decide::connections::CallerPlaces;
use crate::decide::connections::ConnectionId;
use crate::decide::connections::ConnectionPhase;
use crate::decide::connections::Place;

/// Open connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    clock: Clock,
    places: Mutex<CallerPlaces>,
    /// Wakes a connection that is to be closed.
    evictions: Mutex<HashMap<ConnectionId, Arc<Notify>>>,
}

impl CallerConnections {
    /// Places for `count` connections.
    pub fn new(clock: Clock, count: usize) -> Self {
        let places = Mutex::new(CallerPlaces::new(count));
        Self { clock, places, evictions: Mutex::default() }
    }

    /// Gives a place to a connection that was just accepted; `None` if there is none. Another
    /// connection may lose its own.
    pub fn enter(self: &Arc<Self>) -> Option<ConnectionPlace> {
        let id = match self.places().enter(self.clock.now()) {
            Place::Full => return None,
            Place::Free(id) => id,
            Place::Instead { id, closed } => {
                if let Some(eviction) = self.evictions().get(&closed) {
                    eviction.notify_one();
                }
                id
            }
        };
        let eviction = Arc::new(Notify::new());
        self.evictions().insert(id, Arc::clone(&eviction));
        Some(ConnectionPlace { connections: Arc::clone(self), id, eviction })
    }

    /// The places.
    pub fn places(&self) -> MutexGuard<'_, CallerPlaces> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evictions(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Notify>>> {
        self.evictions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of one connection, until it is dropped.
#[derive(Debug)]
pub struct ConnectionPlace {
    connections: Arc<CallerConnections>,
    id: ConnectionId,
    eviction: Arc<Notify>,
}

impl ConnectionPlace {
    /// Notes what is awaited on the connection from now on.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        let now = self.connections.clock.now();
        self.connections.places().set_phase(now, self.id, phase);
    }

    /// Completes when the connection is to be closed for another one.
    pub async fn until_evicted(&self) {
        loop {
            self.eviction.notified().await;
            if self.connections.places().confirm_eviction(self.id) {
                return;
            }
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.connections.evictions().remove(&self.id);
        self.connections.places().leave(self.id);
    }
}
