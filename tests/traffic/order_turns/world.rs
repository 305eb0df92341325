//! Instances and one replica in virtual time, with messages that are delayed and lost.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::event::Event;
use super::event::Process;
use super::event::Target;
use super::instance::Handover;
use super::instance::INSTANCES;
use super::instance::Instance;
use super::instance::Step;
use super::replica::MODEL;
use super::replica::Order;
use super::replica::Replica;

/// Times of the relay, in ms.
const TICK_INTERVAL_MS: u64 = 40;
const REPLICA_CALL_TIMEOUT_MS: u64 = 900;
const SETTLE_MS: u64 = 3500;
/// Longest delay of a message that isn't lost, in ms.
const MAX_DELAY_MS: u64 = 700;
/// Longest time until instances know of another one that it stops, or is back, in ms.
const NEWS_DELAY_MS: u64 = 700;
const GOSSIP_INTERVAL_MS: u64 = 1500;
/// Time that the load of a base model takes, in ms: long if many replicas load theirs.
const MODEL_LOAD_MS: Range<u64> = 1900..9000;
/// Time until instances notice that another one is silent, in ms.
const SILENCE_MS: Range<u64> = 2000..2700;

#[derive(Default)]
struct Machine {
    life: u32,
    process: Option<Instance>,
    paused_until: u64,
    /// Until when it takes another instance for gone.
    misjudges_until: [u64; INSTANCES],
}

pub struct World {
    now: u64,
    serial: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    machines: [Machine; INSTANCES],
    pub replica: Replica,
    replica_ready_at: u64,
    /// Halves of the fleet that don't hear each other.
    cut: Option<[bool; INSTANCES]>,
    /// When the links between them were back.
    pub healed_at: Vec<u64>,
    /// Until when requests need more and more adapters.
    busy_until: u64,
    next_demand: u64,
    next_key: u32,
    /// Times that loads take, in ms.
    load_time: Range<u64>,
    /// Most loads at a time.
    max_loads: usize,
    pub trace: Vec<(u64, String)>,
}

impl World {
    pub fn new(seed: u64, load_time: Range<u64>, max_loads: usize, is_old_fleet: bool) -> Self {
        let mut world = Self {
            now: 0,
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            machines: Default::default(),
            replica: Replica::new(),
            replica_ready_at: 0,
            cut: None,
            healed_at: Vec::new(),
            busy_until: 0,
            next_demand: 0,
            next_key: 0,
            load_time,
            max_loads,
            trace: Vec::new(),
        };
        for who in 0..INSTANCES {
            world.start(who, [true; INSTANCES], is_old_fleet);
        }
        world.plan(GOSSIP_INTERVAL_MS, Event::Gossip);
        world
    }

    /// A number of this run.
    pub fn draw(&mut self, range: Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    pub fn plan(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.queue.insert((at, self.serial), event);
    }

    pub fn run(&mut self, until: u64) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= until
        {
            self.now = entry.key().0;
            let event = entry.remove();
            self.replica.update_report(self.now, &mut self.rng);
            self.on_event(event);
        }
        self.now = until;
    }

    fn on_event(&mut self, event: Event) {
        let receiver = match &event {
            Event::Tick { process }
            | Event::ReportBack { process, .. }
            | Event::OrderBack { process, .. } => Some(process.who),
            Event::Learn { who, .. } => Some(*who),
            Event::HandoverArrives { handover } => Some(handover.to),
            _ => None,
        };
        if let Some(paused_until) = receiver.map(|who| self.machines[who].paused_until)
            && paused_until > self.now
        {
            // The order of what is handled after a pause is random.
            let at = paused_until + self.draw(0..4);
            self.plan(at, event);
            return;
        }
        if !matches!(event, Event::Tick { .. }) {
            self.trace.push((self.now, format!("{event:?}")));
        }
        match event {
            Event::Tick { process } => {
                if self.is_running(process) {
                    self.plan(self.now + TICK_INTERVAL_MS, Event::Tick { process });
                    self.tick(process.who);
                }
            }
            Event::AskArrives { process } => {
                let report = (self.now >= self.replica_ready_at).then(|| self.replica.report());
                let delay = self.delay();
                self.plan(self.now + delay, Event::ReportBack { process, report });
            }
            Event::ReportBack { process, report } => {
                let fence = self.fence();
                self.with(process, |now, it| it.on_report(now, report.as_ref(), fence));
            }
            Event::OrderArrives { process, started_ms, order, lost_reply } => {
                if started_ms == self.replica.started_ms() {
                    self.on_order(process, &order, lost_reply);
                } else {
                    let (key, at) = (order.key, self.now + self.delay());
                    self.plan(at, Event::OrderBack { process, key, answer: None });
                }
            }
            Event::OrderBack { process, key, answer } => {
                self.with(process, |now, it| it.on_answer(now, key, answer));
            }
            Event::HandoverArrives { handover } => self.on_handover(&handover),
            Event::Learn { who, subject, is_candidate } => {
                let is_candidate = is_candidate && (who == subject || self.is_candidate(subject));
                if let Some(process) = &mut self.machines[who].process {
                    process.candidates[subject] = is_candidate;
                }
            }
            Event::Stop { who, ends_in } => self.stop(self.strike(who), ends_in),
            Event::Kill { who, restarts_in } => {
                self.exit(self.process(self.strike(who)), restarts_in);
            }
            Event::Exit { process, restarts_in } => self.exit(process, restarts_in),
            Event::Start { who } => self.restart(who),
            Event::Pause { who, lasts } => {
                let who = self.strike(who);
                self.machines[who].paused_until = self.now + lasts;
                self.silent_for(who, lasts, [true; INSTANCES]);
            }
            Event::Cut { group, lasts } => self.cut(group, lasts),
            Event::Healed => {
                self.cut = None;
                self.healed_at.push(self.now);
            }
            Event::Misjudge { subject, lasts } => self.misjudge(self.strike(subject), lasts),
            Event::RestartReplica => self.replica.restart(self.now),
            Event::ReplaceReplica { ready_in } => self.replace_replica(ready_in),
            Event::KeepBusy { lasts } => self.busy_until = self.busy_until.max(self.now + lasts),
            Event::Gossip => self.gossip(),
        }
    }

