//! The instances with their clocks, the network between them, and one engine.

use std::collections::BTreeSet;

use tamaracklead::decide::ownership::Candidate;
use tamaracklead::decide::ownership::GroupId;
use tamaracklead::decide::ownership::LeaseAction;
use tamaracklead::decide::ownership::panel;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;
use tamaracklead::names::WallTime;
use tamaracklead::wire::listing::FencingMode;

use crate::engine::Answer;
use crate::engine::Engine;
use crate::message::Body;
use crate::message::Message;
use crate::node::Node;
use crate::step::ENGINE;
use crate::step::NODES;
use crate::step::Step;

/// Rates of the instances' clocks, in thousandths of real time; within the 5% that leases allow.
const CLOCK_RATES: [u64; NODES] = [950, 1050, 960, 1040, 1000];
/// Longest delay of a message to an engine that ignores fencing: 500 ms by the fastest clock.
const MAX_MESSAGE_DELAY_MS: u64 = 450;
/// Time within which a running instance gets a new list: half of the bound by the fastest clock.
const MAX_LIST_DELAY_MS: u64 = 1850;
/// Most messages in flight; with more, the oldest is lost.
const MAX_MESSAGES: usize = 200;
const RUN_STEP_MS: u64 = 50;
const MIN_LISTED: usize = 2;

struct Process {
    node: Node,
    incarnation: u64,
    paused: bool,
    list_age_ms: u64,
}

pub struct World {
    mode: FencingMode,
    group: GroupId,
    real_ms: u64,
    processes: Vec<Process>,
    last_incarnation: u64,
    messages: Vec<Message>,
    blocked_links: BTreeSet<(usize, usize)>,
    listed: BTreeSet<usize>,
    pub engine: Engine,
    requests: u128,
    pub answered_not_run: BTreeSet<RequestId>,
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("entry-{index}"))
}

