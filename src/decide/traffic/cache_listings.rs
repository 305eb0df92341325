//! What replicas' KV caches held when they were last asked, shared by the requests of an instance.
//!
//! A replica that left gets no new streams, so what it held once counts for all that began at it.

use std::collections::HashMap;
use std::time::Duration;

use super::CacheHolding;
use super::OriginPresence;
use super::PossibleOrigin;
use super::PromptPart;
use super::STREAM_MEMORY_TIME;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Age from which on a replica is asked again. A call for its listing delays the replica's work, and
/// many streams are taken up at the same time after a loss of all instances.
const RENEWAL_AGE: Duration = Duration::from_secs(1);
/// Age from which on a listing tells nothing; a listing that needs no renewal yet lasts for the request
/// that it was found for.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Age from which on a replica that left and didn't answer is asked again; most have ended.
const FORMER_RETRY_AGE: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct CacheListing {
    started_ms: u64,
    asked_at: Timestamp,
    presence: OriginPresence,
    /// Tokens of each part; `None` if the replica didn't answer.
    tokens: Option<HashMap<u64, u64>>,
}

impl CacheListing {
    /// Age from which on the listing tells nothing.
    fn max_age(&self) -> Duration {
        match self.presence {
            OriginPresence::Listed => MAX_AGE,
            OriginPresence::MayRun | OriginPresence::MayHaveEnded | OriginPresence::Ended => {
                STREAM_MEMORY_TIME
            }
        }
    }

    /// Age from which on the replica is asked again.
    fn renewal_age(&self) -> Duration {
        match (self.presence, &self.tokens) {
            (OriginPresence::Listed, _) => RENEWAL_AGE,
            (_, None) => FORMER_RETRY_AGE,
            (_, Some(_)) => STREAM_MEMORY_TIME,
        }
    }
}

/// The newest listing of each replica's KV cache.
#[derive(Clone, Debug, Default)]
pub struct CacheListings {
    known: HashMap<BackendName, CacheListing>,
}

impl CacheListings {
    /// Records what a replica answered to a call sent at `asked_at`; `None` if it didn't answer. A
    /// part that it lists more than once, for several models, counts with the largest size.
    pub fn on_listing(
        &mut self,
        replica: &PossibleOrigin,
        asked_at: Timestamp,
        parts: Option<&[PromptPart]>,
    ) {
        self.known.retain(|_, listing| asked_at.since(listing.asked_at) < listing.max_age());
        let known = self.listing(replica);
        if parts.is_none() && known.is_some_and(|listing| listing.tokens.is_some()) {
            return;
        }
        let listing = CacheListing {
            started_ms: replica.started_ms,
            asked_at,
            presence: replica.presence,
            tokens: parts.map(largest_sizes),
        };
        self.known.insert(replica.name.clone(), listing);
    }

    /// Whether a replica needn't be asked again.
    pub fn is_recent(&self, now: Timestamp, replica: &PossibleOrigin) -> bool {
        let listing = self.listing(replica);
        listing.is_some_and(|listing| now.since(listing.asked_at) < listing.renewal_age())
    }

    /// What a replica holds of a part; `None` if that isn't known.
    pub fn holding(
        &self,
        now: Timestamp,
        replica: &PossibleOrigin,
        part: u64,
    ) -> Option<CacheHolding> {
        let listing = self.listing(replica)?;
        let age = now.since(listing.asked_at);
        let tokens = listing.tokens.as_ref()?.get(&part).copied().unwrap_or_default();
        (age < listing.max_age()).then_some(CacheHolding { tokens, age })
    }

    /// The listing of this start of a replica. One from before the replica left lacks what it read
    /// until then.
    fn listing(&self, replica: &PossibleOrigin) -> Option<&CacheListing> {
        let listing = self.known.get(&replica.name)?;
        let is_same =
            listing.started_ms == replica.started_ms && listing.presence == replica.presence;
        is_same.then_some(listing)
    }
}

fn largest_sizes(parts: &[PromptPart]) -> HashMap<u64, u64> {
    let mut tokens = HashMap::new();
    for part in parts {
        let known: &mut u64 = tokens.entry(part.id).or_default();
        *known = part.tokens.max(*known);
    }
    tokens
}
