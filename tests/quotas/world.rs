//! Instances, callers and calls in virtual time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tamaracklead::decide::accounts::Quota;
use tamaracklead::decide::quotas::ChargeStep;
use tamaracklead::decide::quotas::LoanAsk;
use tamaracklead::decide::quotas::LoanReply;
use tamaracklead::decide::quotas::QuotaBalance;
use tamaracklead::decide::quotas::QuotaGroup;
use tamaracklead::decide::rendezvous;
use tamaracklead::decide::send_limits::FleetView;
use tamaracklead::names::AccountName;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;
use tamaracklead::wire::frame::encode;

use crate::instance::Instance;
use crate::instance::Request;
use crate::judge::JOIN_MS;
use crate::judge::LIMIT_KNOWN_MS;
use crate::judge::Outcome;
use crate::judge::Record;
use crate::judge::Report;
use crate::plan::Failure;
use crate::plan::Plan;
use crate::view::View;

/// Message heads of one call, in bytes.
const HEAD_BYTES: u64 = 240;
/// Timeout of an ask, in µs.
const ASK_TIMEOUT_US: u64 = 250_000;
/// Part of the calls that are lost.
const LOSS: f64 = 0.001;
/// Time between rounds of gossip, in µs.
const GOSSIP_US: u64 = 500_000;
/// Time between background refills, in µs.
const REFILL_US: u64 = 100_000;
/// Part of the admitted requests that don't run and are refunded.
const NOT_RUN: f64 = 0.01;

#[derive(Serialize)]
struct QuotaRequest {
    user: InstanceName,
    asks: Vec<LoanAsk>,
}

#[derive(Serialize)]
struct QuotaReply {
    replies: Vec<Option<LoanReply>>,
}

#[derive(Clone, Debug)]
struct Call {
    from: usize,
    process: u32,
    to: usize,
    asked_at: Timestamp,
    asks: Vec<LoanAsk>,
    accounts: Vec<usize>,
    deadline_us: u64,
}

enum Event {
    Arrival { account: usize },
    Asked(Call),
    Replied(Call, Vec<Option<LoanReply>>),
    Refund { instance: usize, process: u32, request: Request },
    Gossip { instance: usize },
    Refill { instance: usize },
    Start { instance: usize },
    Wake { instance: usize, slept_us: u64 },
}

/// A run of the model.
pub struct World {
    now_us: u64,
    rng: ChaCha8Rng,
    view: View,
    names: Vec<AccountName>,
    rankings: Vec<Vec<usize>>,
    instances: Vec<Instance>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    /// Events of instances that are paused, until they wake.
    held: BTreeMap<usize, Vec<Event>>,
    report: Report,
}

impl World {
    pub fn run(plan: Plan) -> Report {
        let mut world = Self::new(plan);
        let end_us = world.report.plan.run_ms * 1_000;
        while let Some(((at, _), event)) = world.events.pop_first() {
            if at >= end_us {
                break;
            }
            world.now_us = at;
            world.handle(event);
        }
        world.record_pending();
        world.report
    }

    /// Counts requests that still wait as refused: a caller would have given up.
    fn record_pending(&mut self) {
        let waiting = self.instances.iter_mut().flat_map(|own| std::mem::take(&mut own.waiting));
        let pending: Vec<Request> = waiting.flat_map(|(_, requests)| requests).collect();
        for request in pending {
            self.record(request, Outcome::Unavailable);
        }
    }

    fn new(plan: Plan) -> Self {
        let names: Vec<AccountName> =
            (0..plan.loads.len()).map(|n| AccountName::new(&format!("acct-{n:03}"))).collect();
        let instances: Vec<Instance> =
            (0..plan.instances).map(|n| Instance::new(&format!("entry-{n:03}"), 0, 0)).collect();
        let rank = |group: QuotaGroup| {
            let all = instances.iter().map(|own| own.name.clone()).enumerate().collect();
            let ranked =
                rendezvous::rank(&group.ranking_key(), all, |(_, name): &(usize, InstanceName)| {
                    name.as_str()
                });
            ranked.into_iter().map(|(n, _)| n).collect()
        };
        let rankings = QuotaGroup::all().map(rank).collect();
        let mut world = Self {
            now_us: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            view: View::new(&plan),
            names,
            rankings,
            instances,
            events: BTreeMap::new(),
            next_event: 0,
            held: BTreeMap::new(),
            report: Report { plan, records: Vec::new(), calls: 0, bytes: 0 },
        };
        world.plan_events();
        world
    }