    fn is_running(&self, Process { who, life }: Process) -> bool {
        self.machines[who].process.is_some() && self.machines[who].life == life
    }

    /// The process of an instance now, whichever it is.
    fn process(&self, who: usize) -> Process {
        Process { who, life: self.machines[who].life }
    }

    fn with(&mut self, process: Process, call: impl FnOnce(u64, &mut Instance)) {
        if self.is_running(process)
            && let Some(instance) = &mut self.machines[process.who].process
        {
            call(self.now, instance);
            self.tick(process.who);
        }
    }

    fn fence(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn delay(&mut self) -> u64 {
        if self.chance(0.04) { self.draw(20..MAX_DELAY_MS) } else { self.draw(1..8) }
    }

    fn tick(&mut self, who: usize) {
        let demand = self.demand();
        let now = self.now;
        let Some(instance) = &mut self.machines[who].process else { return };
        let Some(step) = instance.tick(now, demand, self.max_loads) else { return };
        let process = self.process(who);
        match step {
            Step::AskReport if self.chance(0.03) => {
                let at = now + REPLICA_CALL_TIMEOUT_MS;
                self.plan(at, Event::ReportBack { process, report: None });
            }
            Step::AskReport => {
                let at = now + self.delay();
                self.plan(at, Event::AskArrives { process });
            }
            Step::Order(order) => {
                let key = order.key;
                if Some(key) == demand {
                    self.next_demand = now + self.draw(10..400);
                }
                let lost_reply = self.chance(0.01);
                if self.chance(0.01) {
                    let at = now + REPLICA_CALL_TIMEOUT_MS;
                    self.plan(at, Event::OrderBack { process, key, answer: None });
                } else {
                    let at = now + self.delay();
                    let started_ms = self.replica.started_ms();
                    let arrives = Event::OrderArrives { process, started_ms, order, lost_reply };
                    self.plan(at, arrives);
                }
            }
            Step::HandOver(handover) => {
                let is_cut = self.cut.is_some_and(|group| group[who] != group[handover.to]);
                if !is_cut && !self.chance(0.08) {
                    let at = now + self.delay();
                    self.plan(at, Event::HandoverArrives { handover });
                }
            }
        }
    }

    /// The adapter that requests need next, one that is loaded already now and then.
    fn demand(&mut self) -> Option<u32> {
        if self.now >= self.busy_until || self.now < self.next_demand {
            return None;
        }
        if self.next_key > 0 && self.chance(0.02) {
            return Some(self.rng.random_range(0..self.next_key));
        }
        self.next_key += 1;
        Some(self.next_key)
    }

    fn on_order(&mut self, process: Process, order: &Order, lost_reply: bool) {
        let key = order.key;
        let load_time = if key == MODEL { MODEL_LOAD_MS } else { self.load_time.clone() };
        let takes = self.draw(load_time);
        let answer = self.replica.order(self.now, order, takes);
        self.trace.push((self.now, format!("{answer:?}")));
        let most = REPLICA_CALL_TIMEOUT_MS - MAX_DELAY_MS;
        let delay = if lost_reply { REPLICA_CALL_TIMEOUT_MS } else { self.delay().min(most) };
        let answer = Some(answer).filter(|_| !lost_reply);
        self.plan(self.now + delay, Event::OrderBack { process, key, answer });
    }

    fn on_handover(&mut self, handover: &Handover) {
        let (now, fence) = (self.now, self.fence());
        let receiver = &mut self.machines[handover.to].process;
        if receiver.as_mut().is_some_and(|it| it.on_handover(now, handover, fence)) {
            self.tick(handover.to);
        }
    }

    /// Tells the other instances of a change, each at its time.
    fn tell(&mut self, subject: usize, is_candidate: bool, delay: Range<u64>) {
        for who in (0..INSTANCES).filter(|who| *who != subject) {
            let at = self.now + self.draw(delay.clone());
            self.plan(at, Event::Learn { who, subject, is_candidate });
        }
    }

    fn stop(&mut self, who: usize, ends_in: u64) {
        let Some(instance) = &mut self.machines[who].process else { return };
        if instance.is_draining {
            return;
        }
        instance.is_draining = true;
        instance.candidates[who] = false;
        self.tell(who, false, 1..NEWS_DELAY_MS);
        let process = self.process(who);
        let restarts_in = self.draw(300..3000);
        self.plan(self.now + ends_in, Event::Exit { process, restarts_in });
        self.tick(who);
    }

    fn exit(&mut self, process: Process, restarts_in: u64) {
        if !self.is_running(process) {
            return;
        }
        let was_draining =
            self.machines[process.who].process.take().is_some_and(|it| it.is_draining);
        self.machines[process.who].paused_until = 0;
        if !was_draining && restarts_in > SILENCE_MS.start {
            self.tell(process.who, false, SILENCE_MS);
        }
        self.plan(self.now + restarts_in, Event::Start { who: process.who });
    }

    /// Starts an instance anew; it may own replicas at once if all have started lately.
    fn restart(&mut self, who: usize) {
        let is_first = self.chance(0.5);
        let is_up = |machine: &Machine| machine.process.as_ref().is_some_and(|it| !it.is_draining);
        let mut candidates = std::array::from_fn(|other| is_up(&self.machines[other]));
        candidates[who] = is_first;
        self.start(who, candidates, false);
        if is_first {
            self.tell(who, true, 1..NEWS_DELAY_MS);
        } else {
            // Instances that haven't noticed the restart take it for the process before.
            self.tell(who, false, 1..NEWS_DELAY_MS);
            let settled = Event::Learn { who, subject: who, is_candidate: true };
            self.plan(self.now + SETTLE_MS, settled);
            self.tell(who, true, SETTLE_MS..SETTLE_MS + NEWS_DELAY_MS);
        }
    }

    fn start(&mut self, who: usize, candidates: [bool; INSTANCES], is_old: bool) {
        let machine = &mut self.machines[who];
        machine.life += 1;
        machine.process = Some(Instance::new(self.now, who, is_old, candidates));
        let process = self.process(who);
        let at = self.now + self.draw(0..TICK_INTERVAL_MS);
        self.plan(at, Event::Tick { process });
    }

    /// Has those of `observers` miss an instance that they don't hear of.
    fn silent_for(&mut self, subject: usize, lasts: u64, observers: [bool; INSTANCES]) {
        for who in (0..INSTANCES).filter(|who| *who != subject && observers[*who]) {
            let noticed = self.draw(SILENCE_MS);
            if noticed < lasts {
                self.plan(self.now + noticed, Event::Learn { who, subject, is_candidate: false });
                let back = self.now + lasts + self.draw(1..NEWS_DELAY_MS);
                self.plan(back, Event::Learn { who, subject, is_candidate: true });
            }
        }
    }

    /// Whether an instance takes itself for a candidate.
    fn is_candidate(&self, subject: usize) -> bool {
        let process = self.machines[subject].process.as_ref();
        process.is_some_and(|it| !it.is_draining && it.candidates[subject])
    }

    /// Has instances that hear of each other learn the state of the others.
    fn gossip(&mut self) {
        self.plan(self.now + GOSSIP_INTERVAL_MS, Event::Gossip);
        for pair in 0..INSTANCES * INSTANCES {
            let (who, subject) = (pair / INSTANCES, pair % INSTANCES);
            let is_heard = self.machines[subject].process.is_some()
                && self.machines[subject].paused_until <= self.now
                && self.machines[who].misjudges_until[subject] <= self.now
                && self.cut.is_none_or(|group| group[who] == group[subject]);
            if who != subject && is_heard {
                let is_candidate = self.is_candidate(subject);
                let at = self.now + self.draw(1..NEWS_DELAY_MS);
                self.plan(at, Event::Learn { who, subject, is_candidate });
            }
        }
    }

    fn replace_replica(&mut self, ready_in: u64) {
        self.replica.restart(self.now);
        self.replica_ready_at = self.now + ready_in;
        for process in self.machines.iter_mut().filter_map(|machine| machine.process.as_mut()) {
            process.forget_replica();
        }
    }

    fn cut(&mut self, group: [bool; INSTANCES], lasts: u64) {
        if self.cut.is_some() {
            return;
        }
        self.cut = Some(group);
        self.plan(self.now + lasts, Event::Healed);
        for subject in 0..INSTANCES {
            let others = group.map(|side| side != group[subject]);
            self.silent_for(subject, lasts, others);
        }
    }

    /// Has all others take an instance for gone.
    fn misjudge(&mut self, subject: usize, lasts: u64) {
        for who in (0..INSTANCES).filter(|who| *who != subject) {
            self.machines[who].misjudges_until[subject] = self.now + lasts;
            let gone = self.now + self.draw(1..NEWS_DELAY_MS);
            self.plan(gone, Event::Learn { who, subject, is_candidate: false });
        }
    }

    fn strike(&self, target: Target) -> usize {
        match target {
            Target::Instance(who) => who,
            Target::Holder => self.replica.arrivals.last().map_or(0, |order| order.holder),
        }
    }
}
