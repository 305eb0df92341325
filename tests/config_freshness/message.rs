//! Messages of the model.

use tamaracklead::decide::config_freshness::ConfigProof;
use tamaracklead::names::Timestamp;

/// What instances and the store send each other.
#[derive(Clone, Copy, Debug)]
pub enum Message {
    /// A call to the store, which answers a change at once and else at the time.
    StoreCall {
        asked_at: Timestamp,
        known: u64,
        answer_at: u64,
        kind: Read,
    },
    StoreAnswer {
        asked_at: Timestamp,
        version: u64,
        era: u64,
        kind: Read,
    },
    /// The call of a peer, with the proof that it would give.
    Call {
        from: usize,
        start: u64,
        asked_at: Timestamp,
        unasked: Option<ConfigProof>,
    },
    Reply {
        from: usize,
        sent: u64,
        asked_at: Timestamp,
        proof: Option<ConfigProof>,
    },
    Fetch {
        from: usize,
    },
    Fetched {
        version: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
/// Call to the store.
pub enum Read {
    OldListing,
    Listing,
    Watch,
}
