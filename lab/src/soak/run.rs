//! Runs one schedule against a fleet and collects what is wrong.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tamaracklead_standin::Gate;

use super::Answer;
use super::Callers;
use super::Change;
use super::Disruption;
use super::DisruptionKind;
use super::Load;
use super::Outside;
use super::OutsidePlan;
use super::Record;
use super::Violation;
use super::check;
use super::config_probe::ConfigAnswers;
use super::config_probe::ConfigProbe;
use super::environment::Surroundings;
use super::finding::Finding;
use super::finding::FindingKind;
use super::fleet::Fleet;
use super::fleet::FleetPlan;
use super::instance::Instance;
use super::link::LinkSet;
use super::outcome::Outcome;
use super::readiness::ReadinessProbe;
use super::recovery::Recovery;
use super::schedule::Schedule;
use super::served_shares;
use super::settings::Ports;

const TICK_INTERVAL: Duration = Duration::from_millis(3);
/// Threads that compete with the fleet in a run beside load.
const BUSY_THREADS: usize = 6;
/// Time after which callers send requests; all instances run by then.
const CALLERS_AFTER: Duration = Duration::from_secs(2);
/// Last time of a soak, over which the processor time of each process is counted.
const CPU_CHECK_TIME: Duration = Duration::from_secs(5);
/// Time for which the schedule may be late.
const MAX_DELAY: Duration = Duration::from_secs(2);
const REQUESTS_PER_S: f64 = 30.0;
const ENGINES: usize = 6;
const DESKS: usize = 3;
const ADAPTERS: u32 = 24;

/// Runs of this process, which name their directories.
static RUNS: AtomicUsize = AtomicUsize::new(0);

/// What a soak is run with, beside its schedule.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Number of processes.
    pub instances: usize,
    /// Where they listen.
    pub ports: Ports,
    /// What surrounds them.
    pub surroundings: Surroundings,
    /// Whether busy threads compete with them.
    pub is_beside_load: bool,
    /// Where settings and logs are while it runs; the schedule waits for each change of them.
    pub files: PathBuf,
    /// Where logs are kept; `None` removes them.
    pub keep_logs: Option<PathBuf>,
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
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let dir = options.files.join(format!("soak-{}-{run}", std::process::id()));
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
    let start = Instant::now();
    let record = Arc::new(Record::new(start));
    let plan = OutsidePlan { engines: ENGINES, desks: DESKS, adapters: ADAPTERS, seed };
    let outside = Outside::start(&plan, Arc::clone(&record));
    let mut replica_links = ReplicaLinks::start(&outside);
    let busy = options.is_beside_load.then(BusyThreads::start);
    let (count, ports) = (options.instances, options.ports);
    let fleet_plan = FleetPlan { count, ports, surroundings: options.surroundings, seed };
    let mut fleet = Fleet::new(bin_dir, dir, fleet_plan, outside.store_addr(), start)?;
    let probe =
        |one: &Instance| ReadinessProbe::start(one.addrs, Arc::clone(&one.incarnation), start);
    let probes: Vec<ReadinessProbe> = fleet.instances.iter().map(probe).collect();
    let mut outcome = Outcome::default();
    let planned = schedule.planned_work();
    let mut events = Events::new(schedule.disruptions.iter().chain(&schedule.odd).chain(&planned));
    let mut callers = None;
    let mut cpu_before = None;
    let mut config_probe = None;
    while start.elapsed() < schedule.duration {
        let now = Instant::now();
        if callers.is_none() && start.elapsed() >= CALLERS_AFTER {
            callers = Some(start_callers(&fleet, seed, &record));
        }
        while let Some((disruption, begins)) = events.next_due(start.elapsed()) {
            if begins {
                fleet.begin(disruption, now)?;
            } else {
                fleet.end(disruption, now);
            }
            replica_links.apply(disruption, begins);
            outside.apply(disruption, begins);
            if is_planned_config(schedule, disruption) && begins {
                let entries = fleet.instances.iter().map(|one| one.addrs.caller).collect();
                config_probe = Some(ConfigProbe::start(entries, outside.config_version()));
            }
        }
        for (index, end) in fleet.tick(now)? {
            outcome.add_end(index, &end, end.at.saturating_duration_since(start));
        }
        if cpu_before.is_none() && start.elapsed() + CPU_CHECK_TIME >= schedule.duration {
            cpu_before = Some((now, fleet.cpu_times()));
        }
        print_delay(now.saturating_duration_since(start), now.elapsed());
        thread::sleep(TICK_INTERVAL);
    }
    if let Some((since, before)) = cpu_before {
        let busy = fleet.busy_since(since.elapsed(), &before);
        outcome.findings.extend(busy.into_iter().map(|(index, share)| Finding {
            at: start.elapsed(),
            kind: FindingKind::Busy,
            detail: format!("instance {index} used {share:.2} of a processor in the calm time"),
        }));
    }
    if let Some(callers) = callers {
        callers.stop();
    }
    drop(busy);
    let config_answers = config_probe.map(ConfigProbe::stop).unwrap_or_default();
    let disruptions = fleet.actual(&schedule.disruptions);
    for (index, probe) in probes.into_iter().enumerate() {
        let changes = probe.stop();
        let duration = schedule.duration;
        let recovery = Recovery::check(index, &changes, &disruptions, &fleet.troubles, duration);
        outcome.findings.extend(recovery.findings);
        let planned_at = schedule.planned_work_at();
        // An instance that isn't ready needn't take callers' requests.
        let is_ready = |one: &Change| one.answer == Answer::Ready && one.at < planned_at;
        if changes.last().is_some_and(is_ready)
            && let Some(fault) = config_answers.get(index).and_then(ConfigAnswers::fault)
        {
            let detail = format!("instance {index}: {fault}");
            outcome.findings.push(Finding {
                at: planned_at,
                kind: FindingKind::ConfigLate,
                detail,
            });
        }
        outcome.ready_times.extend(recovery.times);
        outcome.start_times.extend(recovery.start_times);
    }
    let violations = check(&record, &disruptions, schedule.planned_work_at()).into_iter();
    outcome.findings.extend(violations.map(|Violation { rule, at, detail }| Finding {
        at,
        kind: FindingKind::Broken(rule),
        detail,
    }));
    let is_return = |one: &&Disruption| {
        let is_kind = matches!(one.kind, DisruptionKind::Kill | DisruptionKind::Suspend);
        is_kind && one.instances.len() == count
    };
    let returns: Vec<Disruption> = disruptions.iter().filter(is_return).cloned().collect();
    outcome.shares = served_shares(&record.seen(), &disruptions, &returns);
    outcome.starts = fleet.instances.iter().map(|one| one.starts).sum();
    outcome.findings.sort_by_key(|finding| finding.at);
    Ok(outcome)
}

