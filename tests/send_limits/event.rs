//! Events of the model.

use tamaracklead::decide::send_limits::NamedLimits;
use tamaracklead::decide::send_limits::PermitId;
use tamaracklead::decide::send_limits::Verdict;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;

use crate::replica::Reception;

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Request {
    pub instance: usize,
    pub tries: u32,
    pub serial: u64,
}

/// What happens next.
#[derive(Clone, Debug)]
pub enum Event {
    Arrival,
    Ask {
        counter: usize,
        replica: usize,
        request: Request,
        limits: NamedLimits,
    },
    Answer {
        replica: usize,
        request: Request,
        verdict: Verdict,
        counter: Option<usize>,
    },
    NoAnswer {
        replica: usize,
        request: Request,
    },
    Send {
        replica: usize,
        request: Request,
        sent_at: Timestamp,
        counter: Option<usize>,
    },
    End {
        replica: usize,
        request: Request,
        sent_at: Timestamp,
        counter: Option<usize>,
        reception: Reception,
    },
    Told {
        counter: usize,
        replica: usize,
        id: PermitId,
        was_rejected: bool,
    },
    News {
        to: usize,
        replica: usize,
        named: NamedLimits,
        heard_at: Timestamp,
    },
    Restart(usize),
    Thaw(usize),
}

impl Request {
    /// Permit of its present try.
    pub fn permit_id(&self) -> PermitId {
        let user = InstanceName::new(&format!("e{}", self.instance));
        PermitId { user, serial: self.serial * 16 + u64::from(self.tries) }
    }
}