impl World {
    pub fn new(mode: FencingMode) -> Self {
        let data_centre = DataCentre::new("dc");
        let group = GroupId::new(&BackendName::new("engine"), data_centre, mode);
        let mut world = Self {
            mode,
            group,
            real_ms: 0,
            processes: Vec::new(),
            last_incarnation: 0,
            messages: Vec::new(),
            blocked_links: BTreeSet::new(),
            listed: (0..NODES).collect(),
            engine: Engine::new(mode),
            requests: 0,
            answered_not_run: BTreeSet::new(),
        };
        for index in 0..NODES {
            let process = world.start(index);
            world.processes.push(process);
        }
        world
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Run { ms } => self.run(ms.div_ceil(RUN_STEP_MS), RUN_STEP_MS),
            Step::RunMillis { rounds } => self.run(rounds as u64, 1),
            Step::Advance { ms } => self.advance(ms),
            Step::Tick { node } => self.tick(node),
            Step::Flush { node } => self.flush(node),
            Step::Arrive { node, adapter } => self.arrive(node, adapter),
            Step::Request { adapter } => {
                for index in 0..NODES {
                    if self.processes[index].node.believes_owner(self.now(index)) {
                        self.arrive(index, adapter);
                    }
                }
            }
            Step::Finish { pick } => self.finish(pick),
            Step::Deliver { pick } => self.deliver(pick),
            Step::Drop { pick } => {
                self.take(pick);
            }
            Step::Duplicate { pick } => self.duplicate(pick),
            Step::GiveUp { node, pick } => self.on_node(node, |node, now| node.give_up(now, pick)),
            Step::Pause { node } => self.processes[node].paused = true,
            Step::Resume { node } => self.processes[node].paused = false,
            Step::Restart { node } => self.restart_instance(node),
            Step::PauseSender => {
                let sender =
                    self.processes.iter_mut().find(|process| !process.node.outbox.is_empty());
                if let Some(process) = sender {
                    process.paused = true;
                }
            }
            Step::Delay { pick } => self.delay(pick),
            Step::RestartEngine => self.restart_engine(),
            Step::Block { from, to } => {
                self.blocked_links.insert((from, to));
            }
            Step::Isolate { node } => self.isolate(node),
            Step::IsolateAndRestartOthers { node } => {
                self.isolate(node);
                (0..NODES)
                    .filter(|other| *other != node)
                    .for_each(|other| self.restart_instance(other));
            }
            Step::Unblock => self.blocked_links.clear(),
            Step::SetPreferred { node, preferred } => {
                self.on_node(node, |node, _| node.preferred = preferred)
            }
            Step::PreferOnly { node } => {
                for index in 0..NODES {
                    self.on_node(index, |other, _| other.preferred = index == node);
                }
            }
            Step::ToggleListed { node } => self.toggle_listed(node),
            Step::DeliverList { node } => self.deliver_list(node),
        }
        for process in &mut self.processes {
            self.answered_not_run.append(&mut process.node.answered_not_run);
        }
    }

    /// Whether an unload is delayed in the network.
    pub fn delays_unload(&self) -> bool {
        self.messages.iter().any(|message| message.delayed && message.is_unload())
    }

    /// Instances whose lease allows them to send something to the engine now.
    pub fn owners(&self) -> Vec<usize> {
        let believes = |index: &usize| self.processes[*index].node.believes_owner(self.now(*index));
        (0..NODES).filter(believes).collect()
    }

    /// How many orders to unload are on their way to the engine.
    pub fn unloads_in_flight(&self) -> usize {
        self.messages.iter().filter(|message| message.is_unload()).count()
    }

    /// Broken safety rules, as callers and the engine saw them.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.engine.violations.clone();
        if self.mode == FencingMode::Ignore && self.owners().len() > 1 {
            violations.push(format!("instances {:?} may act at once", self.owners()));
        }
        let false_not_run = self.answered_not_run.intersection(&self.engine.ran);
        violations.extend(
            false_not_run.map(|request| format!("request {request} ran after \"not run\"")),
        );
        violations
    }

    fn start(&mut self, index: usize) -> Process {
        self.last_incarnation += 1;
        let node = Node::new(name(index), Incarnation(self.last_incarnation), &self.group);
        let mut process =
            Process { node, incarnation: self.last_incarnation, paused: false, list_age_ms: 0 };
        process.node.on_list(self.now(index), self.panel());
        process
    }

    fn restart_instance(&mut self, index: usize) {
        self.answered_not_run.append(&mut self.processes[index].node.answered_not_run);
        self.processes[index] = self.start(index);
    }

    fn now(&self, index: usize) -> Timestamp {
        Timestamp::from_micros((self.real_ms + 1_000) * CLOCK_RATES[index])
    }

    fn panel(&self) -> Vec<InstanceName> {
        let candidates: Vec<Candidate> = self
            .listed
            .iter()
            .map(|index| Candidate { name: name(*index), data_centre: DataCentre::new("dc") })
            .collect();
        panel(&self.group, &candidates)
    }

    /// Lets an instance act unless it is paused, then sends its lease messages.
    fn on_node(&mut self, index: usize, act: impl FnOnce(&mut Node, Timestamp)) {
        let now = self.now(index);
        let process = &mut self.processes[index];
        if process.paused {
            return;
        }
        process.node.wall = WallTime(self.real_ms);
        act(&mut process.node, now);
        let incarnation = process.incarnation;
        for action in std::mem::take(&mut process.node.lease_actions) {
            let (to, body) = match action {
                LeaseAction::Ask { to, request } => (to, Body::Request(request)),
                LeaseAction::Release { to, release } => (to, Body::Release(release)),
                LeaseAction::Acquired | LeaseAction::Lost => continue,
            };
            let to = (0..NODES).find(|index| name(*index) == to).unwrap();
            self.send(Message {
                from: index,
                incarnation,
                to,
                sent: self.real_ms,
                body,
                delayed: false,
            });
        }
    }

    fn send(&mut self, message: Message) {
        if self.messages.len() >= MAX_MESSAGES {
            self.messages.remove(0);
        }
        self.messages.push(message);
    }

    fn tick(&mut self, index: usize) {
        self.on_node(index, |node, now| node.on_tick(now));
    }

    fn flush(&mut self, index: usize) {
        let mut sent = Vec::new();
        self.on_node(index, |node, now| sent = node.flush(now));
        let incarnation = self.processes[index].incarnation;
        for unsent in sent {
            let body = Body::Call { id: unsent.id, fencing: unsent.fencing, call: unsent.call };
            self.send(Message {
                from: index,
                incarnation,
                to: ENGINE,
                sent: self.real_ms,
                body,
                delayed: false,
            });
        }
    }

    fn arrive(&mut self, index: usize, adapter: usize) {
        self.requests += 1;
        let request_id = RequestId(self.requests);
        let adapter = AdapterName::new(&format!("adapter-{adapter}"));
        let adapter = AdapterRef::new(adapter, Version(1));
        self.on_node(index, |node, now| node.on_arrival(now, request_id, adapter));
    }

    fn finish(&mut self, pick: usize) {
        let ids: Vec<RequestId> = self.engine.running.keys().copied().collect();
        if ids.is_empty() {
            return;
        }
        let run = self.engine.running.remove(&ids[pick % ids.len()]).unwrap();
        self.answer(run.node, run.call, Answer::Finished);
    }

    fn restart_engine(&mut self) {
        for run in self.engine.restart() {
            self.answer(run.node, run.call, Answer::Broken);
        }
    }

    /// Sends an answer of the engine; `call` combines the incarnation of the instance and its call.
    fn answer(&mut self, to: usize, call: u64, answer: Answer) {
        let (incarnation, id) = (call >> 32, call & u64::from(u32::MAX));
        let body = Body::Answer { id, answer };
        self.send(Message {
            from: ENGINE,
            incarnation,
            to,
            sent: self.real_ms,
            body,
            delayed: false,
        });
    }

    fn advance(&mut self, ms: u64) {
        self.real_ms += ms;
        if self.mode == FencingMode::Ignore {
            let oldest = self.real_ms.saturating_sub(MAX_MESSAGE_DELAY_MS);
            self.messages.retain(|message| message.to != ENGINE || message.sent >= oldest);
        }
        for index in 0..NODES {
            if self.processes[index].paused {
                continue;
            }
            self.processes[index].list_age_ms += ms;
            if self.processes[index].list_age_ms > MAX_LIST_DELAY_MS {
                self.deliver_list(index);
            }
        }
    }

    fn deliver_list(&mut self, index: usize) {
        let panel = self.panel();
        self.on_node(index, |node, now| node.on_list(now, panel));
        if !self.processes[index].paused {
            self.processes[index].list_age_ms = 0;
        }
    }

    fn toggle_listed(&mut self, index: usize) {
        let removed = self.listed.len() > MIN_LISTED && self.listed.remove(&index);
        if !removed {
            self.listed.insert(index);
        }
    }

    fn run(&mut self, rounds: u64, round_ms: u64) {
        for _ in 0..rounds {
            self.advance(round_ms);
            let in_flight = std::mem::take(&mut self.messages);
            for index in 0..NODES {
                self.tick(index);
                self.flush(index);
            }
            for message in in_flight {
                if message.delayed {
                    self.messages.push(message);
                } else {
                    self.receive(message);
                }
            }
        }
    }

    fn take(&mut self, pick: usize) -> Option<Message> {
        let pick = pick.checked_rem(self.messages.len())?;
        Some(self.messages.remove(pick))
    }

    fn deliver(&mut self, pick: usize) {
        if let Some(message) = self.take(pick) {
            self.receive(message);
        }
    }

    /// Delays a message to the engine, an unload if there is one.
    fn delay(&mut self, pick: usize) {
        let calls = self.messages.iter_mut().filter(|message| message.to == ENGINE);
        let mut calls: Vec<&mut Message> = calls.collect();
        calls.sort_by_key(|message| !message.is_unload());
        let unloads = calls.partition_point(|message| message.is_unload());
        let count = if unloads > 0 { unloads } else { calls.len() };
        if count > 0 {
            calls[pick % count].delayed = true;
        }
    }

    fn isolate(&mut self, node: usize) {
        self.blocked_links
            .extend((0..NODES).filter(|other| *other != node).map(|other| (node, other)));
    }

    fn duplicate(&mut self, pick: usize) {
        let Some(message) = self.take(pick) else { return };
        if message.from != ENGINE && message.to != ENGINE {
            self.send(message.clone());
        }
        self.send(message);
    }

    fn receive(&mut self, message: Message) {
        let Message { from, incarnation, to, body, .. } = message.clone();
        if self.blocked_links.contains(&(from, to)) || self.blocked_links.contains(&(to, from)) {
            return;
        }
        if to != ENGINE && self.processes[to].paused {
            self.messages.push(message);
            return;
        }
        match body {
            Body::Call { id, fencing, call } => {
                let id = (incarnation << 32) | id;
                let answer = self.engine.handle(from, id, fencing, call);
                self.answer(from, id, answer);
            }
            Body::Answer { id, answer } if self.processes[to].incarnation == incarnation => {
                self.on_node(to, |node, now| node.on_answer(now, id, answer));
            }
            Body::Answer { .. } => {}
            Body::Request(request) => {
                let mut reply = None;
                self.on_node(to, |node, now| reply = Some(node.granter.on_request(now, &request)));
                let Some(reply) = reply else { return };
                let body = Body::Reply(reply);
                self.send(Message {
                    from: to,
                    incarnation,
                    to: from,
                    sent: self.real_ms,
                    body,
                    delayed: false,
                });
            }
            Body::Reply(reply) if self.processes[to].incarnation == incarnation => {
                self.on_node(to, |node, now| node.on_grant(now, &name(from), &reply));
            }
            Body::Reply(_) => {}
            Body::Release(release) => {
                self.on_node(to, |node, _| node.granter.on_release(&release));
            }
        }
    }
}
