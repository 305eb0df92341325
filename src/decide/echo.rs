//! Whether an engine's answer belongs to the request, by the identifiers that it echoes.
//!
//! Every event names the request, and the first and last name the adapter and its
//! version. Each event is checked before it is passed on; after the first one
//! that doesn't fit, nothing more of the answer passes.

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::AdapterRef;
use crate::names::RequestId;
use crate::wire::engine::EngineEvent;

/// Phase of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No event came yet.
    Waiting,
    /// The engine echoed request, adapter and version; `tokens` tokens passed since.
    Streaming { tokens: u32 },
    /// The whole answer came.
    Complete,
    /// An event didn't fit; nothing more passes.
    Withheld,
}

/// Checks the events of one answer against its request.
#[derive(Clone, Debug)]
pub struct EchoCheck {
    request_id: RequestId,
    adapter: AdapterRef,
    phase: Phase,
}

impl EchoCheck {
    /// Expects an answer to this request by this adapter and version.
    pub fn new(request_id: RequestId, adapter: AdapterRef) -> Self {
        Self { request_id, adapter, phase: Phase::Waiting }
    }

    /// Whether the whole answer came and every event fits.
    pub fn is_complete(&self) -> bool {
        self.phase == Phase::Complete
    }

    /// Checks the next event; it may be passed on only if this succeeds.
    ///
    /// # Errors
    ///
    /// `WrongAnswer` if the event is of another request, adapter or version, or out of order.
    pub fn on_event(&mut self, event: &EngineEvent) -> Result<()> {
        let checked = self.next_phase(event);
        self.phase = *checked.as_ref().unwrap_or(&Phase::Withheld);
        checked.map(|_| ())
    }

    fn next_phase(&self, event: &EngineEvent) -> Result<Phase> {
        match (self.phase, event) {
            (Phase::Waiting, EngineEvent::Started { request_id, adapter, .. }) => {
                self.check_request(request_id)?;
                self.check_adapter(adapter)?;
                Ok(Phase::Streaming { tokens: 0 })
            }
            (Phase::Streaming { tokens }, EngineEvent::Token { request_id, .. }) => {
                self.check_request(request_id)?;
                Ok(Phase::Streaming { tokens: tokens.saturating_add(1) })
            }
            (
                Phase::Streaming { tokens: passed },
                EngineEvent::Done { request_id, adapter, tokens },
            ) => {
                self.check_request(request_id)?;
                self.check_adapter(adapter)?;
                self.check_count(passed, *tokens)?;
                Ok(Phase::Complete)
            }
            (Phase::Withheld, _) => {
                Err(self.wrong_answer("nothing is passed on after an event that did not fit"))
            }
            (phase, event) => {
                Err(self.wrong_answer(&format!("unexpected event {event:?} in phase {phase:?}")))
            }
        }
    }

    fn check_request(&self, echoed: &RequestId) -> Result<()> {
        if echoed == &self.request_id {
            return Ok(());
        }
        Err(self.wrong_answer(&format!("an event echoes request {echoed}")))
    }

    fn check_adapter(&self, echoed: &AdapterRef) -> Result<()> {
        if echoed == &self.adapter {
            return Ok(());
        }
        Err(self.wrong_answer(&format!("adapter {echoed} answered instead of {}", self.adapter)))
    }

    fn check_count(&self, passed: u32, reported: u32) -> Result<()> {
        if passed == reported {
            return Ok(());
        }
        Err(self
            .wrong_answer(&format!("{passed} tokens arrived, but the engine reports {reported}")))
    }

    fn wrong_answer(&self, fault: &str) -> Error {
        Error::new(ErrorKind::WrongAnswer, format!("request {}: {fault}", self.request_id))
    }
}
