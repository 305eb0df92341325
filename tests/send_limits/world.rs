//! Instances, replicas and callers in virtual time.
//!
//! Requests arrive at instances, which choose a replica and get a permit as the relay does: from the
//! first live instance in the replica's ranking, or from their own share if that doesn't answer.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::rendezvous;
use tamaracklead::decide::send_limits::FleetView;
use tamaracklead::decide::send_limits::NamedLimits;
use tamaracklead::decide::send_limits::PermitAsk;
use tamaracklead::decide::send_limits::PermitId;
use tamaracklead::decide::send_limits::SendCounter;
use tamaracklead::decide::send_limits::Verdict;
use tamaracklead::names::Timestamp;

use crate::event::Event;
use crate::event::Request;
use crate::instance::Instance;
use crate::instance::Trouble;
use crate::plan::Plan;
use crate::plan::RUN_MS;
use crate::replica::Reception;
use crate::replica::Replica;

/// Time that a message takes, in ms.
const MESSAGE_MS: u64 = 2;
/// Timeout of an ask for a permit, in ms.
const ASK_TIMEOUT_MS: u64 = 250;
/// Most replicas that one request asks for.
const MAX_TRIES: u32 = 6;

pub struct World {
    now_ms: u64,
    rng: ChaCha8Rng,
    pub replicas: Vec<Replica>,
    pub instances: Vec<Instance>,
    load: f64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_serial: u64,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 1);
        let instances = plan.spells.into_iter().map(|spells| Instance {
            spells,
            lag_ms: rng.random_range(0..500),
            ..Instance::default()
        });
        let mut world = Self {
            now_ms: 0,
            instances: instances.collect(),
            rng,
            replicas: plan.replicas,
            load: plan.load,
            events: BTreeMap::new(),
            next_event: 0,
            next_serial: 0,
        };
        world.plan_ends_of_spells();
        world.after(1, Event::Arrival);
        world
    }

    pub fn run(&mut self) {
        while let Some(((ms, _), event)) = self.events.pop_first() {
            if ms >= RUN_MS {
                return;
            }
            self.now_ms = ms;
            self.handle(event);
        }
    }

    fn plan_ends_of_spells(&mut self) {
        for index in 0..self.instances.len() {
            for spell in self.instances[index].spells.clone() {
                match spell.trouble {
                    Trouble::Killed => self.after(spell.until, Event::Restart(index)),
                    Trouble::Frozen => self.after(spell.until, Event::Thaw(index)),
                    Trouble::Cut => {}
                }
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Ask { counter, replica, request, limits } => {
                self.on_ask(counter, replica, request, limits);
            }
            Event::Answer { replica, request, verdict, counter } => {
                self.on_answer(replica, request, verdict, counter);
            }
            Event::NoAnswer { replica, request } => self.use_own_share(replica, request),
            Event::Send { replica, request, sent_at, counter } => {
                self.on_send(replica, request, sent_at, counter);
            }
            Event::End { replica, request, sent_at, counter, reception } => {
                self.on_end(replica, request, sent_at, counter, reception);
            }
            Event::Told { counter, replica, id, was_rejected } => {
                self.on_told(counter, replica, &id, was_rejected);
            }
            Event::News { to, replica, named, heard_at } => {
                self.on_news(to, replica, named, heard_at);
            }
            Event::Restart(index) => self.on_restart(index),
            Event::Thaw(index) => {
                let now = self.now();
                let instance = &mut self.instances[index];
                let counters = instance.counters.values_mut();
                counters.chain(instance.own_shares.values_mut()).for_each(|c| c.on_pause(now));
            }
        }
    }

    fn on_arrival(&mut self) {
        let interval = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.load;
        self.after((interval * 1000.0) as u64, Event::Arrival);
        let instance = self.rng.random_range(0..self.instances.len());
        self.next_serial += 1;
        self.choose(Request { instance, tries: 0, serial: self.next_serial });
    }

    /// Sends the request to a replica that may get it, or asks for a permit first.
    fn choose(&mut self, mut request: Request) {
        let (now, ms) = (self.now(), self.now_ms);
        let instance = &mut self.instances[request.instance];
        let is_stopped = matches!(instance.trouble(ms), Some(Trouble::Killed | Trouble::Frozen));
        if is_stopped || request.tries >= MAX_TRIES {
            return;
        }
        request.tries += 1;
        let mut open: Vec<usize> = (0..self.replicas.len()).collect();
        open.retain(|replica| {
            instance.known.get(replica).is_none_or(|known| known.closed_for(now).is_zero())
        });
        if open.is_empty() {
            return;
        }
        let replica = open[self.rng.random_range(0..open.len())];
        let known = instance.known.entry(replica).or_default();
        if !known.needs_permit() {
            self.after(MESSAGE_MS, Event::Send { replica, request, sent_at: now, counter: None });
            return;
        }
        known.on_ask(now);
        let limits = known.limits();
        match self.counting_instance(request.instance, replica) {
            counter if counter == request.instance => {
                self.on_ask(counter, replica, request, limits);
            }
            counter => self.after(MESSAGE_MS, Event::Ask { counter, replica, request, limits }),
        }
    }

    /// The instances that one takes for live.
    fn live_for(&self, observer: usize) -> Vec<usize> {
        let (ms, lag) = (self.now_ms, self.instances[observer].lag_ms);
        let is_alone = self.instances[observer]
            .spells
            .iter()
            .any(|s| s.trouble == Trouble::Cut && (s.from + 2000..s.until + 600).contains(&ms));
        let seems_live = |index: &usize| {
            *index == observer || (!is_alone && self.instances[*index].seems_live(ms, lag))
        };
        (0..self.instances.len()).filter(seems_live).collect()
    }

    /// The first in a replica's ranking of those that an instance takes for live.
    fn counting_instance(&self, observer: usize, replica: usize) -> usize {
        let live = self.live_for(observer).into_iter();
        let named: Vec<(usize, String)> = live.map(|index| (index, format!("e{index}"))).collect();
        rendezvous::rank(&format!("r{replica}"), named, |(_, name)| name)[0].0
    }

    fn ask_of(
        &self,
        replica: usize,
        request: &Request,
        limits: NamedLimits,
        share: f64,
    ) -> PermitAsk {
        let running = self.instances[request.instance].running.get(&replica);
        PermitAsk {
            id: request.permit_id(),
            limits: limits.part(share),
            slots: (f64::from(self.replicas[replica].slots) * share) as u32,
            running: running.copied().unwrap_or(0),
            expires_in: Duration::from_secs(4),
        }
    }

    /// Which part of the fleet an instance sees.
    fn fleet_view(&self, observer: usize) -> FleetView {
        FleetView { live: self.live_for(observer).len(), recent: self.instances.len() }
    }

    fn on_ask(&mut self, counter: usize, replica: usize, request: Request, limits: NamedLimits) {
        let (now, ms) = (self.now(), self.now_ms);
        let is_own = counter == request.instance;
        let reachable = |index: usize| self.instances[index].is_reachable(ms);
        let has_path = is_own || (reachable(counter) && reachable(request.instance));
        if !has_path {
            self.after(ASK_TIMEOUT_MS, Event::NoAnswer { replica, request });
            return;
        }
        let ask = self.ask_of(replica, &request, limits, self.fleet_view(counter).counted_share());
        let counters = &mut self.instances[counter].counters;
        let verdict = counters.entry(replica).or_insert_with(|| SendCounter::new(1)).ask(now, &ask);
        if !is_own
            && let Some(share) = self.instances[request.instance].own_shares.get_mut(&replica)
        {
            share.on_pause(now);
        }
        let answer = Event::Answer { replica, request, verdict, counter: Some(counter) };
        self.after(if is_own { 0 } else { MESSAGE_MS }, answer);
    }

    /// Uses the instance's own share of a rate, as the counting instance doesn't answer.
    fn use_own_share(&mut self, replica: usize, request: Request) {
        let now = self.now();
        let Some(known) = self.instances[request.instance].known.get(&replica) else { return };
        let limits = known.limits();
        if limits.max_rejections.is_some() {
            let verdict = Verdict::Denied(Duration::from_millis(250));
            return self.on_answer(replica, request, verdict, None);
        }
        let share = self.fleet_view(request.instance).own_share();
        let ask = self.ask_of(replica, &request, limits, share);
        let shares = &mut self.instances[request.instance].own_shares;
        let verdict = shares.entry(replica).or_insert_with(|| SendCounter::new(1)).ask(now, &ask);
        self.on_answer(replica, request, verdict, None);
    }

    fn on_answer(
        &mut self,
        replica: usize,
        request: Request,
        verdict: Verdict,
        counter: Option<usize>,
    ) {
        let now = self.now();
        let Some(known) = self.instances[request.instance].known.get_mut(&replica) else { return };
        match verdict {
            Verdict::Granted => {
                known.on_granted(now);
                let delay = MESSAGE_MS + self.rng.random_range(0..30);
                self.after(delay, Event::Send { replica, request, sent_at: now, counter });
            }
            Verdict::Denied(wait) => {
                known.on_denied(now, wait);
                self.choose(request);
            }
        }
    }

    fn on_send(
        &mut self,
        replica: usize,
        request: Request,
        sent_at: Timestamp,
        counter: Option<usize>,
    ) {
        let now = self.now();
        *self.instances[request.instance].running.entry(replica).or_default() += 1;
        let in_touch = self.instances[request.instance].is_in_touch(self.now_ms);
        let reception = self.replicas[replica].receive(now, request.instance, in_touch);
        let was_rejected = !matches!(reception, Reception::Taken(_));
        let delay = if was_rejected { 1 } else { self.replicas[replica].work_ms };
        let end = Event::End { replica, request, sent_at, counter, reception };
        self.after(delay + MESSAGE_MS, end);
    }

    fn on_end(
        &mut self,
        replica: usize,
        request: Request,
        sent_at: Timestamp,
        counter: Option<usize>,
        reception: Reception,
    ) {
        let (now, ms) = (self.now(), self.now_ms);
        if let Reception::Taken(start) = reception {
            self.replicas[replica].end(start);
        }
        let was_rejected = !matches!(reception, Reception::Taken(_));
        let named = self.replicas[replica].names(now);
        let index = request.instance;
        let instance = &mut self.instances[index];
        if matches!(instance.trouble(ms), Some(Trouble::Killed | Trouble::Frozen)) {
            return;
        }
        let has_changed =
            instance.known.entry(replica).or_default().on_response(now, sent_at, named);
        if !named.is_none() {
            instance.told_at.entry(replica).or_insert(ms);
        }
        if let Some(running) = instance.running.get_mut(&replica) {
            *running = running.saturating_sub(1);
        }
        if has_changed {
            self.spread_news(index, replica, named);
        }
        let instance = &mut self.instances[index];
        let id = request.permit_id();
        match counter {
            Some(counter) => {
                let told = Event::Told { counter, replica, id, was_rejected };
                self.after(MESSAGE_MS, told);
            }
            None => {
                if let Some(share) = instance.own_shares.get_mut(&replica) {
                    share.end(now, &id, was_rejected);
                }
            }
        }
        if was_rejected {
            self.choose(request);
        }
    }

    /// Tells siblings of the replica, and the other instances within an exchange or two.
    fn spread_news(&mut self, from: usize, replica: usize, named: NamedLimits) {
        let (now, ms) = (self.now(), self.now_ms);
        self.tell_siblings(from, named);
        for to in 0..self.instances.len() {
            if to != from && self.instances[from].is_reachable(ms) {
                let delay = self.rng.random_range(50..700);
                self.after(delay, Event::News { to, replica, named, heard_at: now });
            }
        }
    }

    fn tell_siblings(&mut self, instance: usize, named: NamedLimits) {
        let now = self.now();
        for sibling in 0..self.replicas.len() {
            self.instances[instance].known.entry(sibling).or_default().on_sibling(now, named);
        }
    }

    fn on_news(&mut self, to: usize, replica: usize, named: NamedLimits, heard_at: Timestamp) {
        let (now, ms) = (self.now(), self.now_ms);
        if !self.instances[to].is_reachable(ms) {
            return;
        }
        let known = self.instances[to].known.entry(replica).or_default();
        if known.on_news(now, named, now.since(heard_at)) {
            self.tell_siblings(to, named);
        }
    }

    /// Starts an instance anew; the first exchange brings it the limits in force.
    fn on_restart(&mut self, index: usize) {
        self.instances[index].restart();
        let now = self.now();
        let teacher = (0..self.instances.len())
            .find(|other| *other != index && self.instances[*other].is_reachable(self.now_ms));
        let Some(teacher) = teacher else { return };
        for replica in 0..self.replicas.len() {
            let known = self.instances[teacher].known.get(&replica);
            let named = known.map(|known| (known.limits(), now - known.age(now)));
            if let Some((named, heard_at)) = named.filter(|(named, _)| !named.is_none()) {
                self.after(400, Event::News { to: index, replica, named, heard_at });
            }
        }
    }

    fn on_told(&mut self, counter: usize, replica: usize, id: &PermitId, was_rejected: bool) {
        let now = self.now();
        if let Some(counter) = self.instances[counter].counters.get_mut(&replica) {
            counter.end(now, id, was_rejected);
        }
    }
}
