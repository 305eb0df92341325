//! Choice of the instance that sends a request instead of this one, which is cut off.
//!
//! It is the one with the fewest of this instance's requests in progress, so that their load is spread
//! over all that reach the replicas; those in the same data centre get a few more.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::rendezvous;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Requests that an instance in this data centre gets more than one in another.
const NEAR_ADVANTAGE: u32 = 2;
/// Time for which an instance that refused a request, or couldn't be reached, gets none.
const UNFIT_TIME: Duration = Duration::from_secs(1);
/// Requests of others that an instance takes beside its own, whatever it has.
const MIN_TAKEN: usize = 48;
/// Requests of others that an instance takes for each of its own.
const TAKEN_PER_OWN: usize = 3;

/// Another instance that may reach the replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassOnCandidate {
    /// Its name.
    pub name: InstanceName,
    /// Address on which it listens for peers.
    pub addr: SocketAddr,
    /// Whether it is in the same data centre.
    pub is_near: bool,
}

/// What an instance has passed on to others, and has taken from them.
#[derive(Clone, Debug, Default)]
pub struct PassOnPeers {
    in_progress: HashMap<InstanceName, u32>,
    unfit_until: HashMap<InstanceName, Timestamp>,
    taken: usize,
}

impl PassOnPeers {
    /// Chooses one of `candidates` for the request `id`; `None` if none is fit.
    pub fn choose<'a>(
        &self,
        now: Timestamp,
        candidates: &'a [PassOnCandidate],
        id: &str,
    ) -> Option<&'a PassOnCandidate> {
        let ranking = rendezvous::Ranking::new(id);
        let is_fit =
            |c: &&PassOnCandidate| self.unfit_until.get(&c.name).is_none_or(|until| now >= *until);
        let load = |c: &PassOnCandidate| {
            let distance = if c.is_near { 0 } else { NEAR_ADVANTAGE };
            self.in_progress.get(&c.name).copied().unwrap_or(0) + distance
        };
        candidates.iter().filter(is_fit).min_by_key(|c| (load(c), ranking.score(c.name.as_str())))
    }

    /// Records that a request is passed on to an instance.
    pub fn on_begun(&mut self, name: &InstanceName) {
        *self.in_progress.entry(name.clone()).or_default() += 1;
    }

    /// Records that it has ended.
    pub fn on_ended(&mut self, name: &InstanceName) {
        if let Some(count) = self.in_progress.get_mut(name) {
            *count -= 1;
            if *count == 0 {
                self.in_progress.remove(name);
            }
        }
    }

    /// Records that an instance didn't take a request.
    pub fn on_unfit(&mut self, now: Timestamp, name: &InstanceName) {
        self.unfit_until.retain(|_, until| now < *until);
        self.unfit_until.insert(name.clone(), now + UNFIT_TIME);
    }

    /// Takes a request of another instance, beside `own` requests of callers; returns `false` if
    /// there are too many.
    pub fn try_take(&mut self, own: usize) -> bool {
        let has_room = self.taken < MIN_TAKEN.max(own * TAKEN_PER_OWN);
        self.taken += usize::from(has_room);
        has_room
    }

    /// Records that a request of another instance has ended.
    pub fn on_taken_ended(&mut self) {
        self.taken -= 1;
    }

    /// Requests of other instances in progress.
    pub fn taken(&self) -> usize {
        self.taken
    }
}
