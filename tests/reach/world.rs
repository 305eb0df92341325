//! Instances with callers in virtual time, some of which lose their links to all replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::reach::PassOnCandidate;
use tamaracklead::decide::reach::PassOnPeers;
use tamaracklead::decide::reach::ServiceReach;
use tamaracklead::names::BackendName;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;

/// Length of a run, in ms.
const RUN_MS: u64 = 20_000;
/// Time after the begin of a cut from which on requests count, in ms.
const CONTACT_MS: u64 = 3000;
/// Time until a connection that hangs is given up, in ms.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Most sends of one request.
const MAX_SENDS: u32 = 4;
/// Time that a caller waits, in ms.
const CALLER_MS: u64 = 1500;
/// Requests a second at each instance.
const LOAD: f64 = 7.0;

/// A time, in ms, in which an instance has trouble.
#[derive(Clone, Copy, Debug)]
struct Spell {
    from: u64,
    until: u64,
}

impl Spell {
    fn holds(&self, ms: u64) -> bool {
        (self.from..self.until).contains(&ms)
    }
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    seed: u64,
    replicas: usize,
    /// Instances that are cut off, each in its own time.
    cuts: Vec<Option<Spell>>,
    /// Instances that are killed.
    kills: Vec<Option<Spell>>,
    connections_hang: bool,
    work_ms: u64,
}

impl Plan {
    /// At most two thirds of the instances cut off, some killed.
    pub fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = [3, 6, 9, 30][rng.random_range(0..4)];
        let cut = rng.random_range(1..=instances * 2 / 3);
        let begin = rng.random_range(1000..5000);
        let cuts = (0..instances).map(|index| {
            let from = begin + rng.random_range(0..500);
            (index < cut).then(|| Spell { from, until: from + rng.random_range(5000..13_000) })
        });
        let cuts = cuts.collect();
        let kills = (0..instances).map(|index| {
            let from = rng.random_range(1000..15_000);
            let is_killed = index + 1 < instances && rng.random_bool(0.15);
            is_killed.then(|| Spell { from, until: from + rng.random_range(500..4000) })
        });
        let kills = kills.collect();
        Self {
            seed,
            cuts,
            kills,
            replicas: rng.random_range(1..20),
            connections_hang: rng.random(),
            work_ms: rng.random_range(20..3000),
        }
    }

    /// `cut` of `instances` cut off for ten seconds.
    pub fn steady(instances: usize, cut: usize) -> Self {
        let spell = Spell { from: 2000, until: 12_000 };
        Self {
            seed: 1,
            replicas: 12,
            cuts: (0..instances).map(|index| (index < cut).then_some(spell)).collect(),
            kills: vec![None; instances],
            connections_hang: false,
            work_ms: 1500,
        }
    }
}

/// First tries of callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tries {
    pub sent: usize,
    pub served: usize,
}

impl Tries {
    /// Share that was served; 1 without any.
    pub fn share(&self) -> f64 {
        if self.sent == 0 { 1.0 } else { self.served as f64 / self.sent as f64 }
    }

    fn count(&mut self, is_served: bool) {
        self.sent += 1;
        self.served += usize::from(is_served);
    }
}

#[derive(Debug, Default)]
struct Instance {
    reach: ServiceReach,
    peers: PassOnPeers,
    /// What others believe, and from when on, in ms.
    told: Vec<(u64, bool)>,
    own: usize,
}

/// What ends at some time.
#[derive(Debug)]
enum End {
    Own(usize),
    PassedOn { from: usize, to: usize },
}

