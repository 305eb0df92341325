//! Deterministic simulation of a fleet: real decisions, simulated network, clock and platform.
//!
//! Instances exchange messages through an event queue in virtual time. Delays
//! are drawn from a seeded generator; loss, duplication and partitions are set by
//! the test. The oracle checks an instance after each of its events, by the
//! configurations that it applied and the work that it would dispatch.

#![allow(dead_code, reason = "each test program uses a part of the fixture")]

mod links;
mod node;
mod oracle;
pub mod platform;

use std::collections::BTreeMap;

use bytes::Bytes;
pub use node::Node;
pub use node::addr;
pub use node::name;
pub use platform::Platform;
pub use platform::publication;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::config::ConfigAction;
use tamaracklead::decide::config::ConfigSource;
use tamaracklead::decide::config::ServiceReply;
use tamaracklead::decide::fleet::FleetAction;
use tamaracklead::names::BackendName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::Generation;
use tamaracklead::names::Incarnation;
use tamaracklead::wire::gossip::Gossip;
use tamaracklead::wire::gossip::GossipReply;
use tamaracklead::wire::listing::BackendRole;
use tamaracklead::wire::listing::ListedBackend;
use tamaracklead::wire::listing::ListedEntry;
use tamaracklead::wire::listing::ListedState;
use tamaracklead::wire::listing::Listing;
use tamaracklead::wire::published::PageRef;

/// One second of virtual time, which counts in microseconds.
pub const SECOND: u64 = 1_000_000;
const TICK_INTERVAL: u64 = SECOND / 10;
const MAX_MESSAGE_DELAY: u64 = SECOND / 20;

/// Event at one instance; `from_inc` is the incarnation that gets the reply.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Gossip { from: usize, from_inc: u64, call: u64, message: Gossip, expects_reply: bool },
    GossipReplied { from: usize, call: u64, reply: Option<GossipReply> },
    ReadPeer { from: usize, from_inc: u64, page: Option<PageRef> },
    PeerRoot { from: usize, bytes: Option<Bytes> },
    Page { from: ConfigSource, page: PageRef, bytes: Option<Bytes> },
    Service { call: u64, reply: ServiceReply },
    Watch { call: u64, after: Generation, until: u64 },
    Listing { listing: Option<Listing> },
}

/// The simulated fleet: instances, platform, and queue of future events.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    /// When any source first said that a backend server is leaving, by its name and incarnation.
    pub first_leaving: BTreeMap<(String, u64), u64>,
    queue: BTreeMap<(u64, u64), (usize, u64, Event)>,
    serial: u64,
    incarnations: u64,
    data_centres: usize,
    rng: ChaCha8Rng,
}

impl World {
    /// A fleet whose instances start at the same time, with generation 1 published and one backend
    /// server listed.
    pub fn new(size: usize, data_centres: usize, seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            platform: Platform::default(),
            loss_percent: 0,
            duplicate_percent: 0,
            sent_bytes: 0,
            sent_messages: 0,
            first_leaving: BTreeMap::new(),
            queue: BTreeMap::new(),
            serial: 0,
            incarnations: 0,
            data_centres,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        world.platform.service.publish(publication(1, 0));
        world.platform.truth.backends = vec![backend("engine-0", 1, ListedState::Live)];
        for index in 0..size {
            world.platform.truth.entries.push(ListedEntry {
                name: name(index),
                peer_addr: addr(index),
                data_centre: DataCentre::new(&format!("dc-{}", index % data_centres)),
                state: ListedState::Live,
            });
        }
        world.platform.refresh();
        for index in 0..size {
            world.incarnations += 1;
            world.nodes.push(Node::new(index, world.incarnations, 0, data_centres));
            world.start(index);
        }
        world
    }

