//! What surrounds the fleet: a store, model engines and desks, which get into trouble as told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead_standin::Backend;
use tamaracklead_standin::Condition;
use tamaracklead_standin::Observed;
use tamaracklead_standin::Observer;
use tamaracklead_standin::Service;

use super::disruption::Disruption;
use super::disruption::DisruptionKind;
use super::disruption::ReplicaFault;
use super::disruption::StoreFault;
use super::platform_store::PlatformStore;
use super::record::Arrival;
use super::record::Leaving;
use super::record::OrderArrival;
use super::record::Record;

/// Interval at which a backend server writes its entry.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Heartbeats after which the entry of a silent server is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// Times for which servers that leave go on serving, in turn.
const DRAINS: [Duration; 2] = [Duration::from_millis(2500), Duration::from_millis(4500)];
/// Time from the end of a server that left to its next start.
const REPLACE_AFTER: Duration = Duration::from_millis(500);
/// Interval at which tasks that are due are carried out.
const TICK: Duration = Duration::from_millis(20);
/// Part of the backend servers that a fault befalls: one in this many.
const BEFALLEN_ONE_IN: usize = 3;

/// Sizes of what surrounds a fleet.
#[derive(Clone, Debug)]
pub struct OutsidePlan {
    /// Number of model engines.
    pub engines: usize,
    /// Number of desks.
    pub desks: usize,
    /// Number of adapters, `a1` to `aN`.
    pub adapters: u32,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// Something to do with one backend server at some time.
#[derive(Clone, Copy, Debug)]
enum Task {
    End(usize),
    Restart(usize),
}

/// A backend server as the store lists it.
#[derive(Debug)]
struct Listed {
    /// Id of its entry; `None` if it has none.
    name: Option<String>,
    /// When it last wrote the entry.
    at: Instant,
    /// Where instances reach it.
    addr: SocketAddr,
}

#[derive(Debug)]
struct State {
    listed: Vec<Listed>,
    tasks: Vec<(Instant, Task)>,
    /// Entries that a restored store lists although they are gone.
    stale: Vec<(Instant, String)>,
    /// Number of starts after the first ones.
    starts: usize,
}

struct Shared {
    plan: OutsidePlan,
    store: PlatformStore,
    backends: Vec<Backend>,
    record: Arc<Record>,
    state: Mutex<State>,
    is_stopping: AtomicBool,
}

/// Running surroundings; they end with the process.
pub struct Outside {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Outside {
    /// Starts the store and all backend servers, and publishes them and a configuration.
    pub fn start(plan: &OutsidePlan, record: Arc<Record>) -> Self {
        let store = PlatformStore::start(plan.adapters, plan.seed, Arc::clone(&record));
        let start_backend = |index: usize| {
            let service = if index < plan.engines { Service::Engine } else { Service::Desk };
            let observer = observer(Arc::clone(&record), service);
            let name = format!("i-{index}-0");
            Backend::start(service, &name, "v1", store.versions(), observer)
        };
        let backends: Vec<Backend> = (0..plan.engines + plan.desks).map(start_backend).collect();
        let now = Instant::now();
        let to_listed = |backend: &Backend| Listed { name: None, at: now, addr: backend.addr };
        let state = Mutex::new(State {
            listed: backends.iter().map(to_listed).collect(),
            tasks: Vec::new(),
            stale: Vec::new(),
            starts: 0,
        });
        let shared = Arc::new(Shared {
            plan: plan.clone(),
            store,
            backends,
            record,
            state,
            is_stopping: AtomicBool::new(false),
        });
        shared.publish_all();
        let ticking = Arc::clone(&shared);
        let thread = Some(thread::spawn(move || ticking.tick_until_stopped()));
        Self { shared, thread }
    }

    /// Where instances reach the store.
    pub fn store_addr(&self) -> SocketAddr {
        self.shared.store.addr()
    }

    /// Where the backend servers listen.
    pub fn backend_addrs(&self) -> Vec<SocketAddr> {
        self.shared.backends.iter().map(|backend| backend.addr).collect()
    }

