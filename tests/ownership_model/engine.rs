//! Model of an engine that carries out every order, with the oracle of what it ran and evicted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tamaracklead::names::AdapterRef;
use tamaracklead::names::FencingNumber;
use tamaracklead::names::Incarnation;
use tamaracklead::names::RequestId;
use tamaracklead::wire::engine::EngineRefusal;
use tamaracklead::wire::engine::EngineReport;
use tamaracklead::wire::engine::LoadedAdapter;
use tamaracklead::wire::listing::FencingMode;

pub const SLOTS: usize = 1;

#[derive(Clone, Debug)]
pub enum Call {
    Running,
    Fence,
    Load(AdapterRef),
    Unload(AdapterRef),
    Dispatch(RequestId, AdapterRef),
}

#[derive(Clone, Debug)]
pub enum Answer {
    Report(EngineReport),
    Done,
    Begun,
    Finished,
    Broken,
    Refused { refusal: EngineRefusal, highest: FencingNumber },
}

/// A running request, and the call that its answer goes to.
#[derive(Clone, Debug)]
pub struct Run {
    pub adapter: AdapterRef,
    pub node: usize,
    pub call: u64,
}

/// The most dangerous engine: it unloads an adapter without checking that it is idle.
pub struct Engine {
    mode: FencingMode,
    incarnation: u64,
    highest: FencingNumber,
    loaded: BTreeSet<AdapterRef>,
    pub running: BTreeMap<RequestId, Run>,
    pub ran: BTreeSet<RequestId>,
    pub violations: Vec<String>,
    pub evictions: usize,
}

impl Engine {
    pub fn new(mode: FencingMode) -> Self {
        Self {
            mode,
            incarnation: 1,
            highest: FencingNumber(0),
            loaded: BTreeSet::new(),
            running: BTreeMap::new(),
            ran: BTreeSet::new(),
            violations: Vec::new(),
            evictions: 0,
        }
    }

    pub fn restart(&mut self) -> Vec<Run> {
        self.incarnation += 1;
        self.highest = FencingNumber(0);
        self.loaded.clear();
        std::mem::take(&mut self.running).into_values().collect()
    }

    pub fn handle(&mut self, node: usize, id: u64, fencing: FencingNumber, call: Call) -> Answer {
        if let Call::Running = call {
            return Answer::Report(self.report());
        }
        if self.mode == FencingMode::Refuse && fencing < self.highest {
            return self.refuse(EngineRefusal::OldFencing);
        }
        self.highest = self.highest.max(fencing);
        match call {
            Call::Running | Call::Fence => Answer::Done,
            Call::Load(adapter) => self.load(adapter),
            Call::Unload(adapter) => self.unload(&adapter),
            Call::Dispatch(request, adapter) => self.run(request, Run { adapter, node, call: id }),
        }
    }

    fn load(&mut self, adapter: AdapterRef) -> Answer {
        if !self.loaded.contains(&adapter) && self.loaded.len() >= SLOTS {
            return self.refuse(EngineRefusal::NoSlot);
        }
        self.loaded.insert(adapter);
        Answer::Done
    }

    fn unload(&mut self, adapter: &AdapterRef) -> Answer {
        for (request, run) in &self.running {
            if &run.adapter == adapter {
                self.violations.push(format!("{adapter} was evicted under request {request}"));
            }
        }
        self.evictions += usize::from(self.loaded.remove(adapter));
        Answer::Done
    }

    fn run(&mut self, request: RequestId, run: Run) -> Answer {
        if !self.loaded.contains(&run.adapter) {
            return self.refuse(EngineRefusal::NotLoaded);
        }
        if !self.ran.insert(request) {
            self.violations.push(format!("request {request} ran twice"));
        }
        self.running.insert(request, run);
        Answer::Begun
    }

    fn refuse(&self, refusal: EngineRefusal) -> Answer {
        Answer::Refused { refusal, highest: self.highest }
    }

    fn report(&self) -> EngineReport {
        let loaded = self.loaded.iter().map(|adapter| LoadedAdapter {
            adapter: adapter.clone(),
            running: self.running.values().filter(|run| &run.adapter == adapter).count() as u32,
        });
        EngineReport {
            incarnation: Incarnation(self.incarnation),
            fencing: self.highest,
            loaded: loaded.collect(),
            age_ms: 0,
            leaving: false,
        }
    }
}
