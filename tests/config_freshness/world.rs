//! Instances, their gossip and the store in virtual time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::config_freshness::ConfigProof;
use tamaracklead::names::Timestamp;

use crate::instance::Instance;
use crate::instance::ROUND_MS;
use crate::message::Message;
use crate::message::Read;
use crate::plan::Plan;
use crate::plan::RUN_MS;
use crate::plan::Spell;
use crate::plan::Trouble;
use crate::store::Store;

pub const TICK_MS: u64 = 5;
const READERS: usize = 5;
const FANOUT: usize = 3;
const WATCH_MS: u64 = 500;
const WATCH_MARGIN_MS: u64 = 500;
/// Delay after a read that failed or proved nothing.
pub const RETRY_MS: u64 = 300;
const CHECK_MS: u64 = 100;
const JOIN_MS: u64 = 1500;
/// Time over which instances spread their own reads.
const READ_SPREAD_MS: u64 = 750;

/// What a faulty instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Counts the age of a proof from the arrival of the answer.
    CountsFromArrival,
    /// Takes the proof of a peer that calls it as that of one that it called just then.
    TrustsUnaskedMessages,
    /// Doesn't count the time in which it is suspended.
    IgnoresPauses,
    /// Takes a proof of a higher version as one of its own.
    IgnoresHigherVersions,
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub faults: Vec<String>,
    /// Calls to the store a second.
    pub calls_per_s: f64,
    /// Share of the time in which instances trusted their configuration as current.
    pub current: f64,
}

/// Message under way.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub to: usize,
    /// Start of the process that it is for, or that called the store.
    pub start: u64,
    pub message: Message,
}

/// A fleet and its store.
pub struct World {
    plan: Plan,
    pub fault: Option<Fault>,
    pub rng: ChaCha8Rng,
    pub ms: u64,
    pub store: Store,
    pub past_versions: Vec<u64>,
    pub instances: Vec<Instance>,
    pub queue: BTreeMap<(u64, u64), Envelope>,
    serial: u64,
    calls: u64,
    pub samples: u64,
    pub current_samples: u64,
    pub report: Report,
}

impl World {
    pub fn new(plan: Plan, fault: Option<Fault>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut store = Store::default();
        store.publish(0);
        Self {
            instances: (0..plan.instances).map(|_| Instance::new(0, &mut rng)).collect(),
            plan,
            fault,
            rng,
            ms: 0,
            store,
            past_versions: Vec::new(),
            queue: BTreeMap::new(),
            serial: 0,
            calls: 0,
            samples: 0,
            current_samples: 0,
            report: Report::default(),
        }
    }

    pub fn run(mut self) -> Report {
        while self.ms < RUN_MS && self.report.faults.len() < 3 {
            self.change_store();
            for index in 0..self.instances.len() {
                self.apply_trouble(index);
            }
            self.deliver();
            for index in 0..self.instances.len() {
                if self.is_running(index) {
                    self.act(index);
                    self.check(index);
                }
            }
            self.ms += TICK_MS;
        }
        self.report.calls_per_s = self.calls as f64 * 1000.0 / RUN_MS as f64;
        self.report.current = self.current_samples as f64 / self.samples.max(1) as f64;
        self.report
    }

    fn change_store(&mut self) {
        let now = self.ms..self.ms + TICK_MS;
        if self.plan.publications.iter().any(|at| now.contains(at)) {
            self.store.publish(self.ms);
        }
        if self.plan.restore.is_some_and(|at| now.contains(&at)) {
            self.store.restore();
        }
        self.past_versions.push(self.store.version);
    }

    pub fn has(&self, index: usize, trouble: Trouble) -> bool {
        let holds = |spell: &Spell| (spell.from..spell.until).contains(&self.ms);
        self.plan.spells[index].iter().any(|spell| spell.trouble == trouble && holds(spell))
    }

    pub fn is_running(&self, index: usize) -> bool {
        !self.has(index, Trouble::Killed) && !self.has(index, Trouble::Paused)
    }

    pub fn reaches_store(&self, index: usize) -> bool {
        let is_down = self.plan.outage.is_some_and(|(a, b)| (a..b).contains(&self.ms));
        let is_cut = self.has(index, Trouble::CutFromStore) || self.has(index, Trouble::CutFromAll);
        !is_down && !is_cut
    }

    fn apply_trouble(&mut self, index: usize) {
        let (killed, paused) = (self.has(index, Trouble::Killed), self.has(index, Trouble::Paused));
        let cut = self.has(index, Trouble::CutFromAll);
        let is_down = self.plan.outage.is_some_and(|(a, b)| (a..b).contains(&self.ms));
        let ms = self.ms;
        if killed {
            let fresh = Instance::new(ms + TICK_MS, &mut self.rng);
            self.instances[index] = fresh;
        }
        let instance = &mut self.instances[index];
        if paused {
            instance.paused_ms += TICK_MS;
            instance.was_paused_until = ms + TICK_MS;
        }
        if killed || paused || cut || is_down {
            instance.trouble_until = ms + TICK_MS;
        }
    }

