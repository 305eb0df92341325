//! Permits to run a request elsewhere than on its first engine.
//!
//! The first engine of an adapter runs a request without a permit as long as its
//! owner knows of no strike. Everything else needs a permit from the
//! fingerprint's home instance, which gives one at a time. Once a strike is
//! known, the home also asks the owner of the first engine before it gives a
//! permit, so no strike stays unknown to both. Two engines are the most that one
//! fingerprint can end, however late the strikes are spread.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use super::PermitReply;
use super::QuarantineDecision;
use crate::names::RequestId;
use crate::names::Timestamp;

/// Time after which a permit whose holder was lost is given anew.
const PERMIT_TERM: Duration = Duration::from_secs(120);
/// Time after which a refused asker may ask again while another copy runs.
const BUSY_RETRY: Duration = Duration::from_millis(200);
/// Most permits that a home has given at once; bounds memory.
const MAX_PERMITS: usize = 8192;

/// What the owner of the first engine says of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstEngineCheck {
    /// Its owner wasn't asked.
    NotAsked,
    /// The request runs there, or its owner can't be reached.
    Occupied,
    /// The request doesn't run there; its owner's strikes are known here, and ours there.
    Confirmed,
}

/// A permit that was given.
#[derive(Clone, Copy, Debug)]
struct Permit {
    request: RequestId,
    until: Timestamp,
}

/// The permits that one instance gives.
#[derive(Clone, Debug, Default)]
pub struct RunPermits {
    given: BTreeMap<Fingerprint, Permit>,
}

impl RunPermits {
    /// Asks for the permit of a fingerprint; asking again for the same request is harmless.
    ///
    /// `decision` is the home's, after it has taken the asker's strikes.
    pub fn ask(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        request: RequestId,
        decision: QuarantineDecision,
        first: FirstEngineCheck,
    ) -> PermitReply {
        self.given.retain(|_, permit| permit.until > now);
        let alone = match decision {
            QuarantineDecision::Refuse { retry_after } => {
                return PermitReply::Refused { retry_after };
            }
            QuarantineDecision::Alone => true,
            QuarantineDecision::Run => false,
        };
        if !self.is_free(fingerprint, request) || first == FirstEngineCheck::Occupied {
            return PermitReply::Busy { retry_after: BUSY_RETRY };
        }
        if alone && first == FirstEngineCheck::NotAsked {
            return PermitReply::AskFirst;
        }
        let permit = Permit { request, until: now + PERMIT_TERM };
        self.given.insert(fingerprint, permit);
        PermitReply::Granted { alone }
    }

    /// The request under the permit ended; a strike must be in the home's book before.
    pub fn finish(&mut self, fingerprint: Fingerprint, request: RequestId) {
        if self.given.get(&fingerprint).is_some_and(|permit| permit.request == request) {
            self.given.remove(&fingerprint);
        }
    }

    fn is_free(&self, fingerprint: Fingerprint, request: RequestId) -> bool {
        match self.given.get(&fingerprint) {
            Some(permit) => permit.request == request,
            None => self.given.len() < MAX_PERMITS,
        }
    }
}
