//! Permits to run a request elsewhere than on its first engine, or after a strike.
//!
//! The first engine of an adapter runs a request without a permit as long as its
//! owner knows of no strike. Everything else needs a permit from the
//! fingerprint's home instance, which grants one at a time. Once a strike is
//! known, the home instance also asks the owner of the first engine before it
//! grants a permit, so no strike stays unknown to both. One fingerprint can end
//! at most two engines, however late the strikes are spread.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use super::PermitReply;
use super::QuarantineDecision;
use crate::names::RequestId;
use crate::names::Timestamp;

/// Time after which a permit expires, in case its requester was lost.
const PERMIT_TERM: Duration = Duration::from_secs(120);
/// Time after which to ask again while another copy of the request may run.
const BUSY_RETRY: Duration = Duration::from_millis(200);
/// Most permits that a home instance has granted at once, to bound memory.
const MAX_PERMITS: usize = 8192;

/// Whether the first engine runs a request, as its owner says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstEngineCheck {
    /// Its owner wasn't asked.
    NotAsked,
    /// The request runs there, or its owner can't be reached.
    Occupied,
    /// The request doesn't run there, and each side knows the other's strikes.
    Confirmed,
}

/// A granted permit.
#[derive(Clone, Copy, Debug)]
struct Permit {
    request: RequestId,
    expires_at: Timestamp,
}

/// The permits that one instance grants as home instance.
#[derive(Clone, Debug, Default)]
pub struct RunPermits {
    granted: BTreeMap<Fingerprint, Permit>,
}

impl RunPermits {
    /// Decides on a request for the permit of a fingerprint; repeats for one request are harmless.
    ///
    /// `decision` is the home instance's, after it recorded the strikes of whoever asks.
    pub fn on_permit_request(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        request: RequestId,
        decision: QuarantineDecision,
        first: FirstEngineCheck,
    ) -> PermitReply {
        self.granted.retain(|_, permit| permit.expires_at > now);
        let alone = match decision {
            QuarantineDecision::Refuse { retry_after } => {
                return PermitReply::Refused { retry_after };
            }
            QuarantineDecision::Alone => true,
            QuarantineDecision::Run => false,
        };
        if !self.can_grant(fingerprint, request) || first == FirstEngineCheck::Occupied {
            return PermitReply::Busy { retry_after: BUSY_RETRY };
        }
        if alone && first == FirstEngineCheck::NotAsked {
            return PermitReply::AskFirst;
        }
        let permit = Permit { request, expires_at: now + PERMIT_TERM };
        self.granted.insert(fingerprint, permit);
        PermitReply::Granted { alone }
    }

    /// Ends a permit with its request; a strike must have been recorded before.
    pub fn finish(&mut self, fingerprint: Fingerprint, request: RequestId) {
        if self.granted.get(&fingerprint).is_some_and(|permit| permit.request == request) {
            self.granted.remove(&fingerprint);
        }
    }

    fn can_grant(&self, fingerprint: Fingerprint, request: RequestId) -> bool {
        match self.granted.get(&fingerprint) {
            Some(permit) => permit.request == request,
            None => self.granted.len() < MAX_PERMITS,
        }
    }
}
