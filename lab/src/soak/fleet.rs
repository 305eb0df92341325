//! The instances of a soak with their links, and what disruptions do to them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead_standin::Gate;

use super::Disruption;
use super::DisruptionKind;
use super::cpu_time::CpuTime;
use super::endless_server;
use super::environment::Environment;
use super::environment::Surroundings;
use super::instance::End;
use super::instance::Instance;
use super::link::LinkSet;
use super::other_program::Manner;
use super::other_program::TIME_WAIT;
use super::other_program::TakenAddress;
use super::settings::Addrs;
use super::settings::Links;
use super::settings::Ports;
use super::settings::settings_text;

const PROGRAM: &str = "tamaracklead-platform";
/// Time within which all processes are started.
const START_SPREAD_MS: u64 = 300;

/// Share of settings files that name a seed which answers without an end.
const ENDLESS_SEED_SHARE: f64 = 0.2;
/// Signals that ask a process for nothing.
const STRAY_SIGNALS: [Signal; 8] = [
    Signal::SIGUSR1,
    Signal::SIGUSR2,
    Signal::SIGALRM,
    Signal::SIGVTALRM,
    Signal::SIGPROF,
    Signal::SIGIO,
    Signal::SIGXCPU,
    Signal::SIGXFSZ,
];
/// Chance that a process gets one at a tick.
const STRAY_SIGNAL_SHARE: f64 = 2e-4;
/// Age of a process from which on it gets them; one that is being loaded can't handle any.
const STRAY_SIGNAL_AGE: Duration = Duration::from_secs(1);
/// Share of a processor that no process uses while there is little to do.
const BUSY_SHARE: f64 = 0.8;
/// Position of an instance's link to the store in its links.
const STORE_LINK: usize = 0;
/// Position of the link of others to an instance.
const PEER_LINK: usize = 1;

/// An address that another program took, with the disruption that it belongs to.
struct Taken {
    since: Duration,
    instance: usize,
    _address: TakenAddress,
}

/// Time for which an instance had to do without what it needs, from the start of the soak.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Index of the instance.
    pub instance: usize,
    /// When it began.
    pub from: Duration,
    /// When it was over.
    pub until: Duration,
}

/// The running instances of a soak.
pub struct Fleet {
    /// All instances; positions are the indexes in disruptions.
    pub instances: Vec<Instance>,
    /// Starts of processes, and addresses that were taken for longer than their disruption.
    pub troubles: Vec<Trouble>,
    links: Vec<LinkSet>,
    taken: Vec<Taken>,
    ports: Ports,
    surroundings: Surroundings,
    /// A seed that answers without an end.
    endless_seed: SocketAddr,
    rng: ChaCha8Rng,
    start: Instant,
}

/// What a fleet is started with.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// Number of instances.
    pub count: usize,
    /// Where they listen.
    pub ports: Ports,
    /// What surrounds them.
    pub surroundings: Surroundings,
    /// What all that is random follows from.
    pub seed: u64,
}

