//! The combined state of members, configuration and backend servers at one instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::FleetAction;
use super::listing_reads::ListingReads;
use crate::decide::backends::Backends;
use crate::decide::config::ConfigAction;
use crate::decide::config::ConfigSource;
use crate::decide::config::ConfigSync;
use crate::decide::config::ServiceHealth;
use crate::decide::config::ServiceReply;
use crate::decide::config::Snapshot;
use crate::decide::config::is_reader;
use crate::decide::membership::Identity;
use crate::decide::membership::Member;
use crate::decide::membership::Membership;
use crate::decide::membership::MembershipAction;
use crate::names::BackendName;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::GossipReply;
use crate::wire::gossip::MemberRecord;
use crate::wire::gossip::TopicNews;
use crate::wire::listing::Listing;
use crate::wire::published::PageRef;

/// Interval at which an instance decides anew whether it is a reader.
const READER_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Members, configuration and backend servers as one instance knows them.
#[derive(Clone, Debug)]
pub struct FleetView {
    members: Membership,
    config: ConfigSync,
    backends: Backends,
    listing_reads: ListingReads,
    reader: bool,
    next_reader_update: Timestamp,
    rng: ChaCha8Rng,
}

impl FleetView {
    /// Creates the view of a new instance, which knows of nothing yet.
    pub fn new(now: Timestamp, identity: Identity, seed: u64) -> Self {
        Self {
            members: Membership::new(now, identity, seed),
            config: ConfigSync::new(now, seed.rotate_left(1)),
            backends: Backends::default(),
            listing_reads: ListingReads::new(),
            reader: true,
            next_reader_update: now,
            rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(2)),
        }
    }

    /// The members and this instance's part in their protocol.
    pub fn membership(&self) -> &Membership {
        &self.members
    }

    /// The configuration in effect and its synchronization.
    pub fn config(&self) -> &ConfigSync {
        &self.config
    }

    /// The backend servers on the platform's list.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Whether this instance may take new work: it has joined and its configuration is ready.
    pub fn is_ready(&self) -> bool {
        self.members.is_joined() && self.config.is_ready()
    }

    /// The configuration for new work; `None` until this instance is ready, and after a pause.
    pub fn snapshot(&self, now: Timestamp) -> Option<Arc<Snapshot>> {
        let informed = self.is_ready() && !self.members.is_paused(now);
        informed.then(|| self.config.current().cloned()).flatten()
    }

    /// Whether a backend server may get new work now; checked immediately before each dispatch.
    pub fn may_dispatch(&self, now: Timestamp, name: &BackendName) -> bool {
        let informed = self.members.is_joined() && !self.members.is_paused(now);
        informed && self.backends.may_get_work(name)
    }

    /// Whether this instance is a reader, which watches the configuration service.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Announces to every member that is alive, at once, that this instance takes no new work.
    pub fn set_draining(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        let membership = self.members.set_draining(now);
        self.handle_membership_actions(now, membership, &mut actions);
        actions
    }

    /// Starts the reads, probes and pushes that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        let membership = self.members.tick(now);
        self.handle_membership_actions(now, membership, &mut actions);
        self.update_reader_role(now);
        let config = self.config.tick(now, self.members.is_joined(), self.reader);
        self.handle_config_actions(config, &mut actions);
        if self.listing_reads.start_if_due(now, self.reader, &mut self.rng) {
            actions.push(FleetAction::ReadListing);
        }
        actions
    }

    /// Handles the platform's list; `None` if the read failed.
    pub fn on_listing(&mut self, now: Timestamp, listing: Option<Listing>) -> Vec<FleetAction> {
        self.listing_reads.on_read_ended(listing.is_some());
        let Some(listing) = listing else { return Vec::new() };
        self.members.on_listing(now, &listing.entries);
        let mut actions = Vec::new();
        for mark in self.backends.on_listing(now, listing.backends) {
            self.members.spread_leaving(now, mark.clone());
            actions.push(FleetAction::LeavingBackend(mark));
        }
        actions
    }

    /// Handles a backend server's own statement that it is leaving.
    pub fn on_leaving_from_backend(
        &mut self,
        now: Timestamp,
        name: &BackendName,
        incarnation: Option<Incarnation>,
    ) -> Vec<FleetAction> {
        let Some(mark) = self.backends.on_leaving_from_backend(now, name, incarnation) else {
            return Vec::new();
        };
        self.members.spread_leaving(now, mark.clone());
        vec![FleetAction::LeavingBackend(mark)]
    }

    /// Gossips an update of another module.
    pub fn spread_topic(&mut self, now: Timestamp, update: TopicNews) {
        self.members.spread_topic(now, update);
    }

    /// Handles a peer's message and returns the reply to it.
    pub fn on_gossip(
        &mut self,
        now: Timestamp,
        message: Gossip,
    ) -> (GossipReply, Vec<FleetAction>) {
        let mut actions = Vec::new();
        let (reply, membership) = self.members.on_gossip(now, message);
        self.handle_membership_actions(now, membership, &mut actions);
        (reply, actions)
    }

    /// Handles the reply to a message; `None` if the call failed.
    pub fn on_gossip_reply(
        &mut self,
        now: Timestamp,
        to: &InstanceName,
        call: u64,
        reply: Option<GossipReply>,
    ) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        let membership = self.members.on_reply(now, to, call, reply);
        self.handle_membership_actions(now, membership, &mut actions);
        actions
    }

    /// Handles the end of a call to the configuration service.
    pub fn on_service_reply(
        &mut self,
        now: Timestamp,
        call: u64,
        reply: ServiceReply,
    ) -> Vec<FleetAction> {
        let config = self.config.on_service_reply(now, call, reply);
        self.forward_config_actions(config)
    }

    /// Handles the root in effect at a peer; `None` if the read failed.
    pub fn on_peer_root(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        bytes: Option<Bytes>,
    ) -> Vec<FleetAction> {
        let config = self.config.on_peer_root(now, peer, bytes);
        self.forward_config_actions(config)
    }

    /// Handles a page; `None` if the read failed.
    pub fn on_page(
        &mut self,
        now: Timestamp,
        from: &ConfigSource,
        page: &PageRef,
        bytes: Option<Bytes>,
    ) -> Vec<FleetAction> {
        let config = self.config.on_page(now, from, page, bytes);
        self.forward_config_actions(config)
    }

    fn forward_config_actions(&mut self, config: Vec<ConfigAction>) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        self.handle_config_actions(config, &mut actions);
        actions
    }

    fn handle_config_actions(&mut self, config: Vec<ConfigAction>, actions: &mut Vec<FleetAction>) {
        self.members.set_config(self.config.id());
        self.members.set_config_service_reachable(
            self.config.service_health() != ServiceHealth::Unreachable,
        );
        actions.extend(config.into_iter().map(FleetAction::Config));
    }

    fn handle_membership_actions(
        &mut self,
        now: Timestamp,
        membership: Vec<MembershipAction>,
        actions: &mut Vec<FleetAction>,
    ) {
        for action in membership {
            match action {
                MembershipAction::Send { to, addr, call, message } => {
                    actions.push(FleetAction::Gossip { to, addr, call, message });
                }
                MembershipAction::PeerConfig { peer, config } => {
                    let config = self.config.on_peer_config(now, &peer, config);
                    self.handle_config_actions(config, actions);
                }
                MembershipAction::PeerGone { peer } => self.config.forget_peer(&peer),
                MembershipAction::LeavingBackend(mark) => {
                    if self.backends.on_leaving_from_peer(now, mark.clone()) {
                        actions.push(FleetAction::LeavingBackend(mark));
                    }
                }
                MembershipAction::Topic(news) => actions.push(FleetAction::Topic(news)),
                MembershipAction::PauseDetected => {
                    self.config.on_pause_detected(now);
                    self.listing_reads.restart();
                    actions.push(FleetAction::PauseDetected);
                }
                MembershipAction::Superseded => actions.push(FleetAction::Superseded),
            }
        }
    }

    fn update_reader_role(&mut self, now: Timestamp) {
        if now < self.next_reader_update {
            return;
        }
        self.next_reader_update = now + READER_UPDATE_INTERVAL;
        let live: Vec<MemberRecord> = self
            .members
            .all()
            .filter(|member| member.is_responding())
            .filter_map(Member::record)
            .collect();
        self.reader = is_reader(self.members.me(), live.iter());
    }
}