    /// Publishes the backend servers at these addresses in place of their own.
    pub fn publish_at(&self, addrs: &[SocketAddr]) {
        for (listed, addr) in self.shared.state().listed.iter_mut().zip(addrs) {
            listed.addr = *addr;
        }
        self.shared.publish_all();
    }

    /// Version of the present configuration.
    pub fn config_version(&self) -> u64 {
        self.shared.store.config_version()
    }

    /// Begins or ends what a disruption does to the store and the backend servers.
    pub fn apply(&self, disruption: &Disruption, begins: bool) {
        let shared = &self.shared;
        match disruption.kind {
            DisruptionKind::Store(fault) => shared.apply_to_store(fault, begins),
            DisruptionKind::Replicas(fault) => {
                for index in shared.befallen(disruption) {
                    shared.apply_to_backend(fault, index, begins);
                }
            }
            DisruptionKind::ConfigChange if begins => shared.store.change_config(),
            DisruptionKind::OddItems if begins => {
                shared.store.put_odd_items(&mut shared.rng_of(disruption))
            }
            DisruptionKind::OddItems => shared.store.remove_odd_items(),
            _ => {}
        }
    }
}

impl Drop for Outside {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has printed why.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_to_store(&self, fault: StoreFault, begins: bool) {
        match (fault, begins) {
            (StoreFault::ForgetsHistory, true) => {
                self.store.forget_history();
                self.publish_all();
            }
            (StoreFault::Restored, false) => {
                let names = self.all_names();
                let gone_at = Instant::now() + HEARTBEAT * MISSED_HEARTBEATS;
                self.state().stale.extend(names.into_iter().map(|name| (gone_at, name)));
                self.store.restore(|| self.publish_all());
            }
            (fault, true) => self.store.begin(fault),
            (_, false) => self.store.end(),
        }
    }

    /// Ids that any server has had.
    fn all_names(&self) -> Vec<String> {
        let starts = self.state().starts;
        let of_backend = |index| (0..=starts).map(move |start| format!("i-{index}-{start}"));
        (0..self.backends.len()).flat_map(of_backend).collect()
    }

    fn rng_of(&self, disruption: &Disruption) -> ChaCha8Rng {
        let at = u64::try_from(disruption.at.as_micros()).unwrap_or(u64::MAX);
        ChaCha8Rng::seed_from_u64(self.plan.seed ^ at)
    }

    /// The backend servers that a fault befalls.
    fn befallen(&self, disruption: &Disruption) -> Vec<usize> {
        let mut rng = self.rng_of(disruption);
        let count = self.backends.len().div_ceil(BEFALLEN_ONE_IN);
        let first = rng.random_range(0..self.backends.len());
        // Desks and engines in turn, so that a fault doesn't befall all of one service.
        let stride = BEFALLEN_ONE_IN;
        (0..count).map(|number| (first + number * stride) % self.backends.len()).collect()
    }

    fn apply_to_backend(&self, fault: ReplicaFault, index: usize, begins: bool) {
        let backend = &self.backends[index];
        match (fault, begins) {
            (ReplicaFault::Restart, true) => backend.set_condition(Condition::Gone),
            (ReplicaFault::Restart, false) => {
                self.state().tasks.push((Instant::now(), Task::Restart(index)));
            }
            (ReplicaFault::Leave, true) => self.leave(index),
            (ReplicaFault::Leave, false) => {}
            (ReplicaFault::Pause, true) => self.exchange(index, Condition::Well, Condition::Silent),
            (ReplicaFault::Pause, false) => {
                self.exchange(index, Condition::Silent, Condition::Well);
            }
            (ReplicaFault::Slow, true) => self.exchange(index, Condition::Well, Condition::Slow),
            (ReplicaFault::Slow, false) => self.exchange(index, Condition::Slow, Condition::Well),
        }
    }

    /// Changes a server's condition unless another fault befell it meanwhile.
    fn exchange(&self, index: usize, from: Condition, to: Condition) {
        let backend = &self.backends[index];
        if backend.condition() == from {
            backend.set_condition(to);
        }
    }

