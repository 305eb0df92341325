//! State of all addresses of a process, and what follows from it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::BindFailure;
use super::BindRetry;
use super::FleetRole;
use super::ListenAddress;
use super::address_state::AddressState;
use crate::names::Timestamp;

/// Delay after a failed try in the first time, in which earlier processes end.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Length of that time.
const FIRST_RETRY_TIME: Duration = Duration::from_secs(10);
/// Delay after a failed try from then on.
const LATER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Addresses of a process, and since when it tries to bind them.
#[derive(Clone, Debug)]
pub struct Listening {
    began: Timestamp,
    predecessor_limit: Duration,
    states: BTreeMap<ListenAddress, AddressState>,
}

impl Listening {
    /// A process that is to listen on `addresses` and has tried none yet; an earlier process of the same
    /// instance has ended `predecessor_limit` from now.
    pub fn new(
        now: Timestamp,
        predecessor_limit: Duration,
        addresses: impl IntoIterator<Item = ListenAddress>,
    ) -> Self {
        let states = addresses.into_iter().map(|address| (address, AddressState::Untried));
        Self { began: now, predecessor_limit, states: states.collect() }
    }

    /// Records a failed try; returns when the next one follows.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        address: ListenAddress,
        failure: BindFailure,
    ) -> BindRetry {
        let state = AddressState::Missing(failure);
        let is_news = self.states.insert(address, state) != Some(state);
        let is_first_time = self.waited(now) < FIRST_RETRY_TIME;
        let delay = if is_first_time { FIRST_RETRY_DELAY } else { LATER_RETRY_DELAY };
        BindRetry { delay, is_news }
    }

    /// Records that an address is bound; returns for how long it was missing, `None` if it was there at
    /// the first try.
    pub fn on_bound(&mut self, now: Timestamp, address: ListenAddress) -> Option<Duration> {
        match self.states.insert(address, AddressState::Bound) {
            Some(AddressState::Missing(_)) => Some(self.waited(now)),
            Some(AddressState::Untried | AddressState::Bound) | None => None,
        }
    }

    /// Time since the first try.
    pub fn waited(&self, now: Timestamp) -> Duration {
        now.since(self.began)
    }

    /// Addresses that the process is to listen on and doesn't.
    pub fn missing(&self) -> impl Iterator<Item = ListenAddress> {
        let missing = self.states.iter().filter(|(_, state)| **state != AddressState::Bound);
        missing.map(|(address, _)| *address)
    }

    /// Whether the process listens on an address.
    pub fn is_bound(&self, address: ListenAddress) -> bool {
        self.states.get(&address) == Some(&AddressState::Bound)
    }

    /// Role of the instance in the fleet.
    ///
    /// Without the address for peers, an earlier process may still run under its name, until its time is
    /// over. After that, whoever holds the address for callers too may be such a process that doesn't
    /// end, and an instance without callers has nothing to tell.
    pub fn fleet_role(&self, now: Timestamp) -> FleetRole {
        if self.is_bound(ListenAddress::Peer) {
            FleetRole::Full
        } else if self.may_have_predecessor(now) || !self.is_bound(ListenAddress::Caller) {
            FleetRole::Observer
        } else {
            FleetRole::Limited
        }
    }

    fn may_have_predecessor(&self, now: Timestamp) -> bool {
        self.waited(now) < self.predecessor_limit
    }
}
