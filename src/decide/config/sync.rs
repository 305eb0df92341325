//! Reads of the configuration, from the service and from peers, up to its application.

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
use super::ServiceAnswer;
use super::ServiceHealth;
use super::Snapshot;
use super::claims::Claims;
use super::fetch::Fetch;
use super::fetch::FetchRead;
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

/// Time that an instance which doesn't watch leaves the readers to pass on a publication.
const READER_GRACE: Duration = Duration::from_secs(8);

/// The configuration at one instance: what is in effect and what is being read.
///
/// The service and the peers are read apart, so that a publication that the
/// service can't deliver whole never delays one that a peer holds whole.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    pub(super) state: ConfigState,
    pub(super) claims: Claims,
    pub(super) from_peers: Option<Fetch>,
    pub(super) from_service: Option<Fetch>,
    pub(super) refused: BTreeSet<ConfigId>,
    pub(super) conflicts: BTreeSet<ConfigId>,
    pub(super) reads: ServiceReads,
    pub(super) watching: bool,
    pub(super) counters: ConfigCounters,
    pub(super) ready: bool,
    pub(super) rng: ChaCha8Rng,
}

impl ConfigSync {
    /// An instance without a configuration.
    pub fn new(now: Timestamp, seed: u64) -> Self {
        Self {
            state: ConfigState::default(),
            claims: Claims::default(),
            from_peers: None,
            from_service: None,
            refused: BTreeSet::new(),
            conflicts: BTreeSet::new(),
            reads: ServiceReads::new(now),
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

    /// Generation and hash of the snapshot in effect, if any.
    pub fn id(&self) -> Option<ConfigId> {
        self.current().map(|snapshot| snapshot.id())
    }

    /// The generation in effect, if any.
    pub fn generation(&self) -> Option<Generation> {
        self.state.generation()
    }

    /// Whether the peers and the service were asked and nothing higher is known of.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether another content of the generation in effect has been seen.
    pub fn in_conflict(&self) -> bool {
        !self.conflicts.is_empty()
    }

    /// State of the service after the last read.
    pub fn service_health(&self) -> ServiceHealth {
        self.reads.health()
    }

    /// How often each thing happened.
    pub fn counters(&self) -> ConfigCounters {
        self.counters
    }

    /// Bytes of the root in effect, or of one of its pages, for a peer.
    pub fn serve(&self, page: Option<&PageRef>) -> Option<Bytes> {
        let current = self.current()?;
        match page {
            None => Some(current.root_bytes().clone()),
            Some(page) => current.page(page).cloned(),
        }
    }

    /// Decides which reads to start; `joined` says that the peers were asked.
    pub fn tick(&mut self, now: Timestamp, joined: bool, watching: bool) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        self.watching = watching;
        if self.reads.overdue(now) {
            let call = self.reads.serial();
            self.end_call(now, call, ServiceHealth::Unreachable, &mut actions);
        }
        self.call_service(now, &mut actions);
        self.read_peers(now, &mut actions);
        self.read_service_pages(now, &mut actions);
        let nothing_higher = self.from_peers.is_none();
        if joined && self.reads.asked() && self.current().is_some() && nothing_higher {
            self.ready = true;
        }
        actions
    }

    /// Takes what a peer says of the configuration in effect there.
    pub fn on_peer_config(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        claim: Option<ConfigId>,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        self.claims.set(peer, claim);
        if let Some(id) = claim {
            self.check_conflict(id, ConfigSource::Peer(peer.clone()), &mut actions);
        }
        self.read_peers(now, &mut actions);
        actions
    }

    /// Forgets the claim of a peer that is gone.
    pub fn forget_peer(&mut self, peer: &InstanceName) {
        self.claims.forget(peer);
    }

    /// Takes the end of a call to the service.
    pub fn on_service_answer(
        &mut self,
        now: Timestamp,
        call: u64,
        answer: ServiceAnswer,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let health = match answer {
            ServiceAnswer::Failed => {
                self.counters.failed_reads += 1;
                ServiceHealth::Unreachable
            }
            ServiceAnswer::Unchanged => self.reads.health().reachable(),
            ServiceAnswer::Root(bytes) => self.on_service_root(now, bytes, &mut actions),
        };
        self.end_call(now, call, health, &mut actions);
        self.read_service_pages(now, &mut actions);
        actions
    }

    /// Takes the root in effect at a peer; `None` if the read failed.
    pub fn on_peer_root(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        bytes: Option<Bytes>,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let Some(bytes) = bytes else {
            self.counters.failed_reads += 1;
            if let Some(fetch) = &mut self.from_peers {
                fetch.on_root_failed(now, &mut self.rng);
            }
            return actions;
        };
        match Self::parse(&bytes) {
            Ok((id, root)) => {
                // The peer may have moved on since its claim.
                self.claims.set(peer, Some(id));
                self.check_conflict(id, ConfigSource::Peer(peer.clone()), &mut actions);
                let current = self.state.current().cloned();
                match &mut self.from_peers {
                    Some(fetch) if fetch.id() == id => {
                        fetch.set_root(bytes, root, current.as_deref());
                    }
                    Some(fetch) => fetch.on_root_failed(now, &mut self.rng),
                    None => {}
                }
            }
            Err(e) => {
                self.claims.forget(peer);
                self.refuse(e, &mut actions);
            }
        }
        self.read_peers(now, &mut actions);
        actions
    }

    /// Takes a page; `None` if the read failed.
    pub fn on_page(
        &mut self,
        now: Timestamp,
        from: &ConfigSource,
        page: &PageRef,
        bytes: Option<Bytes>,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let fetch = match from {
            ConfigSource::Service => &mut self.from_service,
            ConfigSource::Peer(_) => &mut self.from_peers,
        };
        let sound = bytes.filter(|bytes| Snapshot::hash(bytes) == page.hash);
        let lost = sound.is_none();
        match (fetch, sound) {
            (Some(fetch), Some(bytes)) => fetch.on_page(page, bytes),
            (Some(fetch), None) => {
                self.counters.failed_reads += 1;
                fetch.on_page_failed(now, page, &mut self.rng);
            }
            (None, _) => {}
        }
        if !self.watching && *from == ConfigSource::Service && lost {
            // The next slow check tries again.
            self.from_service = None;
        }
        self.read_peers(now, &mut actions);
        self.read_service_pages(now, &mut actions);
        actions
    }

    /// Takes note that the process was paused: what was known may be outdated.
    pub fn on_pause_detected(&mut self, now: Timestamp) {
        self.ready = false;
        self.claims.clear();
        self.from_peers = None;
        self.reads.restart(now);
    }

    fn parse(bytes: &Bytes) -> Result<(ConfigId, Root), Error> {
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
        let (id, root) = match Self::parse(&bytes) {
            Ok(parsed) => parsed,
            Err(e) => {
                self.refuse(e, actions);
                return self.reads.health().reachable();
            }
        };
        self.check_conflict(id, ConfigSource::Service, actions);
        if self.generation().is_some_and(|current| id.generation < current) {
            self.counters.stale_roots += 1;
            return ServiceHealth::Stale;
        }
        // The service delivers pages by name, so only those of the root that it shows now.
        let known = self.from_service.as_ref().is_some_and(|fetch| fetch.id() == id);
        if self.is_wanted(&id) && !known {
            let grace = if self.watching { Duration::ZERO } else { READER_GRACE };
            let mut fetch = Fetch::new(now + grace, id);
            fetch.set_root(bytes, root, self.state.current().map(Arc::as_ref));
            self.from_service = Some(fetch);
        }
        ServiceHealth::Current
    }

    fn end_call(
        &mut self,
        now: Timestamp,
        call: u64,
        health: ServiceHealth,
        actions: &mut Vec<ConfigAction>,
    ) {
        if let Some(health) = self.reads.on_end(now, call, health, &mut self.rng) {
            actions.push(ConfigAction::ServiceChanged(health));
        }
    }

    fn call_service(&mut self, now: Timestamp, actions: &mut Vec<ConfigAction>) {
        let applied = self.current().is_some();
        let call = self.reads.next_call(now, self.watching, applied, &mut self.rng);
        let Some(call) = call else { return };
        self.counters.service_root_reads += 1;
        actions.push(match call {
            ServiceCall::Check(call) => ConfigAction::ReadServiceRoot { call, after: None },
            ServiceCall::Watch(call) => {
                ConfigAction::ReadServiceRoot { call, after: self.generation() }
            }
        });
    }

    fn read_peers(&mut self, now: Timestamp, actions: &mut Vec<ConfigAction>) {
        let wanted = self.claims.highest(|id| self.is_wanted(id));
        let Some(id) = wanted else {
            self.from_peers = None;
            return;
        };
        if self.from_peers.as_ref().is_none_or(|fetch| fetch.id() != id) {
            self.from_peers = Some(Fetch::new(now, id));
        }
        let holders = self.claims.holders(id);
        let Some(fetch) = &mut self.from_peers else { return };
        for read in fetch.next_reads(now, &mut self.rng) {
            let from = holders[self.rng.random_range(0..holders.len())].clone();
            actions.push(match read {
                FetchRead::Root => ConfigAction::ReadPeerRoot { from },
                FetchRead::Page(page) => {
                    ConfigAction::ReadPage { from: ConfigSource::Peer(from), page }
                }
            });
        }
        let whole = fetch.assemble();
        self.finish(whole, id, actions);
    }

    fn read_service_pages(&mut self, now: Timestamp, actions: &mut Vec<ConfigAction>) {
        let Some(id) = self.from_service.as_ref().map(Fetch::id) else { return };
        if !self.is_wanted(&id) {
            self.from_service = None;
            return;
        }
        let Some(fetch) = &mut self.from_service else { return };
        for read in fetch.next_reads(now, &mut self.rng) {
            if let FetchRead::Page(page) = read {
                self.counters.service_page_reads += 1;
                actions.push(ConfigAction::ReadPage { from: ConfigSource::Service, page });
            }
        }
        let whole = fetch.assemble();
        self.finish(whole, id, actions);
    }
}