    /// Instance that counts a group as long as all are live.
    pub fn first_counting(plan: &Plan, group: QuotaGroup) -> usize {
        Self::counting_after(plan, group, usize::MAX)
    }

    /// Instance that counts a group as long as all but one are live.
    pub fn counting_after(plan: &Plan, group: QuotaGroup, lost: usize) -> usize {
        let world = Self::new(plan.clone());
        let index = QuotaGroup::all().position(|other| other == group).unwrap();
        world.rankings[index].iter().copied().find(|instance| *instance != lost).unwrap()
    }

    fn plan_events(&mut self) {
        for account in 0..self.names.len() {
            self.plan_arrival(account);
        }
        for instance in 0..self.instances.len() {
            let offset = self.rng.random_range(0..REFILL_US);
            self.at(offset, Event::Gossip { instance });
            self.at(offset, Event::Refill { instance });
        }
        for failure in self.report.plan.failures.clone() {
            match failure {
                Failure::Paused { instance, from, until } => {
                    let slept_us = (until - from) * 1_000;
                    self.at(until * 1_000, Event::Wake { instance, slept_us });
                }
                Failure::AllRestarted { at, down_ms } => {
                    for instance in 0..self.instances.len() {
                        self.at((at + down_ms) * 1_000, Event::Start { instance });
                    }
                }
                Failure::Killed { .. } | Failure::ThirdCutOff { .. } => {}
            }
        }
    }

