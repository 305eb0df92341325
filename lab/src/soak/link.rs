//! Links that faults disturb together.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracklead_standin::Disturbance;
use tamaracklead_standin::Gate;

use super::LinkFault;

const DELAY: Duration = Duration::from_millis(150);

/// Links to the same or several targets, and the faults that disturb them now.
pub struct LinkSet {
    gates: Vec<Gate>,
    faults: Vec<LinkFault>,
}

impl LinkSet {
    /// Links that nothing disturbs.
    pub fn new(gates: Vec<Gate>) -> Self {
        Self { gates, faults: Vec::new() }
    }

    /// Where the link of this position is reached.
    pub fn addr(&self, position: usize) -> SocketAddr {
        self.gates[position].addr
    }

    /// Begins a fault; the one that began last determines what the links do.
    pub fn begin(&mut self, fault: LinkFault) {
        if fault == LinkFault::Reset {
            self.gates.iter().for_each(Gate::reset_open);
        } else {
            self.faults.push(fault);
            self.apply();
        }
    }

    /// Ends a fault.
    pub fn end(&mut self, fault: LinkFault) {
        if let Some(index) = self.faults.iter().position(|one| *one == fault) {
            self.faults.remove(index);
            self.apply();
        }
    }

    fn apply(&self) {
        let disturbance = self.faults.last().and_then(|fault| match fault {
            LinkFault::Delay => Some(Disturbance::Delays(DELAY)),
            LinkFault::CutOneWay => Some(Disturbance::LosesResponses),
            LinkFault::Silence => Some(Disturbance::Silent),
            LinkFault::Reset => None,
        });
        for gate in &self.gates {
            gate.disturb(disturbance);
        }
    }
}
