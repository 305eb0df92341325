//! Log events of the published state and its store.

use serde::Serialize;

use crate::decide::config_freshness::ConfigTrust;

/// One log event; its name and fields are those of the JSON line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StoreEvent<'a> {
    /// The store of the published state was restored from a copy; it is listed anew.
    StoreRestored {
        /// Part of the published state.
        topic: &'a str,
        /// Era before.
        before: u64,
        /// Era now.
        era: u64,
    },
    /// A part of the published state can't be read any more.
    PublishedLost {
        /// Part of the published state.
        topic: &'a str,
        /// The error.
        detail: &'a str,
    },
    /// A part of the published state can be read again.
    PublishedRegained {
        /// Part of the published state.
        topic: &'a str,
    },
    /// The changes after a revision are no longer kept; everything is listed anew.
    HistoryLost {
        /// Part of the published state.
        topic: &'a str,
        /// That revision.
        after: u64,
    },
    /// Changes of a part of the published state were taken from another instance.
    TakenFromPeer {
        /// Part of the published state.
        topic: &'a str,
        /// Revision up to which they are complete.
        as_of: u64,
        /// Whether these are all items instead of changes.
        whole: bool,
        /// Number of changes.
        count: usize,
    },
    /// The configuration in effect can be trusted more or less than before.
    ConfigTrustChanged {
        /// How far it can be trusted.
        trust: ConfigTrust,
        /// How far it could be before.
        before: ConfigTrust,
        /// Time since the store was asked for the state that proves it, in ms; `None` without a
        /// proof.
        age_ms: Option<u64>,
        /// Version in effect; `None` if there is none.
        version: Option<u64>,
        /// Highest version that this instance or a peer has.
        highest: Option<u64>,
    },
}
