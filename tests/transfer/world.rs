//! Instances, their links and cores in virtual time.
//!
//! A few readers get each version from the store; the others hear of it by gossip. What an instance
//! sends and receives shares its link, and what it computes its core.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::transfer::Fetch;
use tamaracklead::decide::transfer::FetchStep;
use tamaracklead::decide::transfer::TurnAway;
use tamaracklead::wire::transfer::PieceReply;
use tamaracklead::wire::transfer::PieceRequest;

use crate::event::Event;
use crate::instance::Instance;
use crate::instance::timestamp;
use crate::message::Message;
use crate::plan::Plan;
use crate::versions::Versions;

const READERS: usize = 5;
const FANOUT: usize = 3;
const GOSSIP_INTERVAL: f64 = 350_000.0;
const MIN_GOSSIP_INTERVAL: f64 = 50_000.0;
/// Timeout of a call for changes.
const CHANGES_TIMEOUT: f64 = 600_000.0;
/// Size of a message without a piece, in bytes.
const MESSAGE_BYTES: usize = 300;
/// Processor time of one message, in µs of a whole core.
const MESSAGE_CORE_TIME: f64 = 150.0;
/// Processor time by which an item is decoded and put into effect, in µs of a whole core for a byte.
const CORE_TIME_PER_BYTE: f64 = 0.01;
/// What the store's answer has of the size of the item.
const STORE_SHARE: f64 = 1.34;
/// Time in which the store begins its answer, in µs.
const STORE_LATENCY: f64 = 4000.0;
/// When the first change is published, in µs.
const START: f64 = 1_000_000.0;
const CUT_TIME: f64 = 2_000_000.0;

