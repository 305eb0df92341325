//! Which addresses a relay listens on, shared by the tasks that bind them and by all that depend on it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::RelayListen;
use super::log_event::record;
use super::process_event::ProcessEvent;
use super::start_step::StartStep;
use crate::daemon::Clock;
use crate::decide::listening::BindFailure;
use crate::decide::listening::BindRetry;
use crate::decide::listening::FleetRole;
use crate::decide::listening::ListenAddress;
use crate::decide::listening::Listening;
use crate::decide::readiness::UnboundAddress;

/// Addresses of a relay, and which of them are bound.
#[derive(Debug)]
pub struct Addresses {
    listen: RelayListen,
    clock: Clock,
    listening: Mutex<Listening>,
}

impl Addresses {
    /// None is bound yet; an earlier process of this instance has ended within `predecessor_limit`.
    pub fn new(listen: RelayListen, clock: Clock, predecessor_limit: Duration) -> Self {
        let configured = ListenAddress::ALL.into_iter();
        let configured = configured.filter(|address| socket_addr(&listen, *address).is_some());
        let listening = Listening::new(clock.now(), predecessor_limit, configured);
        Self { listen, clock, listening: Mutex::new(listening) }
    }

    /// The address in the settings; `None` if there is none.
    pub fn socket_addr(&self, address: ListenAddress) -> Option<SocketAddr> {
        socket_addr(&self.listen, address)
    }

    /// Records that an address is bound; logs it if it was missing.
    pub fn on_bound(&self, address: ListenAddress) {
        let waited = self.listening().on_bound(self.clock.now(), address);
        if let Some(waited) = waited {
            let (purpose, addr) = (address.name(), &self.text_of(address));
            record(&ProcessEvent::AddressBound { purpose, addr, waited_ms: waited.as_millis() });
        }
        if self.listening().missing().next().is_none() {
            StartStep::AddressesBound.record(self.clock.now());
        }
    }

    /// Records that an address couldn't be bound; logs it unless that is known. Returns when it is tried
    /// again.
    pub fn on_failure(
        &self,
        address: ListenAddress,
        failure: BindFailure,
        detail: &str,
    ) -> BindRetry {
        let next = self.listening().on_failure(self.clock.now(), address, failure);
        if next.is_news {
            let (purpose, addr) = (address.name(), &self.text_of(address));
            record(&ProcessEvent::AddressUnavailable { purpose, addr, detail });
        }
        next
    }

    /// Time since the first try to bind them.
    pub fn waited(&self) -> Duration {
        self.listening().waited(self.clock.now())
    }

    /// Whether an address is bound.
    pub fn is_bound(&self, address: ListenAddress) -> bool {
        self.listening().is_bound(address)
    }

    /// Whether an address of the settings isn't bound.
    pub fn is_missing(&self, address: ListenAddress) -> bool {
        self.listening().missing().any(|missing| missing == address)
    }

    /// Role of this instance in the fleet.
    pub fn fleet_role(&self) -> FleetRole {
        self.listening().fleet_role(self.clock.now())
    }

    /// The addresses of the settings that aren't bound.
    pub fn unbound(&self) -> Vec<UnboundAddress> {
        let unbound = |address: ListenAddress| {
            let addr = self.socket_addr(address)?;
            Some(UnboundAddress { purpose: address.name(), addr })
        };
        self.listening().missing().filter_map(unbound).collect()
    }

    fn text_of(&self, address: ListenAddress) -> String {
        self.socket_addr(address).map(|addr| addr.to_string()).unwrap_or_default()
    }

    fn listening(&self) -> MutexGuard<'_, Listening> {
        self.listening.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn socket_addr(listen: &RelayListen, address: ListenAddress) -> Option<SocketAddr> {
    match address {
        ListenAddress::Caller => Some(listen.caller),
        ListenAddress::Ready => Some(listen.ready),
        ListenAddress::Peer | ListenAddress::Datagrams => Some(listen.peer),
        ListenAddress::Metrics => listen.metrics,
    }
}
