//! The instances, which exchange permits, strikes and clearances over a faulty network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tamaracklead::decide::quarantine::Clearance;
use tamaracklead::decide::quarantine::Fingerprint;
use tamaracklead::decide::quarantine::FirstEngineCheck;
use tamaracklead::decide::quarantine::PermitReply;
use tamaracklead::decide::quarantine::QuarantineDecision;
use tamaracklead::decide::quarantine::RunPermits;
use tamaracklead::decide::quarantine::Strike;
use tamaracklead::decide::quarantine::StrikeTable;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::Incarnation;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;

/// Number of instances; each owns the engine with its index.
pub const OWNERS: usize = 5;
/// The adapter's first engine.
pub const FIRST_ENGINE: usize = 0;
/// The home instance of every fingerprint, which grants the permits.
const HOME_INSTANCE: usize = 1;
/// Prompts with an index below this crash engines.
const POISON_PROMPTS: usize = 2;
pub const PROMPTS: usize = 5;
const MAX_LOST_ENGINES: usize = 2;
const NOW: Timestamp = Timestamp::ZERO;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller's request is routed to an engine.
    Send {
        engine: usize,
        prompt: usize,
    },
    /// The engine crashes if it runs a poison request.
    Crash {
        engine: usize,
    },
    /// A harmless request ends.
    Finish {
        engine: usize,
        pick: usize,
    },
    Deliver {
        pick: usize,
    },
    /// A broadcast message is lost; calls are never lost, as their senders would repeat them.
    Lose {
        pick: usize,
    },
}

#[derive(Clone, Debug)]
enum Body {
    Ask { requester: usize, run: Run, strikes: Vec<Strike> },
    Confirm { requester: usize, run: Run, strikes: Vec<Strike> },
    Confirmed { requester: usize, run: Run, occupied: bool, strikes: Vec<Strike> },
    Reply { run: Run, reply: PermitReply },
    Finished { run: Run, strike: Option<Strike> },
    Struck(Strike),
    Cleared(Clearance),
}

#[derive(Clone, Debug)]
struct Message {
    to: usize,
    body: Body,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Run {
    request: RequestId,
    prompt: usize,
    alone: bool,
    permitted: bool,
}

#[derive(Default)]
struct Owner {
    strike_table: StrikeTable,
    incarnation: u64,
    running: Vec<Run>,
    awaiting_permit: BTreeSet<RequestId>,
}

pub struct World {
    owners: Vec<Owner>,
    permits: RunPermits,
    messages: Vec<Message>,
    requests: u128,
    /// Engines lost to each poison request while no other poison request ran there.
    pub engines_lost: BTreeMap<usize, usize>,
    /// Crashes during which each harmless request ran on the engine.
    crashes_seen: BTreeMap<usize, usize>,
    refused: BTreeSet<usize>,
}

fn fingerprint(prompt: usize) -> Fingerprint {
    let adapter = AdapterRef::new(AdapterName::new("a"), Version(1));
    Fingerprint::of(&adapter, &prompt.to_string(), 1)
}

impl World {
    pub fn new() -> Self {
        Self {
            owners: (0..OWNERS).map(|_| Owner::default()).collect(),
            permits: RunPermits::default(),
            messages: Vec::new(),
            requests: 0,
            engines_lost: BTreeMap::new(),
            crashes_seen: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Send { engine, prompt } => self.send(engine, prompt),
            Step::Crash { engine } => self.crash(engine),
            Step::Finish { engine, pick } => self.finish(engine, pick),
            Step::Deliver { pick } => self.deliver(pick),
            Step::Lose { pick } => self.lose(pick),
        }
    }

    fn post(&mut self, to: usize, body: Body) {
        self.messages.push(Message { to, body });
    }

    fn post_all(&mut self, body: &Body) {
        for to in 0..OWNERS {
            self.post(to, body.clone());
        }
    }

    fn send(&mut self, engine: usize, prompt: usize) {
        self.requests += 1;
        let request = RequestId(self.requests);
        let mut run = Run { request, prompt, alone: false, permitted: false };
        let owner = &mut self.owners[engine];
        match owner.strike_table.decision(NOW, fingerprint(prompt)) {
            QuarantineDecision::Refuse { .. } => {
                self.refused.insert(prompt);
            }
            QuarantineDecision::Run if engine == FIRST_ENGINE => self.start(engine, run),
            QuarantineDecision::Run | QuarantineDecision::Alone => {
                run.permitted = true;
                owner.awaiting_permit.insert(request);
                let strikes = owner.strike_table.strikes(fingerprint(prompt));
                self.post(HOME_INSTANCE, Body::Ask { requester: engine, run, strikes });
            }
        }
    }

    /// Runs the request if the engine's other work allows it, else returns its permit.
    fn start(&mut self, engine: usize, run: Run) {
        let running = &mut self.owners[engine].running;
        let admitted = !running.iter().any(|run| run.alone) && (running.is_empty() || !run.alone);
        if admitted {
            running.push(run);
        } else if run.permitted {
            self.post(HOME_INSTANCE, Body::Finished { run, strike: None });
        }
    }

