//! Random series of overlapping disruptions from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Disruption;
use super::DisruptionKind;
use super::LinkFault;
use super::ReplicaFault;
use super::StoreFault;
use super::settings::Ports;

/// Time before the first disruption, in which the fleet starts and serves.
const START_TIME: Duration = Duration::from_secs(6);
/// Time without disruptions at the end, in which service has to come back.
pub const CALM_TIME: Duration = Duration::from_secs(16);
/// Time in the calm time after which planned work of the platform begins.
const PLANNED_WORK_AFTER: Duration = Duration::from_secs(7);
/// Time for which all processes are away when all are killed, in ms.
const RETURN_MS: u64 = 700;
/// Longest time between two disruptions, in ms.
const MAX_STEP_MS: u64 = 1800;
/// Longest suspension before a kill of all, in ms.
const MAX_SUSPENSION_MS: u64 = 2000;
/// Time after a return within which settings change, in ms.
const RELOAD_WITHIN_MS: u64 = 60;
/// Time between a return and the next kill of all, in ms.
const AGAIN_MS: u64 = 2000;
/// Time before the end of all disruptions at which all processes are killed while odd items stand, in ms.
const LAST_RETURN_MS: u64 = 6000;
/// Least time from the writing of odd items to their removal, and to the calm time, in ms.
const MIN_ODD_MS: u64 = 8000;
/// Share of soaks in which odd items stand until the end.
const STAYING_SHARE: f64 = 0.8;
/// Share of these soaks in which all processes are killed shortly before the calm time.
const LAST_RETURN_SHARE: f64 = 0.7;
/// Time after a kill at which addresses are taken, in ms.
const TAKE_AFTER_MS: u64 = 30;

/// What a soak does, from its seed.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Disruptions in the order of their begin.
    pub disruptions: Vec<Disruption>,
    /// What another writer does, which excuses nothing.
    pub odd: Vec<Disruption>,
    /// When the soak is over.
    pub duration: Duration,
}

impl Schedule {
    /// The schedule of this seed for so many instances; the same for the same arguments.
    pub fn generate(seed: u64, duration: Duration, instances: usize, ports: Ports) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut series = Series { rng, instances, ports, disruptions: Vec::new() };
        let end = duration.saturating_sub(CALM_TIME).as_millis() as u64;
        let start = START_TIME.as_millis() as u64;
        let last_return = end.saturating_sub(MAX_STEP_MS + MAX_SUSPENSION_MS);
        let return_at = series.rng.random_range(start..last_return.max(start + 1));
        let mut at = start;
        let mut has_returned = false;
        while at < end {
            if !has_returned && at >= return_at {
                has_returned = true;
                series.kill_all(at);
            } else {
                series.any(at);
            }
            at += series.rng.random_range(150..MAX_STEP_MS);
        }
        let odd = series.odd_items(start, end, duration);
        let mut disruptions = series.disruptions;
        let end = Duration::from_millis(end);
        disruptions.retain(|one| one.at <= end);
        for one in &mut disruptions {
            one.until = one.until.min(end);
        }
        disruptions.sort_by_key(|one| (one.at, one.until));
        Self { disruptions, odd, duration }
    }

    /// When the planned work begins.
    pub fn planned_work_at(&self) -> Duration {
        self.duration.saturating_sub(CALM_TIME) + PLANNED_WORK_AFTER
    }

    /// Work of the platform in the calm time, which excuses nothing: backend servers leave, and a new
    /// configuration and new versions of adapters are published.
    pub fn planned_work(&self) -> Vec<Disruption> {
        let at = self.planned_work_at();
        let kinds = [DisruptionKind::Replicas(ReplicaFault::Leave), DisruptionKind::ConfigChange];
        let to_work = |kind| Disruption { at, until: at, instances: Vec::new(), kind };
        kinds.map(to_work).into()
    }

    /// The same without the disruptions of these positions, and without the time that they add.
    pub fn without(&self, positions: std::ops::Range<usize>) -> Self {
        let kept = self.disruptions.iter().enumerate();
        let kept = kept.filter(|(index, _)| !positions.contains(index));
        let disruptions: Vec<Disruption> = kept.map(|(_, one)| one.clone()).collect();
        let last = disruptions.iter().map(|one| one.until).max().unwrap_or(START_TIME);
        let duration = self.duration.min(last + CALM_TIME);
        Self { disruptions, odd: self.odd.clone(), duration }
    }

    /// One line a disruption.
    pub fn describe(&self) -> String {
        let line = |one: &Disruption| {
            let (at, until) = (one.at.as_secs_f64(), one.until.as_secs_f64());
            format!("  {at:7.3} to {until:7.3} s: {:?} {:?}\n", one.kind, one.instances)
        };
        self.disruptions.iter().chain(&self.odd).map(line).collect()
    }
}

