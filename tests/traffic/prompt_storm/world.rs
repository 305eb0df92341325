//! Instances, replicas and requests, driven by events in virtual time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::traffic::CrashEvidence;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::QuarantineChange;
use tamaracklead::decide::traffic::ResponseProgress;
use tamaracklead::decide::traffic::SoundPart;
use tamaracklead::names::BackendName;

use super::instance::Instance;
use super::plan::Plan;
use super::prompt;
use super::record::Record;
use super::request::Request;
use super::request::Sent;

/// Microseconds of a millisecond.
pub const MS: u64 = 1_000;
/// Interval of the checks of quarantined parts.
const SAMPLE_US: u64 = 200 * MS;
/// Interval between parts of a body.
const DATA_US: u64 = 100 * MS;

/// What happens at a point in time.
#[derive(Debug)]
pub enum Event {
    Sound,
    Bad(usize),
    Take(usize),
    Begin { request: usize, attempt: u32 },
    Crash { replica: usize, process: u64, bad: Option<usize> },
    Up(usize),
    Sends { request: usize, attempt: u32, sent: Sent },
    Arrives { request: usize, attempt: u32, sent: Sent, place: (usize, u64) },
    Round { instance: usize, life: u32, round: u64 },
    Message(Message),
    Trouble(usize),
    Start(usize),
    Sample,
}

/// Gossip between two instances.
#[derive(Debug)]
pub struct Message {
    pub from: usize,
    pub to: usize,
    pub life: u32,
    pub is_reply: bool,
    pub evidence: Vec<CrashEvidence>,
    pub sound: Vec<SoundPart>,
}

/// A replica; its process ends at each crash.
#[derive(Clone, Debug)]
pub struct Replica {
    pub process: u64,
    is_up: bool,
    requests: Vec<usize>,
}

/// The whole model.
pub struct World {
    pub plan: Plan,
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub instances: Vec<Instance>,
    pub record: Record,
    pub requests: Vec<Request>,
    pub replicas: Vec<Replica>,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
}

impl World {
    /// The state before the first event.
    pub fn new(plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let ages: Vec<u64> =
            (0..plan.instances).map(|_| rng.random_range(10..5_000_000) * MS).collect();
        let replica = Replica { process: 0, is_up: true, requests: Vec::new() };
        let mut world = Self {
            now: 0,
            rng,
            instances: ages.into_iter().map(Instance::running).collect(),
            record: Record::new(&plan),
            requests: Vec::new(),
            replicas: vec![replica; plan.replicas],
            events: BTreeMap::new(),
            serial: 0,
            plan,
        };
        world.schedule_first_events();
        world
    }