    fn leave(&self, index: usize) {
        let backend = &self.backends[index];
        if backend.condition() == Condition::Gone {
            return;
        }
        backend.set_condition(Condition::Leaving);
        self.publish(index);
        let now = Instant::now();
        self.record.add_leaving(Leaving {
            at: self.record.time_of(now),
            server: backend.name().into(),
            born: backend.born(),
        });
        let ends_at = now + DRAINS[index % DRAINS.len()];
        let tasks = &mut self.state().tasks;
        tasks.push((ends_at, Task::End(index)));
        tasks.push((ends_at + REPLACE_AFTER, Task::Restart(index)));
    }

    fn tick_until_stopped(&self) {
        let mut next_heartbeat = Instant::now();
        while !self.is_stopping.load(Ordering::Relaxed) {
            let now = Instant::now();
            self.carry_out_tasks(now);
            self.remove_stale_entries(now);
            if now >= next_heartbeat {
                next_heartbeat = now + HEARTBEAT;
                self.publish_all();
            }
            thread::sleep(TICK);
        }
    }

    fn carry_out_tasks(&self, now: Instant) {
        let due: Vec<Task> = {
            let mut state = self.state();
            let due = state.tasks.extract_if(.., |(at, _)| *at <= now);
            due.map(|(_, task)| task).collect()
        };
        for task in due {
            match task {
                Task::End(index) => {
                    self.backends[index].set_condition(Condition::Gone);
                    self.remove_entry(index);
                }
                Task::Restart(index) => self.restart(index),
            }
        }
    }

    /// Starts a server that has ended, one in three under its own id, with the next software version.
    fn restart(&self, index: usize) {
        let backend = &self.backends[index];
        if backend.condition() != Condition::Gone {
            return;
        }
        let start = {
            let mut state = self.state();
            state.starts += 1;
            state.starts
        };
        let name = match start % 3 {
            0 => backend.name(),
            _ => format!("i-{index}-{start}"),
        };
        if name != backend.name() {
            self.remove_entry(index);
        }
        backend.restart(&name, if start % 2 == 0 { "v1" } else { "v2" });
        self.publish(index);
    }

    fn publish_all(&self) {
        for index in 0..self.backends.len() {
            self.publish(index);
        }
    }

    /// Writes a server's entry, or removes it if it has been silent for too long.
    fn publish(&self, index: usize) {
        let now = Instant::now();
        let backend = &self.backends[index];
        let mut state = self.state();
        let listed = &mut state.listed[index];
        match backend.next_entry(listed.addr) {
            Some(entry) => {
                let name = backend.name();
                self.store.put_entry(&name, &entry);
                *listed = Listed { name: Some(name), at: now, addr: listed.addr };
            }
            None if now >= listed.at + HEARTBEAT * MISSED_HEARTBEATS => {
                drop(state);
                self.remove_entry(index);
            }
            None => {}
        }
    }

    fn remove_entry(&self, index: usize) {
        if let Some(name) = self.state().listed[index].name.take() {
            self.store.remove_entry(&name);
        }
    }

    fn remove_stale_entries(&self, now: Instant) {
        let mut state = self.state();
        let stale: Vec<(Instant, String)> =
            state.stale.extract_if(.., |(at, _)| *at <= now).collect();
        let is_listed = |name: &String| state.listed.iter().any(|l| l.name.as_ref() == Some(name));
        for (_, name) in stale.iter().filter(|(_, name)| !is_listed(name)) {
            self.store.remove_entry(name);
        }
    }
}

fn observer(record: Arc<Record>, service: Service) -> Observer {
    Arc::new(move |observed| match observed {
        Observed::Request(seen) => record.add_arrival(Arrival {
            at: record.time_of(seen.at),
            id: seen.id,
            server: seen.server.into(),
            born: seen.born,
            is_desk: service == Service::Desk,
            path: seen.path,
            after: seen.after,
            run: seen.run,
        }),
        Observed::Order(seen) => record.add_order(OrderArrival {
            at: record.time_of(seen.at),
            server: seen.server.into(),
            born: seen.born,
            holder: seen.holder.into(),
            fence: seen.fence,
            status: seen.status,
            exceeds_places: seen.exceeds_places,
        }),
    })
}