    /// Time of an instance's clock.
    pub fn local(&self, index: usize) -> Timestamp {
        let instance = &self.instances[index];
        let paused = if self.fault == Some(Fault::IgnoresPauses) { instance.paused_ms } else { 0 };
        let ms = instance.offset + (self.ms - paused) as f64 * instance.rate;
        Timestamp::from_micros((ms * 1000.0) as u64)
    }

    /// The time from which an answer counts that was asked for at `asked_at`.
    pub fn counted_from(&self, index: usize, asked_at: Timestamp) -> Timestamp {
        match self.fault {
            Some(Fault::CountsFromArrival) => self.local(index),
            _ => asked_at,
        }
    }

    pub fn send(&mut self, to: usize, start: u64, at: u64, message: Message) {
        self.serial += 1;
        self.queue.insert((at, self.serial), Envelope { to, start, message });
    }

    pub fn send_to_peer(&mut self, from: usize, to: usize, message: Message) {
        self.send_to_process(from, to, self.instances[to].started, message);
    }

    pub fn send_to_process(&mut self, from: usize, to: usize, start: u64, message: Message) {
        let delay = if self.rng.random_bool(0.02) { 500 } else { self.rng.random_range(1..40) };
        let is_cut = self.has(from, Trouble::CutFromAll) || self.has(to, Trouble::CutFromAll);
        if !is_cut {
            self.send(to, start, self.ms + delay, message);
        }
    }

    pub fn proof(&self, me: usize) -> Option<ConfigProof> {
        self.instances[me].freshness.proof(self.local(me))
    }

    /// Whether it is one of the first instances that aren't killed.
    fn is_reader(&self, me: usize) -> bool {
        (0..me).filter(|index| !self.has(*index, Trouble::Killed)).count() < READERS
    }

    /// Whether an instance has needed to read for as long as its name gives.
    pub fn is_read_due(&mut self, me: usize) -> bool {
        let (now, ms) = (self.local(me), self.ms);
        let instance = &mut self.instances[me];
        if !instance.freshness.needs_read(now) {
            instance.needs_read_since = None;
            return false;
        }
        let since = *instance.needs_read_since.get_or_insert(ms);
        ms - since >= me as u64 * 7919 % READ_SPREAD_MS
    }

    fn act(&mut self, me: usize) {
        let (ms, now) = (self.ms, self.local(me));
        let instance = &mut self.instances[me];
        if ms == instance.started + JOIN_MS {
            instance.joined = true;
            instance.freshness.stop_awaiting_peer();
        }
        if ms >= instance.next_round {
            instance.next_round = ms + ROUND_MS;
            self.start_round(me, now);
        }
        let instance = &mut self.instances[me];
        if let Some(until) = instance.reading_until {
            if ms <= until {
                return;
            }
            instance.reading_until = None;
            instance.next_read = ms + RETRY_MS;
        }
        if ms >= instance.next_read {
            self.read(me, now);
        }
    }

    fn start_round(&mut self, me: usize, now: Timestamp) {
        let (start, unasked) = (self.instances[me].started, self.proof(me));
        let count = self.instances.len();
        for peer in sample(&mut self.rng, count, FANOUT.min(count)) {
            if peer != me {
                let call = Message::Call { from: me, start, asked_at: now, unasked };
                self.send_to_peer(me, peer, call);
            }
        }
    }

    fn read(&mut self, me: usize, now: Timestamp) {
        let (ms, is_due, is_reader) = (self.ms, self.is_read_due(me), self.is_reader(me));
        let instance = &self.instances[me];
        let (kind, wait) = if instance.version.is_none() {
            (Read::OldListing, 0)
        } else if !instance.was_listed {
            (Read::Listing, 0)
        } else if is_due {
            (Read::Watch, 0)
        } else if is_reader {
            (Read::Watch, WATCH_MS)
        } else {
            self.instances[me].next_read = ms + CHECK_MS;
            return;
        };
        self.calls += 1;
        let known = instance.version.unwrap_or_default();
        let start = instance.started;
        self.instances[me].reading_until = Some(ms + wait + WATCH_MARGIN_MS);
        let delay = self.rng.random_range(1..60);
        let answer_at = ms + delay + wait;
        let call = Message::StoreCall { asked_at: now, known, answer_at, kind };
        self.send(me, start, ms + delay, call);
    }
}
