//! Runs one schedule against a fleet and collects what is wrong.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tamaracklead_standin::Replica;
use tamaracklead_standin::Store;

use super::Disruption;
use super::DisruptionKind;
use super::finding::Finding;
use super::finding::FindingKind;
use super::fleet::Fleet;
use super::instance::End;
use super::instance::EndCause;
use super::instance::Instance;
use super::readiness::ReadinessProbe;
use super::recovery::Recovery;
use super::schedule::Schedule;
use super::settings::Ports;

const TICK_INTERVAL: Duration = Duration::from_millis(3);
/// Threads that compete with the fleet in a run beside load.
const BUSY_THREADS: usize = 6;
const ROUTE_TIMEOUT_MS: u64 = 5000;

/// What a soak is run with, beside its schedule.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Number of processes.
    pub instances: usize,
    /// Where they listen.
    pub ports: Ports,
    /// Whether busy threads compete with them.
    pub is_beside_load: bool,
    /// Where logs are kept; `None` removes them.
    pub keep_logs: Option<PathBuf>,
}

/// What a soak has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    /// What is wrong.
    pub findings: Vec<Finding>,
    /// Number of starts of processes.
    pub starts: usize,
    /// Ages of processes that SIGHUP ended while their program was being loaded.
    pub early_hangups: Vec<Duration>,
    /// Times from the end of a disruption to readiness.
    pub ready_times: Vec<Duration>,
}

impl Outcome {
    /// One line.
    pub fn summary(&self) -> String {
        let worst = self.ready_times.iter().max().copied().unwrap_or_default();
        format!(
            "{} findings; {} starts, {} ended by SIGHUP while loaded {:.0?}; ready again {} times, \
             at the latest after {worst:.3?}",
            self.findings.len(),
            self.starts,
            self.early_hangups.len(),
            self.early_hangups,
            self.ready_times.len(),
        )
    }

    fn add_end(&mut self, index: usize, end: &End, at: Duration) {
        let kind = match end.cause {
            EndCause::Wanted => return,
            EndCause::HangupWhileLoading => {
                self.early_hangups.push(end.age);
                return;
            }
            EndCause::WithError => FindingKind::EndedWithError,
            EndCause::Late => FindingKind::EndedLate,
            EndCause::ByItself => FindingKind::EndedByItself,
        };
        let (status, age, tail) = (end.status, end.age, &end.log_tail);
        let detail = format!("instance {index}, {status}, {age:.3?} after its start\n{tail}");
        self.findings.push(Finding { at, kind, detail });
    }
}

/// Runs a schedule to its end.
///
/// # Errors
///
/// Why it couldn't be run.
pub fn run_schedule(
    bin_dir: &Path,
    options: &SoakOptions,
    seed: u64,
    schedule: &Schedule,
) -> Result<Outcome, String> {
    let dir = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let outcome = run_in(bin_dir, &dir, options, seed, schedule);
    if let Some(kept) = &options.keep_logs {
        keep_logs(&dir, kept, seed).map_err(|e| format!("{}: {e}", kept.display()))?;
    }
    fs::remove_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    outcome
}

fn keep_logs(dir: &Path, kept: &Path, seed: u64) -> std::io::Result<()> {
    let kept = kept.join(format!("seed-{seed}"));
    fs::create_dir_all(&kept)?;
    for entry in fs::read_dir(dir)? {
        let entry = entry?;
        fs::copy(entry.path(), kept.join(entry.file_name()))?;
    }
    Ok(())
}

fn run_in(
    bin_dir: &Path,
    dir: &Path,
    options: &SoakOptions,
    seed: u64,
    schedule: &Schedule,
) -> Result<Outcome, String> {
    let store = Store::start();
    let replicas: Vec<Replica> =
        (0..3).map(|index| Replica::start_healthy(&format!("desk-{index}"))).collect();
    store.put_config(1, ROUTE_TIMEOUT_MS);
    for replica in &replicas {
        store.put_replica(replica, "ready");
    }
    let busy = options.is_beside_load.then(BusyThreads::start);
    let start = Instant::now();
    let (count, ports) = (options.instances, options.ports);
    let mut fleet = Fleet::new(bin_dir, dir, count, ports, store.addr, seed, start)?;
    let probe =
        |one: &Instance| ReadinessProbe::start(one.addrs, Arc::clone(&one.incarnation), start);
    let probes: Vec<ReadinessProbe> = fleet.instances.iter().map(probe).collect();
    let mut outcome = Outcome::default();
    let mut events = Events::new(schedule);
    let mut config_version = 1;
    while start.elapsed() < schedule.duration {
        let now = Instant::now();
        while let Some((disruption, begins)) = events.next_due(start.elapsed()) {
            if begins {
                fleet.begin(disruption, now)?;
            } else {
                fleet.end(disruption, now);
            }
            if begins && disruption.kind == DisruptionKind::ConfigChange {
                config_version += 1;
                store.put_config(config_version, ROUTE_TIMEOUT_MS);
            }
        }
        for (index, end) in fleet.tick(now)? {
            outcome.add_end(index, &end, end.at.saturating_duration_since(start));
        }
        thread::sleep(TICK_INTERVAL);
    }
    for (index, probe) in probes.into_iter().enumerate() {
        let changes = probe.stop();
        let (disruptions, troubles) = (&schedule.disruptions, &fleet.troubles);
        let recovery = Recovery::check(index, &changes, disruptions, troubles, schedule.duration);
        outcome.findings.extend(recovery.findings);
        outcome.ready_times.extend(recovery.times);
    }
    outcome.starts = fleet.instances.iter().map(|one| one.starts).sum();
    drop(busy);
    outcome.findings.sort_by_key(|finding| finding.at);
    Ok(outcome)
}

/// Begins and ends of disruptions in the order of time.
struct Events<'a> {
    events: Vec<(Duration, &'a Disruption, bool)>,
    next: usize,
}

impl<'a> Events<'a> {
    fn new(schedule: &'a Schedule) -> Self {
        let both = |one: &'a Disruption| [(one.at, one, true), (one.until, one, false)];
        let mut events: Vec<_> = schedule.disruptions.iter().flat_map(both).collect();
        events.sort_by_key(|(at, ..)| *at);
        Self { events, next: 0 }
    }

    fn next_due(&mut self, now: Duration) -> Option<(&'a Disruption, bool)> {
        let (at, disruption, begins) = *self.events.get(self.next)?;
        if at > now {
            return None;
        }
        self.next += 1;
        Some((disruption, begins))
    }
}

/// Threads that compute all the time; they end on drop.
struct BusyThreads {
    is_stopped: Arc<AtomicBool>,
}

impl BusyThreads {
    fn start() -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        for _ in 0..BUSY_THREADS {
            let is_stopped = Arc::clone(&is_stopped);
            thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        Self { is_stopped }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}