struct Series {
    rng: ChaCha8Rng,
    instances: usize,
    ports: Ports,
    disruptions: Vec<Disruption>,
}

impl Series {
    fn add(&mut self, at: u64, ms: u64, instances: Vec<usize>, kind: DisruptionKind) {
        let (at, until) = (Duration::from_millis(at), Duration::from_millis(at + ms));
        self.disruptions.push(Disruption { at, until, instances, kind });
    }

    /// Adds a disruption of some kind.
    fn any(&mut self, at: u64) {
        match self.rng.random_range(0..20) {
            0..4 => self.kill_some(at),
            4..6 => {
                let some = self.some();
                self.add(at, 0, some, DisruptionKind::Terminate);
            }
            6..9 => {
                let some = self.some();
                self.add(at, 0, some, DisruptionKind::Reload);
            }
            9..11 => {
                let (ms, some) = (self.rng.random_range(100..4000), self.some());
                self.add(at, ms, some, DisruptionKind::Suspend);
            }
            11 => self.kill_all(at),
            12..15 => self.link_fault(at),
            15..17 => self.store_fault(at),
            17..19 => self.replica_fault(at),
            _ => self.add(at, 0, Vec::new(), DisruptionKind::ConfigChange),
        }
    }

    /// Between one instance and half of them.
    fn some(&mut self) -> Vec<usize> {
        let count = self.rng.random_range(1..=self.instances.div_ceil(2));
        let mut some = rand::seq::index::sample(&mut self.rng, self.instances, count).into_vec();
        some.sort_unstable();
        some
    }

    fn all(&self) -> Vec<usize> {
        (0..self.instances).collect()
    }

    fn kill_some(&mut self, at: u64) {
        let is_long = self.rng.random_bool(0.15);
        let range = if is_long { 8000..15_000 } else { 100..3000 };
        let (ms, some) = (self.rng.random_range(range), self.some());
        self.add(at, ms, some.clone(), DisruptionKind::Kill);
        if self.rng.random_bool(0.5) {
            self.take_addresses(at, ms, some);
        }
    }

    /// Other programs take addresses of killed processes, and keep them for a while longer.
    fn take_addresses(&mut self, killed_at: u64, killed_ms: u64, instances: Vec<usize>) {
        let longer = match self.ports {
            Ports::Low => self.rng.random_range(0..3000),
            Ports::Ephemeral => self.rng.random_range(0..20_000),
        };
        let ms = killed_ms + longer;
        self.add(killed_at + TAKE_AFTER_MS, ms, instances, DisruptionKind::TakenAddress);
    }