    /// Handles all events of the next `span` of virtual time.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some((&(at, serial), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some((index, inc, event)) = self.queue.remove(&(at, serial)) else { break };
            self.now = at;
            self.handle_event(index, inc, event);
        }
        self.now = end;
    }

    pub fn publish(&mut self, generation: u64, variant: u64) {
        self.platform.service.publish(publication(generation, variant));
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.nodes[index].last_fault = self.now;
    }

    /// Replaces an instance by a new process with the same name and address.
    pub fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let group = self.nodes[index].partition_group;
        self.nodes[index] = Node::new(index, self.incarnations, self.now, self.data_centres);
        self.nodes[index].partition_group = group;
        self.start(index);
    }

    pub fn freeze(&mut self, index: usize, span: u64) {
        let until = self.now + span;
        let node = &mut self.nodes[index];
        node.frozen_until = node.frozen_until.max(until);
        node.last_fault = until;
    }

    /// Cuts the links between instances of different groups; one group for each instance, in order.
    pub fn partition(&mut self, groups: &[u8]) {
        for (node, group) in self.nodes.iter_mut().zip(groups) {
            node.partition_group = *group;
            node.last_fault = node.last_fault.max(self.now);
        }
    }

    pub fn heal(&mut self) {
        let size = self.nodes.len();
        self.partition(&vec![0; size]);
    }

    pub fn set_backend(&mut self, incarnation: u64, state: ListedState) {
        self.platform.truth.backends = vec![backend("engine-0", incarnation, state)];
        self.platform.refresh();
    }

    pub fn drain(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let actions = node.view.set_draining(now);
        self.run_actions(index, actions);
    }

    /// Gives an instance the backend server's own statement that it is leaving.
    pub fn report_leaving(&mut self, index: usize, incarnation: u64) {
        if !self.nodes[index].is_running(self.now) {
            return;
        }
        self.record_leaving("engine-0", incarnation);
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let inc = Some(Incarnation(incarnation));
        let actions = node.view.on_leaving_from_backend(now, &BackendName::new("engine-0"), inc);
        self.run_actions(index, actions);
    }

    pub fn may_dispatch(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let now = node.clock(self.now);
        node.is_running(self.now) && node.view.may_dispatch(now, &BackendName::new("engine-0"))
    }

    fn start(&mut self, index: usize) {
        self.record_rejoin_start(index);
        let offset = self.rng.random_range(0..TICK_INTERVAL);
        self.schedule(index, offset, Event::Tick);
    }

    fn schedule(&mut self, index: usize, delay: u64, event: Event) {
        let inc = self.nodes[index].incarnation;
        self.schedule_for(index, inc, delay, event);
    }

    fn schedule_for(&mut self, index: usize, inc: u64, delay: u64, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), (index, inc, event));
    }

    fn handle_event(&mut self, index: usize, inc: u64, event: Event) {
        let node = &self.nodes[index];
        // A request reaches any process at the address, a reply only the process that asked.
        let incoming = matches!(event, Event::Gossip { .. } | Event::ReadPeer { .. });
        if !node.alive || (!incoming && node.incarnation != inc) {
            return;
        }
        if node.frozen_until > self.now {
            let delay = node.frozen_until - self.now;
            self.schedule_for(index, inc, delay, event);
            return;
        }
        let now = node.clock(self.now);
        let view = &mut self.nodes[index].view;
        let actions = match event {
            Event::Tick => {
                self.schedule(index, TICK_INTERVAL, Event::Tick);
                self.nodes[index].view.tick(now)
            }
            Event::Gossip { from, from_inc, call, message, expects_reply } => {
                let (reply, actions) = view.on_gossip(now, message);
                if expects_reply {
                    self.reply_to_gossip(index, from, from_inc, call, reply);
                }
                actions
            }
            Event::GossipReplied { from, call, reply } => {
                view.on_gossip_reply(now, &name(from), call, reply)
            }
            Event::ReadPeer { from, from_inc, page } => {
                let bytes = view.config().serve(page.as_ref());
                self.reply_to_read(index, from, from_inc, page, bytes);
                Vec::new()
            }
            Event::PeerRoot { from, bytes } => view.on_peer_root(now, &name(from), bytes),
            Event::Page { from, page, bytes } => view.on_page(now, &from, &page, bytes),
            Event::Service { call, reply } => view.on_service_reply(now, call, reply),
            Event::Watch { call, after, until } => {
                self.poll_watch(index, call, after, until);
                Vec::new()
            }
            Event::Listing { listing } => {
                if let Some(listing) = &listing {
                    self.record_listing(listing);
                }
                self.nodes[index].view.on_listing(now, listing)
            }
        };
        self.run_actions(index, actions);
        self.check(index);
    }

    fn run_actions(&mut self, index: usize, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Gossip { addr: to, call, message, .. } => {
                    self.send_gossip(index, usize::from(to.port() - 10_000), call, message);
                }
                FleetAction::Config(ConfigAction::ReadServiceRoot { call, after }) => {
                    self.read_service_root(index, call, after);
                }
                FleetAction::Config(ConfigAction::ReadPeerRoot { from }) => {
                    self.read_peer(index, &from, None);
                }
                FleetAction::Config(ConfigAction::ReadPage { from, page }) => match from {
                    ConfigSource::Peer(peer) => self.read_peer(index, &peer, Some(page)),
                    ConfigSource::Service => {
                        let bytes = self.platform.service.page(&page);
                        let delay = self.delay();
                        self.schedule(index, delay, Event::Page { from, page, bytes });
                    }
                },
                FleetAction::ReadListing => {
                    let shown = self.platform.shown.clone();
                    let listing = (!self.platform.list_down).then_some(shown);
                    let delay = self.delay();
                    self.schedule(index, delay, Event::Listing { listing });
                }
                FleetAction::PauseDetected => self.record_rejoin_start(index),
                FleetAction::Config(_)
                | FleetAction::LeavingBackend(_)
                | FleetAction::Topic(_)
                | FleetAction::Superseded => {}
            }
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let cut = self.nodes[from].partition_group != self.nodes[to].partition_group;
        cut || !self.nodes[to].alive || self.rng.random_range(0..100) < self.loss_percent
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(SECOND / 2000..MAX_MESSAGE_DELAY)
    }
}

pub fn backend(name: &str, incarnation: u64, state: ListedState) -> ListedBackend {
    ListedBackend {
        name: BackendName::new(name),
        addr: addr(9_000),
        data_centre: DataCentre::new("dc-0"),
        incarnation: Some(Incarnation(incarnation)),
        state,
        role: BackendRole::Desk,
    }
}
