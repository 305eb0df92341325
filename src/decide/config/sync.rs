//! Synchronization of the configuration with the service and the peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ConfigAction;
use super::ConfigCounters;
use super::ConfigSource;
use super::ConfigState;
use super::ServiceHealth;
use super::ServiceReply;
use super::Snapshot;
use super::fetch::Fetch;
use super::fetch::FetchRead;
use super::peer_configs::PeerConfigs;
use super::service_reads::ServiceCall;
use super::service_reads::ServiceReads;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::Generation;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::gossip::ConfigId;
use crate::wire::published::MAX_VALUE_BYTES;
use crate::wire::published::PageRef;
use crate::wire::published::Root;

/// Time that an instance which is no reader gives its peers to pass on a publication, before it
/// reads the changed pages from the service itself.
const NON_READER_DELAY: Duration = Duration::from_secs(8);

/// The configuration at one instance: what is in effect and what is being read.
///
/// The service and the peers are read independently, so that a publication that the
/// service can't deliver completely never delays one that a peer holds completely.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    pub(super) state: ConfigState,
    pub(super) peer_configs: PeerConfigs,
    pub(super) peer_fetch: Option<Fetch>,
    pub(super) service_fetch: Option<Fetch>,
    pub(super) refused: BTreeSet<ConfigId>,
    pub(super) conflicts: BTreeSet<ConfigId>,
    pub(super) service_reads: ServiceReads,
    pub(super) watching: bool,
    pub(super) counters: ConfigCounters,
    pub(super) ready: bool,
    pub(super) rng: ChaCha8Rng,
}