/// One run.
pub struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: f64,
    serial: u64,
    events: BTreeMap<(u64, u64), Event>,
    instances: Vec<Instance>,
    versions: Versions,
    published: Vec<f64>,
    /// When each instance had a version or a later one in effect, by version.
    in_effect: Vec<Vec<Option<f64>>>,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let instances = (0..plan.instances).map(|index| {
            let is_fast = index < plan.fast_links;
            Instance::new(index, is_fast)
        });
        let mut instances: Vec<Instance> = instances.collect();
        let disturbed = sample(&mut rng, plan.instances, plan.cut + plan.slow);
        for (nth, index) in disturbed.iter().enumerate() {
            instances[index].is_disturbed = true;
            if nth < plan.cut {
                instances[index].cut_until = START + CUT_TIME;
            } else {
                instances[index].core_factor *= 10.0;
            }
        }
        let mut world = Self {
            rng,
            now: 0.0,
            serial: 0,
            events: BTreeMap::new(),
            versions: Versions::new(&plan),
            published: vec![0.0],
            in_effect: vec![vec![None; plan.instances]; plan.changes + 1],
            instances,
            plan,
        };
        for index in 0..world.plan.instances {
            let first = world.rng.random_range(0.0..GOSSIP_INTERVAL);
            world.schedule(first, Event::Gossip(index));
        }
        for version in 1..=world.plan.changes {
            let at = START + (version as f64 - 1.0) * world.plan.interval_ms as f64 * 1000.0;
            world.published.push(at);
            world.schedule(at, Event::Publish);
        }
        if let Some(ms) = world.plan.restart_at_ms {
            world.schedule(START + ms as f64 * 1000.0, Event::RestartAll);
        }
        world
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn run(&mut self, time: Duration) {
        let end = START + time.as_micros() as f64;
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at as f64;
            if self.now > end {
                return;
            }
            self.on_event(event);
        }
    }

    /// The version that took longest to be in effect at all instances that nothing disturbs, from its
    /// publication or a restart after it.
    pub fn slowest_change(&self) -> (usize, Duration) {
        let restarted = self.plan.restart_at_ms.map_or(0.0, |ms| START + ms as f64 * 1000.0);
        let time_of = |version: usize| {
            let sound = self.instances.iter().zip(&self.in_effect[version]);
            let times = sound
                .filter(|(instance, _)| !instance.is_disturbed)
                .map(|(_, at)| at.unwrap_or(f64::MAX) - self.published[version].max(restarted));
            times.fold(0.0, f64::max)
        };
        let times = (1..self.in_effect.len()).map(|version| (version, time_of(version)));
        let (version, time) = times.max_by(|a, b| a.1.total_cmp(&b.1)).unwrap();
        (version, Duration::from_micros(time as u64))
    }

    pub fn all_up_to_date(&self) -> bool {
        self.instances.iter().all(|instance| instance.newest() == Some(self.plan.changes))
    }

    /// Most that one instance has sent since the first change, in bytes.
    pub fn most_sent(&self) -> usize {
        self.instances.iter().map(|instance| instance.sent).max().unwrap()
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.serial += 1;
        self.events.insert((at.max(self.now) as u64, self.serial), event);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Publish => (0..READERS.min(self.plan.instances)).for_each(|r| self.read(r)),
            Event::Read { reader, process, version, took } => {
                self.on_read(reader, process, version, took);
            }
            Event::ReadAgain { reader, process } => {
                if self.instances[reader].process == process {
                    self.instances[reader].is_reading = false;
                    self.read(reader);
                }
            }
            Event::Gossip(index) => self.gossip(index),
            Event::Arrived { from, to, message } => {
                let core_time = match &message {
                    Message::Digest { .. } => MESSAGE_CORE_TIME / 2.0,
                    _ => MESSAGE_CORE_TIME,
                };
                let process = self.instances[to].process;
                let done = self.compute(to, core_time);
                self.schedule(done, Event::Handled { from, to, process, message });
            }
            Event::Handled { from, to, process, message } => {
                if self.instances[to].process == process {
                    self.on_message(from, to, message);
                }
            }
            Event::CallTimeout { caller, process, call, callee, is_piece } => {
                let instance = &self.instances[caller];
                if instance.process == process && instance.call == call {
                    self.on_call_failed(caller, callee, is_piece);
                }
            }
            Event::Next { instance, call } => {
                if self.instances[instance].call == call {
                    self.next_step(instance);
                }
            }
            Event::InEffect { instance, process, version } => {
                if self.instances[instance].process == process {
                    self.take(instance, version);
                    self.end_turn(instance);
                }
            }
            Event::RestartAll => self.restart_all(),
        }
    }

    /// Has a reader read the newest version, unless it does or is up to date.
    fn read(&mut self, reader: usize) {
        let now = self.now;
        let published = self.published.iter().rposition(|at| *at <= now).unwrap();
        let instance = &mut self.instances[reader];
        if instance.is_reading || instance.newest() >= Some(published) {
            return;
        }
        instance.is_reading = true;
        let process = instance.process;
        if now < instance.cut_until {
            let at = instance.cut_until;
            self.schedule(at, Event::ReadAgain { reader, process });
            return;
        }
        let bytes = self.plan.bytes as f64 * STORE_SHARE;
        let (at, took) = instance.link.receive_from_store(now + STORE_LATENCY, bytes);
        let version = published;
        self.schedule(at, Event::Read { reader, process, version, took });
    }

    fn on_read(&mut self, reader: usize, process: u32, version: usize, took: f64) {
        if self.instances[reader].process != process {
            return;
        }
        let core_time = self.plan.bytes as f64 * CORE_TIME_PER_BYTE;
        let done = self.compute(reader, core_time);
        self.schedule(done, Event::InEffect { instance: reader, process, version });
        let pause = if took >= 250_000.0 { (took / 2.0).min(500_000.0) } else { 0.0 };
        self.schedule(done + pause, Event::ReadAgain { reader, process });
    }

    fn gossip(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.is_gossip_due = false;
        instance.last_gossip = self.now;
        let newest = instance.newest();
        let count = self.plan.instances;
        for _ in 0..FANOUT {
            let to = self.rng.random_range(0..count);
            if to != index {
                self.send(index, to, MESSAGE_BYTES, Message::Digest { newest, is_reply: false });
            }
        }
        self.schedule(self.now + GOSSIP_INTERVAL, Event::Gossip(index));
    }

    /// Has an instance gossip soon, as it does when it has a new version.
    fn wake_gossip(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if !instance.is_gossip_due {
            instance.is_gossip_due = true;
            let at = instance.last_gossip + MIN_GOSSIP_INTERVAL;
            self.schedule(at, Event::Gossip(index));
        }
    }

    fn take(&mut self, index: usize, version: usize) {
        if !self.instances[index].take(version) {
            return;
        }
        for earlier in 1..=version {
            self.in_effect[earlier][index].get_or_insert(self.now);
        }
        self.wake_gossip(index);
    }

    /// When the core of an instance has done this much more, in µs of a whole core.
    fn compute(&mut self, index: usize, core_time: f64) -> f64 {
        let instance = &mut self.instances[index];
        instance.core_free = instance.core_free.max(self.now) + core_time * instance.core_factor;
        instance.core_free
    }

    fn send(&mut self, from: usize, to: usize, bytes: usize, message: Message) {
        let is_cut = self.now < self.instances[from].cut_until.max(self.instances[to].cut_until);
        if is_cut || self.rng.random_bool(self.plan.loss) {
            return;
        }
        let sender = &mut self.instances[from];
        let sent = sender.link.send(self.now, bytes);
        if !matches!(message, Message::Digest { .. }) {
            sender.sent += bytes;
        }
        let arrived = self.instances[to].link.receive(sent, bytes);
        self.schedule(arrived, Event::Arrived { from, to, message });
    }

    fn call(&mut self, caller: usize, callee: usize, is_piece: bool) -> u64 {
        self.serial += 1;
        let call = self.serial;
        self.instances[caller].call = call;
        let process = self.instances[caller].process;
        let timeout = match &self.instances[caller].fetch {
            Some(fetch) if is_piece => fetch.piece_timeout().as_micros() as f64,
            _ => CHANGES_TIMEOUT,
        };
        let event = Event::CallTimeout { caller, process, call, callee, is_piece };
        self.schedule(self.now + timeout, event);
        call
    }

    fn on_message(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Digest { newest, is_reply } => {
                self.on_digest(to, from, newest);
                if !is_reply {
                    let newest = self.instances[to].newest();
                    self.send(to, from, MESSAGE_BYTES, Message::Digest { newest, is_reply: true });
                }
            }
            Message::ChangesAsked { call } => {
                if let Some(newest) = self.instances[to].newest() {
                    self.send(to, from, MESSAGE_BYTES, Message::Changes { call, newest });
                }
            }
            Message::Changes { call, newest } => {
                if self.instances[to].call == call {
                    self.on_changes(to, from, newest);
                }
            }
            Message::PieceAsked { call, request } => {
                let now = timestamp(self.now);
                let reply = self.instances[to].answer(now, &self.versions, &request);
                let bytes = match &reply {
                    PieceReply::Piece { bytes, .. } => bytes.len(),
                    PieceReply::Busy { .. } | PieceReply::Unknown => 0,
                };
                self.send(to, from, MESSAGE_BYTES + bytes, Message::PieceSent { call, reply });
            }
            Message::PieceSent { call, reply } => {
                if self.instances[to].call == call {
                    self.on_piece(to, from, reply);
                }
            }
        }
    }

    fn on_digest(&mut self, index: usize, peer: usize, newest: Option<usize>) {
        if newest <= self.instances[index].newest() {
            return;
        }
        let addr = self.instances[peer].addr;
        if let Some(fetch) = &mut self.instances[index].fetch {
            fetch.add_source(addr);
            if self.instances[index].is_waiting {
                self.next_step(index);
            }
        }
        let newest = newest.unwrap_or_default() as u64;
        if self.instances[index].turn.take(newest, addr) {
            self.ask_changes(index, peer);
        }
    }

    fn ask_changes(&mut self, index: usize, peer: usize) {
        let call = self.call(index, peer, false);
        self.send(index, peer, MESSAGE_BYTES, Message::ChangesAsked { call });
    }

    fn end_turn(&mut self, index: usize) {
        let held = self.instances[index].newest().unwrap_or_default() as u64;
        if let Some(addr) = self.instances[index].turn.end(held) {
            let peer = self.index_of(addr);
            self.ask_changes(index, peer);
        }
    }

    fn on_changes(&mut self, index: usize, peer: usize, newest: usize) {
        if self.instances[index].newest() >= Some(newest) {
            self.end_turn(index);
            return;
        }
        let (now, addr) = (timestamp(self.now), self.instances[peer].addr);
        let me = self.instances[index].addr;
        let mut fetch = Fetch::new(now, self.versions.value(newest), me);
        fetch.add_source(addr);
        self.instances[index].fetch = Some(fetch);
        self.next_step(index);
    }

    fn next_step(&mut self, index: usize) {
        let now = timestamp(self.now);
        self.instances[index].is_waiting = false;
        let Some(fetch) = &self.instances[index].fetch else { return };
        let process = self.instances[index].process;
        match fetch.next(now) {
            FetchStep::Ask { from, is_urgent } => {
                let encoding = fetch.encoding();
                let newest = self.instances[index].newest();
                let request = PieceRequest {
                    from: self.instances[index].addr,
                    value: fetch.value(),
                    base: encoding.map_or(newest.map(|v| self.versions.value(v).id), |e| e.base),
                    encoding,
                    offset: fetch.received().len() as u32,
                    max_bytes: fetch.piece_bytes() as u32,
                    is_urgent,
                };
                let callee = self.index_of(from);
                let call = self.call(index, callee, true);
                self.send(index, callee, MESSAGE_BYTES, Message::PieceAsked { call, request });
            }
            FetchStep::Wait(time) => {
                let at = self.now + time.as_micros() as f64 + 1.0;
                self.serial += 1;
                let call = self.serial;
                self.instances[index].call = call;
                self.instances[index].is_waiting = true;
                self.schedule(at, Event::Next { instance: index, call });
            }
            FetchStep::Complete => {
                let version = self.versions.number_of(fetch.value().id);
                self.instances[index].fetch = None;
                let core_time = self.plan.bytes as f64 * CORE_TIME_PER_BYTE;
                let done = self.compute(index, core_time);
                self.schedule(done, Event::InEffect { instance: index, process, version });
            }
            FetchStep::GiveUp { next } => {
                self.instances[index].fetch = None;
                match next {
                    Some(addr) => {
                        let peer = self.index_of(addr);
                        self.ask_changes(index, peer);
                    }
                    None => self.end_turn(index),
                }
            }
        }
    }

    fn on_piece(&mut self, index: usize, from: usize, reply: PieceReply) {
        let (now, addr) = (timestamp(self.now), self.instances[from].addr);
        let Some(fetch) = &mut self.instances[index].fetch else { return };
        match reply {
            PieceReply::Piece { encoding, offset, bytes } => {
                fetch.on_piece(now, addr, encoding, offset as usize, &bytes);
            }
            PieceReply::Busy { retry_in_ms, holders } => {
                let retry_in = Duration::from_millis(retry_in_ms);
                fetch.on_turned_away(now, addr, &TurnAway { retry_in, holders });
            }
            PieceReply::Unknown => fetch.on_unknown(addr),
        }
        self.next_step(index);
    }

    fn on_call_failed(&mut self, caller: usize, callee: usize, is_piece: bool) {
        let (now, addr) = (timestamp(self.now), self.instances[callee].addr);
        match &mut self.instances[caller].fetch {
            Some(fetch) if is_piece => {
                fetch.on_failure(now, addr);
                self.next_step(caller);
            }
            _ => self.end_turn(caller),
        }
    }

    fn restart_all(&mut self) {
        self.instances.iter_mut().for_each(Instance::restart);
        for times in &mut self.in_effect {
            times.fill(None);
        }
        (0..READERS).for_each(|reader| self.read(reader));
    }

    fn index_of(&self, addr: SocketAddr) -> usize {
        self.instances.iter().position(|instance| instance.addr == addr).unwrap()
    }
}
