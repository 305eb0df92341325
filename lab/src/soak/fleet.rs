//! The instances of a soak with their links, and what disruptions do to them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead_standin::Gate;

use super::Disruption;
use super::DisruptionKind;
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
    rng: ChaCha8Rng,
    start: Instant,
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
        count: usize,
        ports: Ports,
        store: SocketAddr,
        seed: u64,
        start: Instant,
    ) -> Result<Self, String> {
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
        let mut fleet = Self { instances, troubles, links, taken, ports, rng, start };
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
        let text = settings_text(&instance.name, &instance.addrs, &links)?;
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
                | DisruptionKind::ConfigChange => {}
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
                | DisruptionKind::ConfigChange => {}
            }
        }
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
        for (index, instance) in self.instances.iter_mut().enumerate() {
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