    fn crash(&mut self, engine: usize) {
        let owner = &mut self.owners[engine];
        if !owner.running.iter().any(|run| run.prompt < POISON_PROMPTS) {
            return;
        }
        let incarnation = Incarnation(owner.incarnation);
        owner.incarnation += 1;
        let running = std::mem::take(&mut owner.running);
        let prompts: BTreeSet<usize> = running.iter().map(|run| run.prompt).collect();
        let poison_count = prompts.iter().filter(|prompt| **prompt < POISON_PROMPTS).count();
        for prompt in prompts {
            if prompt >= POISON_PROMPTS {
                *self.crashes_seen.entry(prompt).or_default() += 1;
            } else if poison_count == 1 {
                *self.engines_lost.entry(prompt).or_default() += 1;
            }
        }
        for run in running {
            let strike = Strike {
                fingerprint: fingerprint(run.prompt),
                engine: BackendName::new(&format!("engine-{engine}")),
                incarnation,
            };
            self.owners[engine].strike_table.on_strike(NOW, strike.clone());
            self.post_all(&Body::Struck(strike.clone()));
            if run.permitted {
                self.post(HOME_INSTANCE, Body::Finished { run, strike: Some(strike) });
            }
        }
    }

    fn finish(&mut self, engine: usize, pick: usize) {
        let running = &mut self.owners[engine].running;
        let harmless: Vec<Run> =
            running.iter().filter(|run| run.prompt >= POISON_PROMPTS).copied().collect();
        if harmless.is_empty() {
            return;
        }
        let run = harmless[pick % harmless.len()];
        running.retain(|other| other != &run);
        if run.alone {
            let clearance = self.owners[engine].strike_table.clear(NOW, fingerprint(run.prompt));
            if let Some(clearance) = clearance {
                self.post_all(&Body::Cleared(clearance));
            }
        }
        if run.permitted {
            self.post(HOME_INSTANCE, Body::Finished { run, strike: None });
        }
    }

    fn lose(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let pick = pick % self.messages.len();
        if matches!(self.messages[pick].body, Body::Struck(_) | Body::Cleared(_)) {
            self.messages.remove(pick);
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let Message { to, body } = self.messages.remove(pick % self.messages.len());
        match body {
            Body::Struck(strike) => self.owners[to].strike_table.on_strike(NOW, strike),
            Body::Cleared(clearance) => self.owners[to].strike_table.on_clearance(NOW, &clearance),
            Body::Ask { requester, run, strikes } => {
                self.take_strikes(to, strikes);
                self.decide(requester, run, FirstEngineCheck::NotAsked);
            }
            Body::Confirm { requester, run, strikes } => {
                self.take_strikes(to, strikes);
                let owner = &self.owners[to];
                let occupied = owner.running.iter().any(|other| other.prompt == run.prompt);
                let strikes = owner.strike_table.strikes(fingerprint(run.prompt));
                self.post(HOME_INSTANCE, Body::Confirmed { requester, run, occupied, strikes });
            }
            Body::Confirmed { requester, run, occupied, strikes } => {
                self.take_strikes(to, strikes);
                let first =
                    if occupied { FirstEngineCheck::Occupied } else { FirstEngineCheck::Confirmed };
                self.decide(requester, run, first);
            }
            Body::Reply { run, reply } => self.on_reply(to, run, reply),
            Body::Finished { run, strike } => {
                self.take_strikes(to, strike.into_iter().collect());
                self.permits.finish(fingerprint(run.prompt), run.request);
            }
        }
    }

    fn take_strikes(&mut self, to: usize, strikes: Vec<Strike>) {
        for strike in strikes {
            self.owners[to].strike_table.on_strike(NOW, strike);
        }
    }

    fn decide(&mut self, requester: usize, run: Run, first: FirstEngineCheck) {
        let key = fingerprint(run.prompt);
        let decision = self.owners[HOME_INSTANCE].strike_table.decision(NOW, key);
        let reply = self.permits.on_permit_request(NOW, key, run.request, decision, first);
        if reply == PermitReply::AskFirst {
            let strikes = self.owners[HOME_INSTANCE].strike_table.strikes(key);
            self.post(FIRST_ENGINE, Body::Confirm { requester, run, strikes });
        } else {
            self.post(requester, Body::Reply { run, reply });
        }
    }

    fn on_reply(&mut self, engine: usize, run: Run, reply: PermitReply) {
        if !self.owners[engine].awaiting_permit.remove(&run.request) {
            return;
        }
        match reply {
            PermitReply::Granted { alone } => self.start_permitted(engine, Run { alone, ..run }),
            PermitReply::Refused { .. } => {
                self.refused.insert(run.prompt);
            }
            PermitReply::Busy { .. } | PermitReply::AskFirst => {}
        }
    }

    /// Checks the strikes again: one may have arrived while the permit was requested.
    fn start_permitted(&mut self, engine: usize, run: Run) {
        let decision = self.owners[engine].strike_table.decision(NOW, fingerprint(run.prompt));
        if matches!(decision, QuarantineDecision::Refuse { .. }) {
            self.refused.insert(run.prompt);
            self.post(HOME_INSTANCE, Body::Finished { run, strike: None });
            return;
        }
        self.start(engine, run);
    }

    pub fn check(&self) {
        for (prompt, engines_lost) in &self.engines_lost {
            assert!(
                *engines_lost <= MAX_LOST_ENGINES,
                "poison request {prompt} ended {engines_lost} engines"
            );
        }
        for prompt in self.refused.iter().filter(|prompt| **prompt >= POISON_PROMPTS) {
            let crashes_seen = self.crashes_seen.get(prompt).copied().unwrap_or_default();
            assert!(
                crashes_seen >= 2,
                "harmless request {prompt} was refused after {crashes_seen} crashes"
            );
        }
    }
}
