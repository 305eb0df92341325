//! Instances that exchange permits, strikes and clearances over a queue of messages.

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

/// Instances; each owns the engine of its number.
pub const OWNERS: usize = 5;
/// The adapter's first engine.
pub const FIRST: usize = 0;
/// The instance that gives the permits.
const HOME: usize = 1;
/// Prompts below this number crash engines.
const POISONS: usize = 2;
pub const PROMPTS: usize = 5;
const MOST_LOST: usize = 2;
const NOW: Timestamp = Timestamp::ZERO;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller's request was routed to an engine.
    Send {
        engine: usize,
        prompt: usize,
    },
    /// A poison on the engine takes effect.
    Crash {
        engine: usize,
    },
    /// A request that does no harm ends.
    Finish {
        engine: usize,
        pick: usize,
    },
    Deliver {
        pick: usize,
    },
    /// News to all is lost; calls with an answer are sent again instead.
    Lose {
        pick: usize,
    },
}

#[derive(Clone, Debug)]
enum Body {
    Ask { asker: usize, run: Run, strikes: Vec<Strike> },
    Confirm { asker: usize, run: Run, strikes: Vec<Strike> },
    Confirmed { asker: usize, run: Run, occupied: bool, strikes: Vec<Strike> },
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
    asking: BTreeSet<RequestId>,
}

pub struct World {
    owners: Vec<Owner>,
    permits: RunPermits,
    messages: Vec<Message>,
    requests: u128,
    /// Engines lost while each poison ran alone or with innocents only.
    pub lost: BTreeMap<usize, usize>,
    /// Crashes that each innocent was caught in.
    caught: BTreeMap<usize, usize>,
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
            lost: BTreeMap::new(),
            caught: BTreeMap::new(),
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
            QuarantineDecision::Run if engine == FIRST => self.start(engine, run),
            QuarantineDecision::Run | QuarantineDecision::Alone => {
                run.permitted = true;
                owner.asking.insert(request);
                let strikes = owner.strike_table.strikes(fingerprint(prompt));
                self.post(HOME, Body::Ask { asker: engine, run, strikes });
            }
        }
    }

    /// Runs the request if the engine's other work allows it, else gives its permit back.
    fn start(&mut self, engine: usize, run: Run) {
        let running = &mut self.owners[engine].running;
        let admitted = !running.iter().any(|run| run.alone) && (running.is_empty() || !run.alone);
        if admitted {
            running.push(run);
        } else if run.permitted {
            self.post(HOME, Body::Finished { run, strike: None });
        }
    }

    fn crash(&mut self, engine: usize) {
        let owner = &mut self.owners[engine];
        if !owner.running.iter().any(|run| run.prompt < POISONS) {
            return;
        }
        let incarnation = Incarnation(owner.incarnation);
        owner.incarnation += 1;
        let running = std::mem::take(&mut owner.running);
        let prompts: BTreeSet<usize> = running.iter().map(|run| run.prompt).collect();
        let poisons = prompts.iter().filter(|prompt| **prompt < POISONS).count();
        for prompt in prompts {
            if prompt >= POISONS {
                *self.caught.entry(prompt).or_default() += 1;
            } else if poisons == 1 {
                *self.lost.entry(prompt).or_default() += 1;
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
                self.post(HOME, Body::Finished { run, strike: Some(strike) });
            }
        }
    }

    fn finish(&mut self, engine: usize, pick: usize) {
        let running = &mut self.owners[engine].running;
        let harmless: Vec<Run> =
            running.iter().filter(|run| run.prompt >= POISONS).copied().collect();
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
            self.post(HOME, Body::Finished { run, strike: None });
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
            Body::Ask { asker, run, strikes } => {
                self.take_strikes(to, strikes);
                self.decide(asker, run, FirstEngineCheck::NotAsked);
            }
            Body::Confirm { asker, run, strikes } => {
                self.take_strikes(to, strikes);
                let owner = &self.owners[to];
                let occupied = owner.running.iter().any(|other| other.prompt == run.prompt);
                let strikes = owner.strike_table.strikes(fingerprint(run.prompt));
                self.post(HOME, Body::Confirmed { asker, run, occupied, strikes });
            }
            Body::Confirmed { asker, run, occupied, strikes } => {
                self.take_strikes(to, strikes);
                let first =
                    if occupied { FirstEngineCheck::Occupied } else { FirstEngineCheck::Confirmed };
                self.decide(asker, run, first);
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

    fn decide(&mut self, asker: usize, run: Run, first: FirstEngineCheck) {
        let key = fingerprint(run.prompt);
        let decision = self.owners[HOME].strike_table.decision(NOW, key);
        let reply = self.permits.ask(NOW, key, run.request, decision, first);
        if reply == PermitReply::AskFirst {
            let strikes = self.owners[HOME].strike_table.strikes(key);
            self.post(FIRST, Body::Confirm { asker, run, strikes });
        } else {
            self.post(asker, Body::Reply { run, reply });
        }
    }

    fn on_reply(&mut self, engine: usize, run: Run, reply: PermitReply) {
        if !self.owners[engine].asking.remove(&run.request) {
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

    /// Looks at the strikes again: one may have come while the permit was asked for.
    fn start_permitted(&mut self, engine: usize, run: Run) {
        let decision = self.owners[engine].strike_table.decision(NOW, fingerprint(run.prompt));
        if matches!(decision, QuarantineDecision::Refuse { .. }) {
            self.refused.insert(run.prompt);
            self.post(HOME, Body::Finished { run, strike: None });
            return;
        }
        self.start(engine, run);
    }

    pub fn check(&self) {
        for (prompt, lost) in &self.lost {
            assert!(*lost <= MOST_LOST, "poison {prompt} ended {lost} engines");
        }
        for prompt in self.refused.iter().filter(|prompt| **prompt >= POISONS) {
            let caught = self.caught.get(prompt).copied().unwrap_or_default();
            assert!(caught >= 2, "innocent {prompt} was refused after {caught} crashes");
        }
    }
}