impl Fleet {
    /// Instances that start soon; the program is expected in `bin_dir`, files are kept in `dir`.
    ///
    /// # Errors
    ///
    /// The program isn't there, or a settings file can't be written.
    pub fn new(
        bin_dir: &Path,
        dir: &Path,
        plan: FleetPlan,
        store: SocketAddr,
        start: Instant,
    ) -> Result<Self, String> {
        let FleetPlan { count, ports, surroundings, seed } = plan;
        let program = bin_dir.join(PROGRAM);
        if !program.is_file() {
            return Err(format!(
                "{} isn't there; build the whole workspace first",
                program.display()
            ));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut instances = Vec::new();
        let mut links = Vec::new();
        for index in 0..count {
            let addrs = Addrs::claim(ports);
            let delay = Duration::from_millis(rng.random_range(0..START_SPREAD_MS));
            let name = format!("entry-{index}");
            instances.push(Instance::new(name, addrs, program.clone(), dir, start + delay));
            let peer = Gate::start(addrs.peer);
            peer.forward_datagrams();
            links.push(LinkSet::new(vec![Gate::start(store), peer]));
        }
        let (troubles, taken) = (Vec::new(), Vec::new());
        let endless_seed = endless_server::start().map_err(|e| e.to_string())?;
        let mut fleet = Self {
            instances,
            troubles,
            links,
            taken,
            ports,
            surroundings,
            endless_seed,
            rng,
            start,
        };
        for index in 0..count {
            fleet.write_settings(index)?;
        }
        Ok(fleet)
    }

    /// Writes the settings of an instance, each time with other seeds; one of them may be stale.
    fn write_settings(&mut self, index: usize) -> Result<(), String> {
        let count = self.instances.len();
        let third = match self.rng.random_range(0..=count) {
            stale if stale == count => Addrs::claim(self.ports).peer,
            other => self.links[other].addr(PEER_LINK),
        };
        let is_drawn = self.surroundings == Surroundings::Drawn;
        let is_endless = is_drawn && self.rng.random_bool(ENDLESS_SEED_SHARE);
        let third = if is_endless { self.endless_seed } else { third };
        let links = Links {
            store: self.links[index].addr(STORE_LINK),
            advertised_peer: self.links[index].addr(PEER_LINK),
            seeds: vec![
                self.links[0].addr(PEER_LINK),
                self.links[count / 2].addr(PEER_LINK),
                third,
            ],
        };
        let instance = &self.instances[index];
        let forms = is_drawn.then_some(&mut self.rng);
        let text = settings_text(&instance.name, &instance.addrs, &links, forms)?;
        instance.write_settings(&text).map_err(|e| format!("{}: settings: {e}", instance.name))
    }

    /// The disruptions of a schedule as they were: a stop lasts until the process runs again, and an
    /// address is taken for as long as it was.
    pub fn actual(&self, planned: &[Disruption]) -> Vec<Disruption> {
        let actual = |one: &Disruption| {
            let belongs = |trouble: &&Trouble| one.instances.contains(&trouble.instance);
            let own = self.troubles.iter().filter(belongs);
            let until = match one.kind {
                DisruptionKind::Terminate => {
                    let first_start = |index: &usize| {
                        let after = own.clone().filter(|t| t.instance == *index && t.from > one.at);
                        after.map(|trouble| trouble.from).min()
                    };
                    one.instances.iter().filter_map(first_start).max()
                }
                DisruptionKind::TakenAddress => {
                    let taken = own.filter(|t| t.until > t.from && t.from >= one.at);
                    taken.map(|trouble| trouble.until).max()
                }
                _ => None,
            };
            Disruption { until: until.unwrap_or(one.until).max(one.until), ..one.clone() }
        };
        planned.iter().map(actual).collect()
    }

    /// Begins a disruption of instances or of their links.
    ///
    /// # Errors
    ///
    /// A settings file can't be written.
    pub fn begin(&mut self, disruption: &Disruption, now: Instant) -> Result<(), String> {
        for index in disruption.instances.iter().copied() {
            match disruption.kind {
                DisruptionKind::Kill => self.instances[index].kill(),
                DisruptionKind::Terminate => self.instances[index].terminate(now),
                DisruptionKind::Suspend => self.instances[index].suspend(),
                DisruptionKind::Reload => {
                    self.write_settings(index)?;
                    self.instances[index].reload();
                }
                DisruptionKind::Link(fault) => self.links[index].begin(fault),
                DisruptionKind::TakenAddress => self.take_address(index, disruption),
                DisruptionKind::Store(_)
                | DisruptionKind::Replicas(_)
                | DisruptionKind::ConfigChange
                | DisruptionKind::OddItems => {}
            }
        }
        Ok(())
    }

    /// Ends a disruption that has begun.
    pub fn end(&mut self, disruption: &Disruption, now: Instant) {
        for index in disruption.instances.iter().copied() {
            match disruption.kind {
                DisruptionKind::Kill => self.instances[index].bring_back(now),
                DisruptionKind::Suspend => self.instances[index].resume(),
                DisruptionKind::Link(fault) => self.links[index].end(fault),
                DisruptionKind::TakenAddress => {
                    let is_over = |one: &Taken| one.instance == index && one.since == disruption.at;
                    self.taken.retain(|one| !is_over(one));
                }
                DisruptionKind::Terminate
                | DisruptionKind::Reload
                | DisruptionKind::Store(_)
                | DisruptionKind::Replicas(_)
                | DisruptionKind::ConfigChange
                | DisruptionKind::OddItems => {}
            }
        }
    }

    /// Sends processes that have begun to work signals that ask them for nothing.
    fn send_stray_signals(&mut self, now: Instant) {
        if self.surroundings == Surroundings::Generous {
            return;
        }
        for instance in &self.instances {
            let is_due = self.rng.random_bool(STRAY_SIGNAL_SHARE);
            let signal = STRAY_SIGNALS[self.rng.random_range(0..STRAY_SIGNALS.len())];
            if is_due && instance.has_run_for(STRAY_SIGNAL_AGE, now) {
                instance.send(signal);
            }
        }
    }

    /// Processor time of each instance's process.
    pub fn cpu_times(&self) -> Vec<Option<CpuTime>> {
        self.instances.iter().map(Instance::cpu_time).collect()
    }

    /// Instances whose process used most of a processor for `time`, at the beginning of which `before` was
    /// taken, with the share that they used.
    pub fn busy_since(&self, time: Duration, before: &[Option<CpuTime>]) -> Vec<(usize, f64)> {
        let times = before.iter().zip(self.cpu_times()).enumerate();
        let shares = times.filter_map(|(index, (before, after))| {
            Some((index, after?.share_since((*before)?, time)?))
        });
        shares.filter(|(_, share)| *share > BUSY_SHARE).collect()
    }

    fn take_address(&mut self, index: usize, disruption: &Disruption) {
        let instance = &self.instances[index];
        if instance.is_running() {
            return;
        }
        let choice = disruption.at.as_millis() as usize + index;
        let addr = instance.addrs.all()[choice % 3];
        let manner = match (self.ports, choice / 3 % 3) {
            (Ports::Low, _) | (Ports::Ephemeral, 0) => Manner::Listener,
            (Ports::Ephemeral, 1) => Manner::Connection,
            (Ports::Ephemeral, _) => Manner::EndedConnection,
        };
        // It may still be taken by an earlier disruption.
        let Ok(address) = TakenAddress::take(addr, manner) else { return };
        let at = self.start.elapsed();
        println!(
            "  {:7.3} s: {addr} of instance {index} taken: {:?}",
            at.as_secs_f64(),
            address.manner
        );
        if address.manner == Manner::EndedConnection {
            self.troubles.push(Trouble { instance: index, from: at, until: at + TIME_WAIT });
        }
        self.taken.push(Taken { since: disruption.at, instance: index, _address: address });
    }

    /// Starts processes that are due, and returns those that have ended, with their instances.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn tick(&mut self, now: Instant) -> Result<Vec<(usize, End)>, String> {
        let mut ends = Vec::new();
        self.send_stray_signals(now);
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if !instance.is_running() && self.surroundings == Surroundings::Drawn {
                instance.environment = Environment::draw(&mut self.rng);
            }
            let started_before = instance.started_at;
            if let Some(end) = instance.tick(now)? {
                ends.push((index, end));
            }
            if instance.started_at != started_before {
                let at = now.saturating_duration_since(self.start);
                self.troubles.push(Trouble { instance: index, from: at, until: at });
            }
        }
        Ok(ends)
    }
}