    /// Runs the plan to its end.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > self.plan.run_ms * MS {
                break;
            }
            self.now = at;
            if let Some(until) = self.pause_before(&event) {
                self.schedule_at(until, event);
            } else {
                self.handle(event);
            }
        }
        self.record.add_requests(&self.requests);
    }

    fn schedule_first_events(&mut self) {
        self.schedule(0, Event::Sound);
        self.schedule(0, Event::Sample);
        for instance in 0..self.instances.len() {
            let delay = self.rng.random_range(0..350) * MS;
            self.schedule(delay, Event::Round { instance, life: 0, round: 0 });
        }
        for (index, bad) in self.plan.bad.clone().iter().enumerate() {
            self.schedule(bad.since_ms * MS, Event::Bad(index));
        }
        for (index, (at_ms, _)) in self.plan.troubles.clone().iter().enumerate() {
            self.schedule(at_ms * MS, Event::Trouble(index));
        }
    }

    pub fn schedule(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// End of the pause of the instance that an event is for.
    fn pause_before(&self, event: &Event) -> Option<u64> {
        let instance = match event {
            Event::Take(request) | Event::Arrives { request, .. } => {
                self.requests[*request].instance
            }
            Event::Round { instance, .. } => *instance,
            Event::Message(message) => message.to,
            _ => return None,
        };
        let until = self.instances[instance].paused_until;
        (until > self.now).then_some(until)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sound => {
                let parts = prompt::sound(&mut self.rng);
                self.arrive(parts, None);
                let gap = self.gap(self.plan.sound_per_s);
                self.schedule(gap, Event::Sound);
            }
            Event::Bad(index) => {
                let bad = self.plan.bad[index];
                let parts = prompt::crashing(&mut self.rng, &bad);
                self.arrive(parts, Some(index));
                let gap = self.gap(bad.per_s);
                self.schedule(gap, Event::Bad(index));
            }
            Event::Take(request) => self.send(request),
            Event::Begin { request, attempt } => self.begin(request, attempt),
            Event::Crash { replica, process, bad } => self.crash(replica, process, bad),
            Event::Up(replica) => self.replicas[replica].is_up = true,
            Event::Sends { request, attempt, sent } => self.replica_sends(request, attempt, sent),
            Event::Arrives { request, attempt, sent, place } => {
                self.arrives(request, attempt, sent, place);
            }
            Event::Round { instance, life, round } => self.gossip_round(instance, life, round),
            Event::Message(message) => self.receive(message),
            Event::Trouble(index) => self.trouble(index),
            Event::Start(instance) => self.start(instance),
            Event::Sample => {
                self.record.sample(self.now, &self.instances);
                self.schedule(SAMPLE_US, Event::Sample);
            }
        }
    }

    fn gap(&mut self, per_s: f64) -> u64 {
        (self.rng.random_range(0.2..1.8) * 1_000_000.0 / per_s) as u64
    }

    fn arrive(&mut self, parts: Vec<PromptPart>, bad: Option<usize>) {
        let serving: Vec<usize> =
            (0..self.instances.len()).filter(|i| self.instances[*i].serves).collect();
        if serving.is_empty() {
            return;
        }
        let instance = serving[self.rng.random_range(0..serving.len())];
        self.requests.push(Request {
            parts,
            bad,
            instance,
            life: self.instances[instance].life,
            arrived: self.now,
            attempt: 0,
            place: None,
            progress: None,
            began_at_once: false,
            is_void: false,
        });
        self.schedule(0, Event::Take(self.requests.len() - 1));
    }

    fn is_lost(&self, request: usize) -> bool {
        let Request { instance, life, .. } = self.requests[request];
        !self.instances[instance].lives || self.instances[instance].life != life
    }

    fn send(&mut self, request: usize) {
        if self.is_lost(request) || !self.may_send(request) {
            return;
        }
        let up: Vec<usize> = (0..self.replicas.len()).filter(|r| self.replicas[*r].is_up).collect();
        if up.is_empty() {
            return;
        }
        let replica = up[self.rng.random_range(0..up.len())];
        let process = self.replicas[replica].process;
        self.replicas[replica].requests.push(request);
        let sent = &mut self.requests[request];
        sent.attempt += 1;
        sent.place = Some((replica, process));
        sent.progress = None;
        let (attempt, bad, instance) = (sent.attempt, sent.bad, sent.instance);
        if let Some(bad) = bad {
            let in_touch = self.instances[instance].is_in_touch(self.now);
            self.record.on_bad_send(self.now, bad, instance, replica, in_touch);
        }
        let wait = self.rng.random_range(20..1_500) * MS;
        self.schedule(wait, Event::Begin { request, attempt });
    }

    /// Whether the quarantine lets a request pass.
    fn may_send(&mut self, request: usize) -> bool {
        let Request { instance, .. } = self.requests[request];
        let local = self.instances[instance].time(self.now);
        let guard = &self.instances[instance].guard;
        let Some(found) = guard.quarantine(local, &self.requests[request].parts) else {
            return true;
        };
        self.is_prober(instance, found.part, found.probers)
            && self.instances[instance].guard.try_probe(local, found.part)
    }

    /// Whether an instance is one of the first `count` that may probe a part.
    fn is_prober(&self, instance: usize, part: u64, count: usize) -> bool {
        let rank = |i: usize| (i as u64 ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let is_serving =
            |i: &usize| self.instances[*i].serves && self.instances[*i].is_in_touch(self.now);
        let serving = (0..self.instances.len()).filter(is_serving);
        serving.filter(|i| rank(*i) > rank(instance)).take(count).count() < count
    }

    fn is_current(&self, request: usize, attempt: u32) -> bool {
        let request = &self.requests[request];
        let is_there = |(r, process): (usize, u64)| self.replicas[r].process == process;
        request.attempt == attempt && request.place.is_some_and(is_there)
    }

    fn begin(&mut self, request: usize, attempt: u32) {
        if !self.is_current(request, attempt) {
            return;
        }
        let Request { bad, place: Some((replica, process)), .. } = self.requests[request] else {
            return;
        };
        let mut is_head_lost = false;
        if bad.is_some() {
            is_head_lost = self.rng.random_bool(self.plan.lost_heads);
            let delay = self.rng.random_range(0..=90) * MS;
            self.schedule(delay, Event::Crash { replica, process, bad });
        }
        if !is_head_lost {
            self.schedule(MS, Event::Sends { request, attempt, sent: Sent::Head });
        }
        let length = self.rng.random_range(200..4_000) * MS;
        for at in (DATA_US..length).step_by(DATA_US as usize) {
            self.schedule(at, Event::Sends { request, attempt, sent: Sent::Data });
        }
        let is_cut = bad.is_none() && self.rng.random_bool(self.plan.cut_streams);
        let (end, sent) = if is_cut {
            (self.rng.random_range(0..length), Sent::Break)
        } else {
            (length, Sent::End)
        };
        self.schedule(end, Event::Sends { request, attempt, sent });
    }

    fn replica_sends(&mut self, request: usize, attempt: u32, sent: Sent) {
        if !self.is_current(request, attempt) {
            return;
        }
        let Some(place) = self.requests[request].place else { return };
        if matches!(sent, Sent::End | Sent::Break) {
            self.replicas[place.0].requests.retain(|there| *there != request);
            self.requests[request].place = None;
        }
        self.schedule(2 * MS, Event::Arrives { request, attempt, sent, place });
    }

    fn crash(&mut self, replica: usize, process: u64, bad: Option<usize>) {
        if self.replicas[replica].process != process {
            return;
        }
        self.record.on_crash(self.now, replica, bad);
        let crashed = &mut self.replicas[replica];
        crashed.process += 1;
        crashed.is_up = false;
        for request in std::mem::take(&mut crashed.requests) {
            let delay = self.rng.random_range(3..7) * MS;
            let attempt = self.requests[request].attempt;
            let (sent, place) = (Sent::Break, (replica, process));
            self.schedule(delay, Event::Arrives { request, attempt, sent, place });
        }
        let down = self.rng.random_range(2_000..6_000) * MS;
        self.schedule(down, Event::Up(replica));
    }

    fn arrives(&mut self, request: usize, attempt: u32, sent: Sent, place: (usize, u64)) {
        if self.is_lost(request) || self.requests[request].attempt != attempt {
            return;
        }
        let instance = self.requests[request].instance;
        let local = self.instances[instance].time(self.now);
        let item = &mut self.requests[request];
        let is_proof = match (sent, &mut item.progress) {
            (Sent::Head, progress) => {
                *progress = Some(ResponseProgress::new(local));
                item.began_at_once = attempt == 1;
                false
            }
            (Sent::Data, Some(progress)) => progress.on_data(local),
            (Sent::End, Some(progress)) => progress.on_end(true),
            (Sent::Break, _) => return self.on_break(request, place),
            (Sent::Data | Sent::End, None) => false,
        };
        if is_proof {
            let parts = item.parts.clone();
            let changes = self.instances[instance].guard.on_sound(local, &parts);
            self.on_changes(instance, &changes);
        }
    }

    fn on_break(&mut self, request: usize, (replica, process): (usize, u64)) {
        let Request { instance, progress, attempt, .. } = self.requests[request];
        let parts = self.requests[request].parts.clone();
        let local = self.instances[instance].time(self.now);
        if progress.is_none_or(|progress| progress.may_have_crashed()) {
            let name = BackendName::new(&format!("r{replica}-{process}"));
            let guard = &mut self.instances[instance].guard;
            let changes = guard.on_crash(local, &name, process, &parts, progress.is_some());
            self.on_changes(instance, &changes);
            self.wake(instance);
        }
        if attempt == 1 && self.instances[instance].guard.may_retry(&parts) {
            self.send(request);
        }
    }

    pub fn on_changes(&mut self, instance: usize, changes: &[QuarantineChange]) {
        for change in changes {
            self.record.on_change(self.now, instance, change);
        }
        if !changes.is_empty() {
            self.wake(instance);
        }
    }
}
