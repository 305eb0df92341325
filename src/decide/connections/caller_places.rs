//! Places for callers' connections.
//!
//! A new connection always gets a place while another one can be closed for it, since it may be that of
//! an ordinary caller. Closed is the one that has been waited for longest, of those whose end costs
//! their callers least and that aren't young; so callers that open many connections and send little close those of each
//! other. If all are young, it is the one that has been waited for longest, since what the others will
//! send may be on its way. A connection on which a response is awaited stays.

use std::collections::HashMap;
use std::time::Duration;

use super::ConnectionId;
use super::ConnectionPhase;
use super::Place;
use crate::names::Timestamp;

/// Time for which a connection is young: it may be that of an ordinary caller whose request is on its
/// way, so that others go first.
const YOUNG_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: ConnectionPhase,
    since: Timestamp,
    /// Whether it is to be closed; it keeps its place until it is.
    is_evicted: bool,
}

/// Open connections of callers.
#[derive(Debug)]
pub struct CallerPlaces {
    count: usize,
    evicted: usize,
    next: ConnectionId,
    connections: HashMap<ConnectionId, Connection>,
}

impl CallerPlaces {
    /// Places for `count` connections, all free.
    pub fn new(count: usize) -> Self {
        let (next, connections) = (ConnectionId::FIRST, HashMap::new());
        Self { count, evicted: 0, next, connections }
    }

    /// Number of places.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Asks for a place for a connection that was just accepted.
    pub fn enter(&mut self, now: Timestamp) -> Place {
        let mut closed = None;
        if self.connections.len() - self.evicted >= self.count {
            let Some(id) = self.first_to_close(now) else { return Place::Full };
            self.evict(id);
            closed = Some(id);
        }
        let id = self.next;
        self.next = id.next();
        let connection = Connection { phase: ConnectionPhase::Idle, since: now, is_evicted: false };
        self.connections.insert(id, connection);
        match closed {
            Some(closed) => Place::Instead { id, closed },
            None => Place::Free(id),
        }
    }

    /// Notes what is awaited on a connection from now on.
    pub fn set_phase(&mut self, now: Timestamp, id: ConnectionId, phase: ConnectionPhase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Whether a connection that is to be closed still may be; one on which a response is awaited by
    /// now stays.
    pub fn confirm_eviction(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return true };
        if connection.is_evicted && connection.phase == ConnectionPhase::Response {
            connection.is_evicted = false;
            self.evicted -= 1;
        }
        connection.is_evicted
    }

    /// Frees the place of a connection that has ended.
    pub fn leave(&mut self, id: ConnectionId) {
        let left = self.connections.remove(&id);
        if left.is_some_and(|connection| connection.is_evicted) {
            self.evicted -= 1;
        }
    }

    fn evict(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_evicted = true;
            self.evicted += 1;
        }
    }

    fn first_to_close(&self, now: Timestamp) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| {
                !connection.is_evicted && connection.phase != ConnectionPhase::Response
            })
            .min_by_key(|(id, connection)| {
                let is_young = now.since(connection.since) < YOUNG_TIME;
                // What a young one hasn't sent yet may be on its way.
                let phase = connection.phase;
                let rank = if is_young { phase.min(ConnectionPhase::Idle) } else { phase };
                (is_young, rank, connection.since, **id)
            })
            .map(|(id, _)| *id)
    }
}