    /// Kills all processes, which return together; sometimes suspended first, with a silent store,
    /// with taken addresses, with new settings during the return, and once more soon after it.
    fn kill_all(&mut self, at: u64) {
        let mut kill_at = at;
        if self.rng.random_bool(0.4) {
            kill_at += self.rng.random_range(500..MAX_SUSPENSION_MS);
            self.add(at, kill_at - at, self.all(), DisruptionKind::Suspend);
        }
        if self.rng.random_bool(0.4) && self.is_free(at, is_store_fault) {
            let ms = kill_at - at + RETURN_MS + 3000;
            self.add(at, ms, Vec::new(), DisruptionKind::Store(StoreFault::Silent));
        }
        self.add(kill_at, RETURN_MS, self.all(), DisruptionKind::Kill);
        if self.rng.random_bool(0.4) {
            let some = self.some();
            self.take_addresses(kill_at, RETURN_MS, some);
        }
        if self.rng.random_bool(0.4) {
            let reload_at = kill_at + RETURN_MS + self.rng.random_range(0..RELOAD_WITHIN_MS);
            self.add(reload_at, 0, self.all(), DisruptionKind::Reload);
        }
        if self.rng.random_bool(0.4) {
            self.add(kill_at + RETURN_MS + AGAIN_MS, RETURN_MS, self.all(), DisruptionKind::Kill);
        }
    }

    /// Odd items for a while: mostly until the end of the soak, often with a last return of all processes,
    /// else with one among other disruptions.
    fn odd_items(&mut self, start: u64, end: u64, duration: Duration) -> Vec<Disruption> {
        let last = end.saturating_sub(MIN_ODD_MS).max(start + 1);
        let at = self.rng.random_range(start..last);
        let mut until = duration;
        if self.rng.random_bool(STAYING_SHARE) {
            if self.rng.random_bool(LAST_RETURN_SHARE) {
                self.kill_all(end.saturating_sub(LAST_RETURN_MS).max(at));
            }
        } else {
            let until_ms = at + self.rng.random_range(MIN_ODD_MS..3 * MIN_ODD_MS);
            until = duration.min(Duration::from_millis(until_ms));
            let kill_at = at + self.rng.random_range(0..MIN_ODD_MS);
            self.kill_all(kill_at);
        }
        let at = Duration::from_millis(at);
        vec![Disruption { at, until, instances: Vec::new(), kind: DisruptionKind::OddItems }]
    }

    fn link_fault(&mut self, at: u64) {
        let (ms, some) = (self.rng.random_range(300..3500), self.some());
        let befalls_replicas = self.rng.random_bool(0.3);
        let some = if befalls_replicas { Vec::new() } else { some };
        let (fault, ms) = match self.rng.random_range(0..4) {
            0 => (LinkFault::Delay, ms),
            1 => (LinkFault::Reset, 0),
            2 => (LinkFault::CutOneWay, ms),
            _ => (LinkFault::Silence, ms),
        };
        self.add(at, ms, some, DisruptionKind::Link(fault));
    }

    fn store_fault(&mut self, at: u64) {
        if !self.is_free(at, is_store_fault) {
            return;
        }
        let ms = self.rng.random_range(300..4000);
        let fault = match self.rng.random_range(0..6) {
            0 => StoreFault::Silent,
            1 => StoreFault::Away,
            2 => StoreFault::Slow,
            3 => StoreFault::TurnsAway,
            4 => StoreFault::ForgetsHistory,
            _ => StoreFault::Restored,
        };
        self.add(at, ms, Vec::new(), DisruptionKind::Store(fault));
    }

    fn replica_fault(&mut self, at: u64) {
        if !self.is_free(at, is_replica_fault) {
            return;
        }
        let ms = self.rng.random_range(300..4000);
        let fault = match self.rng.random_range(0..4) {
            0 => ReplicaFault::Restart,
            1 => ReplicaFault::Leave,
            2 => ReplicaFault::Pause,
            _ => ReplicaFault::Slow,
        };
        self.add(at, ms, Vec::new(), DisruptionKind::Replicas(fault));
    }

    /// Whether no disruption of this sort lasts at this time: the stand-ins know one at a time.
    fn is_free(&self, at: u64, is_of_sort: fn(DisruptionKind) -> bool) -> bool {
        let at = Duration::from_millis(at);
        !self.disruptions.iter().any(|one| is_of_sort(one.kind) && one.until >= at)
    }
}

fn is_store_fault(kind: DisruptionKind) -> bool {
    matches!(kind, DisruptionKind::Store(_))
}

fn is_replica_fault(kind: DisruptionKind) -> bool {
    matches!(kind, DisruptionKind::Replicas(_))
}