pub struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    ends: BTreeMap<(u64, u64), End>,
    next_end: u64,
    /// Requests passed on so far.
    passed_on: u64,
    pub cut: Tries,
    pub others: Tries,
    /// Requests that an instance passed on although another one had passed them on to it.
    pub sent_twice: usize,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 7),
            instances: plan.cuts.iter().map(|_| Instance::default()).collect(),
            plan,
            ends: BTreeMap::new(),
            next_end: 0,
            passed_on: 0,
            cut: Tries::default(),
            others: Tries::default(),
            sent_twice: 0,
        }
    }

    pub fn run(&mut self) {
        let chance = LOAD / 100.0;
        for ms in (0..RUN_MS).step_by(10) {
            self.finish(ms);
            for index in 0..self.instances.len() {
                self.try_connections(ms, index);
                if self.is_up(ms, index) && self.rng.random_bool(chance) {
                    self.on_request(ms, index);
                }
            }
        }
    }

    fn is_cut(&self, ms: u64, index: usize) -> bool {
        self.plan.cuts[index].is_some_and(|spell| spell.holds(ms))
    }

    fn is_up(&self, ms: u64, index: usize) -> bool {
        !self.plan.kills[index].is_some_and(|spell| spell.holds(ms))
    }

    /// Whether an instance had no other trouble in the time before.
    fn is_in_touch(&self, ms: u64, index: usize) -> bool {
        let late = |spell: Spell| (spell.from..spell.until + CONTACT_MS).contains(&ms);
        !self.plan.kills[index].is_some_and(late)
    }

    fn finish(&mut self, ms: u64) {
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > ms {
                return;
            }
            match entry.remove() {
                End::Own(index) => self.instances[index].own -= 1,
                End::PassedOn { from, to } => {
                    self.instances[from].peers.on_ended(&name(to));
                    self.instances[to].peers.on_taken_ended();
                }
            }
        }
    }

    /// Trial connections, as the relay makes them after failures.
    fn try_connections(&mut self, ms: u64, index: usize) {
        if !self.is_up(ms, index) || !self.instances[index].reach.should_try(at(ms)) {
            return;
        }
        for number in 0..3.min(self.plan.replicas) {
            self.connect(ms, index, number);
        }
    }

    /// Connects to a replica; returns whether that worked.
    fn connect(&mut self, ms: u64, index: usize, replica: usize) -> bool {
        let replicas = self.plan.replicas;
        let is_cut = self.is_cut(ms, index);
        let instance = &mut self.instances[index];
        let has_changed = if is_cut {
            let replica = BackendName::new(&format!("i-{replica}"));
            instance.reach.on_unreachable(at(ms), &replica, replicas)
        } else {
            instance.reach.on_connected()
        };
        if has_changed {
            let heard_at = ms + self.rng.random_range(50..700);
            self.instances[index].told.push((heard_at, is_cut));
        }
        !is_cut
    }

    fn on_request(&mut self, ms: u64, index: usize) {
        let is_served = self.serve(ms, index, false);
        let cut = self.plan.cuts[index].filter(|spell| spell.holds(ms));
        let counts = self.is_in_touch(ms, index);
        let some_cut = self
            .plan
            .cuts
            .iter()
            .flatten()
            .any(|spell| spell.holds(ms) && ms >= spell.from + CONTACT_MS);
        match cut {
            Some(spell) if counts && ms >= spell.from + CONTACT_MS => self.cut.count(is_served),
            None if counts && some_cut => self.others.count(is_served),
            _ => {}
        }
    }

    /// Serves a request straight, or through another instance; returns whether a replica got it.
    fn serve(&mut self, ms: u64, index: usize, is_passed_on: bool) -> bool {
        let mut waited = 0;
        for send in 0..MAX_SENDS {
            if self.instances[index].reach.is_cut() {
                if is_passed_on {
                    return false;
                }
                return self.pass_on(ms + waited, index);
            }
            let replica = self.rng.random_range(0..self.plan.replicas);
            if self.connect(ms + waited, index, replica) {
                self.instances[index].own += 1;
                self.end_at(ms + waited + self.plan.work_ms, End::Own(index));
                return true;
            }
            waited += if self.plan.connections_hang { CONNECT_TIMEOUT_MS } else { 1 };
            if waited >= CALLER_MS || send + 1 == MAX_SENDS {
                return false;
            }
        }
        false
    }

    fn pass_on(&mut self, ms: u64, index: usize) -> bool {
        self.passed_on += 1;
        for _ in 0..MAX_SENDS {
            let candidates = self.candidates(ms, index);
            let id = format!("r{}", self.passed_on);
            let chosen = self.instances[index].peers.choose(at(ms), &candidates, &id);
            let Some(chosen) = chosen.map(|c| c.addr.port() as usize) else { return false };
            let own = self.instances[chosen].own;
            let takes = self.is_up(ms, chosen) && self.instances[chosen].peers.try_take(own);
            if !takes {
                self.instances[index].peers.on_unfit(at(ms), &name(chosen));
                continue;
            }
            if self.serve_passed_on(ms, chosen) {
                self.instances[index].peers.on_begun(&name(chosen));
                let end = End::PassedOn { from: index, to: chosen };
                self.end_at(ms + self.plan.work_ms, end);
                // The request is lost if the other instance is killed before it ends.
                return self.is_up(ms + self.plan.work_ms, chosen) || self.is_up(ms + 50, chosen);
            }
            self.instances[chosen].peers.on_taken_ended();
            self.instances[index].peers.on_unfit(at(ms), &name(chosen));
        }
        false
    }

    fn serve_passed_on(&mut self, ms: u64, index: usize) -> bool {
        let before = self.passed_on;
        let is_served = self.serve(ms, index, true);
        self.sent_twice += (self.passed_on - before) as usize;
        is_served
    }

    /// The instances that one takes for live and not cut off.
    fn candidates(&self, ms: u64, index: usize) -> Vec<PassOnCandidate> {
        let others = (0..self.instances.len()).filter(|other| *other != index);
        let seems_fit = |other: &usize| {
            let is_noticed = |spell: Spell| (spell.from + 2000..spell.until + 600).contains(&ms);
            let told = self.instances[*other].told.iter().rev().find(|(heard, _)| *heard <= ms);
            !self.plan.kills[*other].is_some_and(is_noticed) && !told.is_some_and(|(_, cut)| *cut)
        };
        let candidate = |other: usize| PassOnCandidate {
            name: name(other),
            addr: SocketAddr::from(([127, 0, 0, 1], other as u16)),
            is_near: other % 4 == index % 4,
        };
        others.filter(seems_fit).map(candidate).collect()
    }

    fn end_at(&mut self, ms: u64, end: End) {
        self.next_end += 1;
        self.ends.insert((ms, self.next_end), end);
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("e{index}"))
}