impl ConfigSync {
    /// Creates the state of an instance without a configuration.
    pub fn new(now: Timestamp, seed: u64) -> Self {
        Self {
            state: ConfigState::default(),
            peer_configs: PeerConfigs::default(),
            peer_fetch: None,
            service_fetch: None,
            refused: BTreeSet::new(),
            conflicts: BTreeSet::new(),
            service_reads: ServiceReads::new(now),
            watching: true,
            counters: ConfigCounters::default(),
            ready: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The snapshot in effect, if any.
    pub fn current(&self) -> Option<&Arc<Snapshot>> {
        self.state.current()
    }

    /// Generation and root hash of the snapshot in effect, if any.
    pub fn id(&self) -> Option<ConfigId> {
        self.current().map(|snapshot| snapshot.id())
    }

    /// The generation in effect, if any.
    pub fn generation(&self) -> Option<Generation> {
        self.state.generation()
    }

    /// Whether a configuration may be used: since the start or the last pause the peers and the
    /// service were asked, and no higher generation was left to fetch from a peer.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether different content of the generation in effect has been seen.
    pub fn in_conflict(&self) -> bool {
        !self.conflicts.is_empty()
    }

    /// Health of the service after the last call.
    pub fn service_health(&self) -> ServiceHealth {
        self.service_reads.health()
    }

    /// Event counts since the start.
    pub fn counters(&self) -> ConfigCounters {
        self.counters
    }

    /// Bytes of the root in effect, or of one of its pages, for a peer; `None` if not held.
    pub fn serve(&self, page: Option<&PageRef>) -> Option<Bytes> {
        let current = self.current()?;
        match page {
            None => Some(current.root_bytes().clone()),
            Some(page) => current.page(page).cloned(),
        }
    }

    /// Starts the reads that are due.
    ///
    /// `joined` says whether the peers were asked, `watching` whether this instance is a reader.
    pub fn tick(&mut self, now: Timestamp, joined: bool, watching: bool) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        self.watching = watching;
        if self.service_reads.is_overdue(now) {
            let call = self.service_reads.last_call();
            self.on_call_ended(now, call, ServiceHealth::Unreachable, &mut actions);
        }
        self.call_service(now, &mut actions);
        self.read_from_peers(now, &mut actions);
        self.read_service_pages(now, &mut actions);
        let nothing_higher = self.peer_fetch.is_none();
        if joined && self.service_reads.has_called() && self.current().is_some() && nothing_higher {
            self.ready = true;
        }
        actions
    }

    /// Handles a peer's report of the configuration in effect there.
    pub fn on_peer_config(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        config: Option<ConfigId>,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        self.peer_configs.set(peer, config);
        if let Some(id) = config {
            self.check_conflict(id, ConfigSource::Peer(peer.clone()), &mut actions);
        }
        self.read_from_peers(now, &mut actions);
        actions
    }

    /// Forgets the report of a peer that was declared dead.
    pub fn forget_peer(&mut self, peer: &InstanceName) {
        self.peer_configs.forget(peer);
    }

    /// Handles the end of a call to the service.
    pub fn on_service_reply(
        &mut self,
        now: Timestamp,
        call: u64,
        reply: ServiceReply,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let health = match reply {
            ServiceReply::Failed => {
                self.counters.failed_reads += 1;
                ServiceHealth::Unreachable
            }
            ServiceReply::Unchanged => self.service_reads.health().reachable(),
            ServiceReply::Root(bytes) => self.on_service_root(now, bytes, &mut actions),
        };
        self.on_call_ended(now, call, health, &mut actions);
        self.read_service_pages(now, &mut actions);
        actions
    }

    /// Handles the root in effect at a peer; `None` if the read failed.
    pub fn on_peer_root(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        bytes: Option<Bytes>,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let Some(bytes) = bytes else {
            self.counters.failed_reads += 1;
            if let Some(fetch) = &mut self.peer_fetch {
                fetch.on_root_failed(now, &mut self.rng);
            }
            return actions;
        };
        match Self::root_with_id(&bytes) {
            Ok((id, root)) => {
                // The peer may have applied another generation since its report.
                self.peer_configs.set(peer, Some(id));
                self.check_conflict(id, ConfigSource::Peer(peer.clone()), &mut actions);
                let current = self.state.current().cloned();
                match &mut self.peer_fetch {
                    Some(fetch) if fetch.id() == id => {
                        fetch.set_root(bytes, root, current.as_deref());
                    }
                    Some(fetch) => fetch.on_root_failed(now, &mut self.rng),
                    None => {}
                }
            }
            Err(e) => {
                self.peer_configs.forget(peer);
                self.refuse(e, &mut actions);
            }
        }
        self.read_from_peers(now, &mut actions);
        actions
    }

    /// Handles a page; `None` if the read failed. A wrong hash counts as a failure.
    pub fn on_page(
        &mut self,
        now: Timestamp,
        from: &ConfigSource,
        page: &PageRef,
        bytes: Option<Bytes>,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let fetch = match from {
            ConfigSource::Service => &mut self.service_fetch,
            ConfigSource::Peer(_) => &mut self.peer_fetch,
        };
        let intact = bytes.filter(|bytes| Snapshot::hash(bytes) == page.hash);
        let failed = intact.is_none();
        match (fetch, intact) {
            (Some(fetch), Some(bytes)) => fetch.on_page(page, bytes),
            (Some(fetch), None) => {
                self.counters.failed_reads += 1;
                fetch.on_page_failed(now, page, &mut self.rng);
            }
            (None, _) => {}
        }
        if !self.watching && *from == ConfigSource::Service && failed {
            // The next poll fetches it again.
            self.service_fetch = None;
        }
        self.read_from_peers(now, &mut actions);
        self.read_service_pages(now, &mut actions);
        actions
    }

    /// Handles a pause of the process: drops the peers' reports and asks the service again.
    pub fn on_pause_detected(&mut self, now: Timestamp) {
        self.ready = false;
        self.peer_configs.clear();
        self.peer_fetch = None;
        self.service_reads.restart(now);
    }

    fn root_with_id(bytes: &Bytes) -> Result<(ConfigId, Root), Error> {
        if bytes.len() > MAX_VALUE_BYTES {
            let detail = format!("root has {} bytes, more than {MAX_VALUE_BYTES}", bytes.len());
            return Err(Error::new(ErrorKind::ConfigRefused, detail));
        }
        let root = Snapshot::parse_root(bytes)?;
        Ok((Snapshot::id_of(&root, bytes), root))
    }

    fn on_service_root(
        &mut self,
        now: Timestamp,
        bytes: Bytes,
        actions: &mut Vec<ConfigAction>,
    ) -> ServiceHealth {
        let (id, root) = match Self::root_with_id(&bytes) {
            Ok(parsed) => parsed,
            Err(e) => {
                self.refuse(e, actions);
                return self.service_reads.health().reachable();
            }
        };
        self.check_conflict(id, ConfigSource::Service, actions);
        if self.generation().is_some_and(|current| id.generation < current) {
            self.counters.stale_roots += 1;
            return ServiceHealth::Stale;
        }
        // The service serves pages by name, so only those of its present root can be read.
        let known = self.service_fetch.as_ref().is_some_and(|fetch| fetch.id() == id);
        if self.is_wanted(&id) && !known {
            let delay = if self.watching { Duration::ZERO } else { NON_READER_DELAY };
            let mut fetch = Fetch::new(now + delay, id);
            fetch.set_root(bytes, root, self.state.current().map(Arc::as_ref));
            self.service_fetch = Some(fetch);
        }
        ServiceHealth::Current
    }

    fn on_call_ended(
        &mut self,
        now: Timestamp,
        call: u64,
        health: ServiceHealth,
        actions: &mut Vec<ConfigAction>,
    ) {
        if let Some(health) = self.service_reads.on_call_ended(now, call, health, &mut self.rng) {
            actions.push(ConfigAction::ServiceChanged(health));
        }
    }

    fn call_service(&mut self, now: Timestamp, actions: &mut Vec<ConfigAction>) {
        let applied = self.current().is_some();
        let call = self.service_reads.next_call(now, self.watching, applied, &mut self.rng);
        let Some(call) = call else { return };
        self.counters.service_root_reads += 1;
        actions.push(match call {
            ServiceCall::Poll(call) => ConfigAction::ReadServiceRoot { call, after: None },
            ServiceCall::Watch(call) => {
                ConfigAction::ReadServiceRoot { call, after: self.generation() }
            }
        });
    }

    fn read_from_peers(&mut self, now: Timestamp, actions: &mut Vec<ConfigAction>) {
        let wanted = self.peer_configs.highest(|id| self.is_wanted(id));
        let Some(id) = wanted else {
            self.peer_fetch = None;
            return;
        };
        if self.peer_fetch.as_ref().is_none_or(|fetch| fetch.id() != id) {
            self.peer_fetch = Some(Fetch::new(now, id));
        }
        let holders = self.peer_configs.holders(id);
        let Some(fetch) = &mut self.peer_fetch else { return };
        for read in fetch.next_reads(now, &mut self.rng) {
            let from = holders[self.rng.random_range(0..holders.len())].clone();
            actions.push(match read {
                FetchRead::Root => ConfigAction::ReadPeerRoot { from },
                FetchRead::Page(page) => {
                    ConfigAction::ReadPage { from: ConfigSource::Peer(from), page }
                }
            });
        }
        let assembled = fetch.assemble();
        self.apply_assembled(assembled, id, actions);
    }

    fn read_service_pages(&mut self, now: Timestamp, actions: &mut Vec<ConfigAction>) {
        let Some(id) = self.service_fetch.as_ref().map(Fetch::id) else { return };
        if !self.is_wanted(&id) {
            self.service_fetch = None;
            return;
        }
        let Some(fetch) = &mut self.service_fetch else { return };
        for read in fetch.next_reads(now, &mut self.rng) {
            if let FetchRead::Page(page) = read {
                self.counters.service_page_reads += 1;
                actions.push(ConfigAction::ReadPage { from: ConfigSource::Service, page });
            }
        }
        let assembled = fetch.assemble();
        self.apply_assembled(assembled, id, actions);
    }
}