/// Tells a reader of the findings that some may follow from the soak itself.
fn print_delay(at: Duration, late_by: Duration) {
    if late_by >= MAX_DELAY {
        let (at, late_by) = (at.as_secs_f64(), late_by.as_secs_f64());
        println!("  {at:7.3} s: the schedule stood still for {late_by:.3} s");
    }
}

fn is_planned_config(schedule: &Schedule, disruption: &Disruption) -> bool {
    disruption.kind == DisruptionKind::ConfigChange && disruption.at == schedule.planned_work_at()
}

fn start_callers(fleet: &Fleet, seed: u64, record: &Arc<Record>) -> Callers {
    let entries = fleet.instances.iter().map(|one| one.addrs.caller).collect();
    let readiness = fleet.instances.iter().map(|one| one.addrs.ready).collect();
    let load = Load { requests_per_s: REQUESTS_PER_S, adapters: ADAPTERS, readiness, seed };
    Callers::start(entries, load, Arc::clone(record))
}

/// Links to every other backend server; the rest are reached directly.
struct ReplicaLinks {
    links: Vec<LinkSet>,
}

impl ReplicaLinks {
    fn start(outside: &Outside) -> Self {
        let mut links = Vec::new();
        let mut addrs = outside.backend_addrs();
        for addr in addrs.iter_mut().step_by(2) {
            let gate = Gate::start(*addr);
            *addr = gate.addr;
            links.push(LinkSet::new(vec![gate]));
        }
        outside.publish_at(&addrs);
        Self { links }
    }

    /// Faults of links that name no instances befall half of these.
    fn apply(&mut self, disruption: &Disruption, begins: bool) {
        let DisruptionKind::Link(fault) = disruption.kind else { return };
        if !disruption.instances.is_empty() {
            return;
        }
        let first = disruption.at.as_millis() as usize % 2;
        for link in self.links.iter_mut().skip(first).step_by(2) {
            if begins {
                link.begin(fault);
            } else {
                link.end(fault);
            }
        }
    }
}

/// Begins and ends of disruptions in the order of time.
struct Events<'a> {
    events: Vec<(Duration, &'a Disruption, bool)>,
    next: usize,
}

impl<'a> Events<'a> {
    fn new(disruptions: impl Iterator<Item = &'a Disruption>) -> Self {
        let both = |one: &'a Disruption| [(one.at, one, true), (one.until, one, false)];
        let mut events: Vec<_> = disruptions.flat_map(both).collect();
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