    fn at(&mut self, us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((us, self.next_event), event);
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn handle(&mut self, event: Event) {
        let actor = match &event {
            Event::Arrival { .. } | Event::Start { .. } | Event::Wake { .. } => None,
            Event::Asked(call) => Some(call.to),
            Event::Replied(call, _) => Some(call.from),
            Event::Refund { instance, .. }
            | Event::Gossip { instance }
            | Event::Refill { instance } => Some(*instance),
        };
        if let Some(instance) = actor.filter(|actor| !self.view.runs(*actor, self.now_ms())) {
            self.held.entry(instance).or_default().push(event);
            return;
        }
        match event {
            Event::Arrival { account } => self.on_arrival(account),
            Event::Asked(call) => self.on_asked(call),
            Event::Replied(call, replies) => self.on_replied(&call, replies),
            Event::Refund { instance, process, request } => {
                self.on_refund(instance, process, request);
            }
            Event::Gossip { instance } => self.on_gossip(instance),
            Event::Refill { instance } => self.on_refill(instance),
            Event::Start { instance } => self.on_start(instance),
            Event::Wake { instance, slept_us } => self.on_wake(instance, slept_us),
        }
    }

    fn plan_arrival(&mut self, account: usize) {
        let rate = self.report.plan.loads[account].requests_per_s(self.now_ms());
        let gap_s = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        // A surge may begin within the gap, so a long one is drawn again after half a second.
        if gap_s > 0.5 {
            self.at(self.now_us + 500_000, Event::Arrival { account: account + self.names.len() });
        } else {
            self.at(self.now_us + (gap_s * 1e6) as u64, Event::Arrival { account });
        }
    }

    fn on_arrival(&mut self, account: usize) {
        let accounts = self.names.len();
        let is_arrival = account < accounts;
        let account = account % accounts;
        self.plan_arrival(account);
        if !is_arrival {
            return;
        }
        let load = self.report.plan.loads[account];
        let cost = load.costs.draw(&mut self.rng).max(1);
        let count = self.instances.len();
        let instance = match load.spots {
            0 => self.rng.random_range(0..count),
            spots => (account * 7 + self.rng.random_range(0..spots)) % count,
        };
        if !self.view.runs(instance, self.now_ms()) {
            return;
        }
        self.charge(instance, Request { account, cost, arrived_us: self.now_us });
    }

    fn quota(&self, account: usize, knows_change: bool) -> Quota {
        let mut quota = self.report.plan.loads[account].quota();
        if let Some((_, factor)) = self.report.plan.limits_change.filter(|_| knows_change) {
            quota.rate *= factor;
            quota.burst *= factor;
        }
        quota
    }

    /// The quota in the configuration of an instance; a change reaches them one after the other.
    fn quota_at(&self, instance: usize, account: usize) -> Quota {
        let lag = instance as u64 * 37 % LIMIT_KNOWN_MS;
        let change = self.report.plan.limits_change;
        self.quota(account, change.is_some_and(|(at, _)| self.now_ms() >= at + lag))
    }

    fn charge(&mut self, instance: usize, request: Request) {
        let quota = self.quota_at(instance, request.account);
        let name = self.names[request.account].clone();
        let own = &mut self.instances[instance];
        let now = own.clock(self.now_us);
        let is_joined = now >= Timestamp::from_millis(JOIN_MS);
        let own_share = is_joined.then(|| own.fleet.own_share());
        let balance =
            own.balances.entry(request.account).or_insert_with(|| QuotaBalance::new(name));
        match balance.charge(now, &quota, own_share, request.cost) {
            ChargeStep::Charged => self.on_charged(instance, request),
            ChargeStep::Denied(_) => self.record(request, Outcome::OverQuota),
            ChargeStep::Unavailable(_) => self.record(request, Outcome::Unavailable),
            ChargeStep::AwaitReply => {
                own.waiting.entry(request.account).or_default().push_back(request);
            }
            ChargeStep::Ask(ask) => {
                own.waiting.entry(request.account).or_default().push_back(request);
                self.send_with_others(instance, ask, request.account);
            }
        }
    }

    /// Sends an ask along with those of other accounts of its group.
    fn send_with_others(&mut self, instance: usize, ask: LoanAsk, account: usize) {
        let (mut asks, mut accounts) = (vec![ask], vec![account]);
        let group = self.group_index(account);
        for other in (0..self.names.len()).filter(|other| *other != account) {
            if self.group_index(other) != group {
                continue;
            }
            let own = &mut self.instances[instance];
            let now = own.clock(self.now_us);
            let joined = own.balances.get_mut(&other).and_then(|balance| balance.join_call(now));
            if let Some(ask) = joined {
                asks.push(ask);
                accounts.push(other);
            }
        }
        self.send(instance, asks, accounts);
    }

    fn on_charged(&mut self, instance: usize, request: Request) {
        if !self.rng.random_bool(NOT_RUN) {
            self.record(request, Outcome::Ran);
            return;
        }
        self.record(request, Outcome::NotRun);
        let process = self.instances[instance].process;
        let delay = self.rng.random_range(1_000..300_000);
        self.at(self.now_us + delay, Event::Refund { instance, process, request });
    }

    fn on_refund(&mut self, instance: usize, process: u32, request: Request) {
        let own = &mut self.instances[instance];
        let now = own.clock(self.now_us);
        if own.process == process
            && let Some(balance) = own.balances.get_mut(&request.account)
        {
            balance.refund(now, request.cost);
        }
    }

    fn record(&mut self, request: Request, outcome: Outcome) {
        self.report.records.push(Record {
            account: request.account,
            arrived_ms: request.arrived_us / 1_000,
            decided_ms: self.now_ms(),
            cost: request.cost,
            outcome,
        });
    }

    fn group_index(&self, account: usize) -> usize {
        let group = QuotaGroup::of(&self.names[account]);
        QuotaGroup::all().position(|other| other == group).unwrap()
    }

    fn send(&mut self, from: usize, asks: Vec<LoanAsk>, accounts: Vec<usize>) {
        let group = self.group_index(accounts[0]);
        let own = &self.instances[from];
        let to = own.counting.get(group).copied().unwrap_or(from);
        let call = Call {
            from,
            process: own.process,
            to,
            asked_at: own.clock(self.now_us),
            asks,
            accounts,
            deadline_us: self.now_us + ASK_TIMEOUT_US,
        };
        let answers_in = self.rng.random_range(1_000..8_000);
        if from == to {
            self.at(self.now_us, Event::Asked(call));
            return;
        }
        let request = QuotaRequest { user: own.name.clone(), asks: call.asks.clone() };
        self.report.calls += 1;
        self.report.bytes += HEAD_BYTES + encode(&request).unwrap().len() as u64;
        let none = vec![None; call.asks.len()];
        let deadline = call.deadline_us;
        self.at(deadline, Event::Replied(call.clone(), none));
        let is_lost = self.rng.random_bool(LOSS);
        // A paused process reads the call when it wakes.
        let is_paused = !self.view.runs(to, self.now_ms());
        if !is_lost && (is_paused || self.view.reaches(from, to, self.now_ms())) {
            self.at(self.now_us + answers_in, Event::Asked(call));
        }
    }

    fn on_asked(&mut self, call: Call) {
        let quotas: Vec<Quota> =
            call.accounts.iter().map(|account| self.quota_at(call.to, *account)).collect();
        let user = self.instances[call.from].name.clone();
        let own = &mut self.instances[call.to];
        let now = own.clock(self.now_us);
        let share = own.fleet.counted_share();
        let replies: Vec<Option<LoanReply>> = call
            .asks
            .iter()
            .zip(&quotas)
            .map(|(ask, quota)| own.counter.ask(now, &user, quota, share, ask))
            .collect();
        if call.from == call.to {
            self.on_replied(&call, replies);
            return;
        }
        let reply = QuotaReply { replies };
        self.report.bytes += encode(&reply).unwrap().len() as u64;
        let is_lost = self.rng.random_bool(LOSS);
        if !is_lost && self.view.reaches(call.to, call.from, self.now_ms()) {
            let delay = self.rng.random_range(1_000..8_000);
            self.at(self.now_us + delay, Event::Replied(call, reply.replies));
        }
    }

    fn on_replied(&mut self, call: &Call, replies: Vec<Option<LoanReply>>) {
        let own = &mut self.instances[call.from];
        if own.process != call.process {
            return;
        }
        let now = own.clock(self.now_us);
        let is_late = self.now_us > call.deadline_us;
        for (account, reply) in call.accounts.iter().zip(replies) {
            let own = &mut self.instances[call.from];
            let Some(balance) = own.balances.get_mut(account) else { continue };
            balance.on_reply(now, call.asked_at, reply.filter(|_| !is_late));
            for request in own.waiting.remove(account).unwrap_or_default() {
                self.charge(call.from, request);
            }
        }
    }

    fn on_refill(&mut self, instance: usize) {
        self.at(self.now_us + REFILL_US, Event::Refill { instance });
        let own = &mut self.instances[instance];
        let now = own.clock(self.now_us);
        own.balances.retain(|_, balance| !balance.is_unneeded(now));
        own.counter.drop_unneeded(now);
        let mut accounts: Vec<usize> = own.balances.keys().copied().collect();
        accounts.sort_unstable();
        let mut by_group: BTreeMap<usize, (Vec<LoanAsk>, Vec<usize>)> = BTreeMap::new();
        for account in accounts {
            let group = self.group_index(account);
            let balance = self.instances[instance].balances.get_mut(&account).unwrap();
            if let Some(ask) = balance.refill(now) {
                let (asks, accounts) = by_group.entry(group).or_default();
                asks.push(ask);
                accounts.push(account);
            }
        }
        for (asks, accounts) in by_group.into_values() {
            self.send(instance, asks, accounts);
        }
    }

    fn on_gossip(&mut self, instance: usize) {
        self.at(self.now_us + GOSSIP_US, Event::Gossip { instance });
        let ms = self.now_ms();
        let all = 0..self.instances.len();
        let view = &self.view;
        let live = all.clone().filter(|other| view.sees(instance, *other, ms)).count();
        let recent = all.filter(|other| view.saw(instance, *other, ms)).count();
        let first = |ranking: &Vec<usize>| {
            ranking.iter().copied().find(|other| view.sees(instance, *other, ms)).unwrap()
        };
        let counting: Vec<usize> = self.rankings.iter().map(first).collect();
        let own = &mut self.instances[instance];
        let now = own.clock(self.now_us);
        own.fleet = FleetView { live, recent };
        for (group, counts) in QuotaGroup::all().zip(&counting) {
            own.counter.on_counting(now, group, *counts == instance);
        }
        if own.counting != counting {
            own.balances.values_mut().for_each(|balance| balance.on_other_counter(now));
        }
        own.counting = counting;
    }

    fn on_start(&mut self, instance: usize) {
        let own = &mut self.instances[instance];
        *own = Instance::new(&own.name.to_string(), self.now_us, own.process + 1);
        self.release(instance, |event| {
            matches!(event, Event::Gossip { .. } | Event::Refill { .. })
        });
    }

    fn on_wake(&mut self, instance: usize, slept_us: u64) {
        let own = &mut self.instances[instance];
        own.behind_us += slept_us;
        let now = own.clock(self.now_us);
        own.counter.on_pause(now);
        own.balances.values_mut().for_each(|balance| balance.on_pause(now));
        self.release(instance, |_| true);
    }

    /// Goes on with the events that an instance did not handle in time.
    fn release(&mut self, instance: usize, is_kept: impl Fn(&Event) -> bool) {
        for event in self.held.remove(&instance).unwrap_or_default() {
            if is_kept(&event) {
                self.at(self.now_us, event);
            }
        }
    }
}
