//! Several decision cores joined by an in-memory queue, in virtual time.
//!
//! Messages are delayed at random, and lost, doubled or cut as a test says. The
//! oracle knows only what instances applied and which work they would dispatch.

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
use tamaracklead::decide::config::ServiceAnswer;
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

pub const SECOND: u64 = 1_000_000;
const TICK: u64 = SECOND / 10;
const MAX_DELAY: u64 = SECOND / 20;

/// Something that happens at an instance.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Gossip { from: usize, from_inc: u64, call: u64, message: Gossip, answers: bool },
    Answer { from: usize, call: u64, answer: Option<GossipReply> },
    ReadPeer { from: usize, from_inc: u64, page: Option<PageRef> },
    PeerRoot { from: usize, bytes: Option<Bytes> },
    Page { from: ConfigSource, page: PageRef, bytes: Option<Bytes> },
    Service { call: u64, answer: ServiceAnswer },
    Watch { call: u64, after: Generation, until: u64 },
    Listing { listing: Option<Listing> },
}

/// The whole test: instances, platform, and messages on their way.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    /// When and where each backend server was first said to be leaving.
    pub said: BTreeMap<(String, u64), u64>,
    queue: BTreeMap<(u64, u64), (usize, u64, Event)>,
    serial: u64,
    incarnations: u64,
    data_centres: usize,
    rng: ChaCha8Rng,
}

impl World {
    /// A fleet that starts as a whole, with generation 1 published and one backend server.
    pub fn new(size: usize, data_centres: usize, seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            platform: Platform::default(),
            loss_percent: 0,
            duplicate_percent: 0,
            sent_bytes: 0,
            sent_messages: 0,
            said: BTreeMap::new(),
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

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some((&(at, serial), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some((index, inc, event)) = self.queue.remove(&(at, serial)) else { break };
            self.now = at;
            self.deliver(index, inc, event);
        }
        self.now = end;
    }

    pub fn publish(&mut self, generation: u64, variant: u64) {
        self.platform.service.publish(publication(generation, variant));
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.nodes[index].disturbed = self.now;
    }

    /// Replaces an instance by a new process of the same name.
    pub fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let group = self.nodes[index].group;
        self.nodes[index] = Node::new(index, self.incarnations, self.now, self.data_centres);
        self.nodes[index].group = group;
        self.start(index);
    }

    pub fn freeze(&mut self, index: usize, span: u64) {
        let until = self.now + span;
        let node = &mut self.nodes[index];
        node.frozen_until = node.frozen_until.max(until);
        node.disturbed = until;
    }

    /// Cuts the links between instances of different groups.
    pub fn partition(&mut self, groups: &[u8]) {
        for (node, group) in self.nodes.iter_mut().zip(groups) {
            node.group = *group;
            node.disturbed = node.disturbed.max(self.now);
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
        let actions = node.core.set_draining(now);
        self.act(index, actions);
    }

    /// Lets an instance take the backend server's own answer that it leaves.
    pub fn own_answer(&mut self, index: usize, incarnation: u64) {
        if !self.nodes[index].runs(self.now) {
            return;
        }
        self.note_said("engine-0", incarnation);
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let inc = Some(Incarnation(incarnation));
        let actions = node.core.on_leaving_from_backend(now, &BackendName::new("engine-0"), inc);
        self.act(index, actions);
    }

    pub fn may_dispatch(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let now = node.clock(self.now);
        node.runs(self.now) && node.core.may_dispatch(now, &BackendName::new("engine-0"))
    }

    fn start(&mut self, index: usize) {
        self.note_asking(index);
        let offset = self.rng.random_range(0..TICK);
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

    fn deliver(&mut self, index: usize, inc: u64, event: Event) {
        let node = &self.nodes[index];
        // A message finds whatever process has the address; an answer only its own.
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
        let core = &mut self.nodes[index].core;
        let actions = match event {
            Event::Tick => {
                self.schedule(index, TICK, Event::Tick);
                self.nodes[index].core.tick(now)
            }
            Event::Gossip { from, from_inc, call, message, answers } => {
                let (answer, actions) = core.on_gossip(now, message);
                if answers {
                    self.answer_gossip(index, from, from_inc, call, answer);
                }
                actions
            }
            Event::Answer { from, call, answer } => {
                core.on_gossip_answer(now, &name(from), call, answer)
            }
            Event::ReadPeer { from, from_inc, page } => {
                let bytes = core.config().serve(page.as_ref());
                self.answer_read(index, from, from_inc, page, bytes);
                Vec::new()
            }
            Event::PeerRoot { from, bytes } => core.on_peer_root(now, &name(from), bytes),
            Event::Page { from, page, bytes } => core.on_page(now, &from, &page, bytes),
            Event::Service { call, answer } => core.on_service_answer(now, call, answer),
            Event::Watch { call, after, until } => {
                self.watch(index, call, after, until);
                Vec::new()
            }
            Event::Listing { listing } => {
                if let Some(listing) = &listing {
                    self.note_listing(listing);
                }
                self.nodes[index].core.on_listing(now, listing)
            }
        };
        self.act(index, actions);
        self.check(index);
    }

    fn act(&mut self, index: usize, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Gossip { addr: to, call, message, .. } => {
                    self.send_gossip(index, usize::from(to.port() - 10_000), call, message);
                }
                FleetAction::Config(ConfigAction::ReadServiceRoot { call, after }) => {
                    self.read_service(index, call, after);
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
                FleetAction::PauseDetected => self.note_asking(index),
                FleetAction::Config(_)
                | FleetAction::LeavingBackend(_)
                | FleetAction::Topic(_)
                | FleetAction::Superseded => {}
            }
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let cut = self.nodes[from].group != self.nodes[to].group;
        cut || !self.nodes[to].alive || self.rng.random_range(0..100) < self.loss_percent
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(SECOND / 2000..MAX_DELAY)
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
