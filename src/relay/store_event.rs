//! Log events of the published state and its store.

use serde::Serialize;

use crate::decide::config_freshness::ConfigTrust;

/// Where a part of the published state is had from.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishedSource {
    /// Its store.
    Store,
    /// Other instances.
    Peers,
}

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
        /// Time since the first failure, in ms; above 0 if there was no line for it.
        failing_ms: u64,
        /// Failures since then.
        failures: u64,
        /// Number of earlier outages without a line since the last such line.
        unlogged: u64,
    },
    /// A part of the published state still can't be read; comes at growing intervals, and for a new error.
    PublishedFailing {
        /// Part of the published state.
        topic: &'a str,
        /// The last error.
        detail: &'a str,
        /// Time since that error came first, in ms.
        since_ms: u64,
        /// How often it came.
        count: u64,
        /// Time since the first failure, in ms.
        failing_ms: u64,
        /// Failures since then, of all kinds.
        failures: u64,
    },
    /// A part of the published state can be read again, or is had from other instances.
    PublishedRegained {
        /// Part of the published state.
        topic: &'a str,
        /// Where it is had from.
        by: PublishedSource,
        /// Time since the first failure, in ms.
        lasted_ms: u128,
        /// Failures in that time.
        failures: u64,
    },
    /// Listings of a part of the published state fail, so the next one is made in another way.
    ListingChanged {
        /// Part of the published state.
        topic: &'a str,
        /// The next way.
        way: &'a str,
        /// Why the last listing failed.
        detail: &'a str,
    },
    /// The whole of a part of the published state was listed after listings had failed.
    ListedWhole {
        /// Part of the published state.
        topic: &'a str,
        /// Way in which it was listed.
        way: &'a str,
    },
    /// What could be read of a listing was taken; nothing counts as removed, and changes are followed.
    PartTaken {
        /// Part of the published state.
        topic: &'a str,
        /// Way in which it was listed.
        way: &'a str,
        /// Revision from which changes are followed.
        as_of: u64,
        /// Number of items.
        items: usize,
        /// Why there is no more.
        detail: &'a str,
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
    /// A peer has changes that this instance lacks.
    ChangesLacked {
        /// Part of the published state.
        topic: &'a str,
        /// Revision of the newest one.
        newest: u64,
        /// Revision up to which this instance has them.
        as_of: Option<u64>,
        /// Address of the peer.
        by: &'a str,
    },
    /// An instance was asked for pieces of a large value.
    ValueAsked {
        /// Identity of the value.
        value: &'a str,
        /// Size of the value, in bytes.
        size: u32,
        /// Address of the instance.
        from: &'a str,
        /// Bytes that it sent.
        bytes: usize,
        /// Time since the first ask, in ms.
        took_ms: u128,
        /// How it ended: served, unknown, or why it failed.
        end: &'a str,
    },
    /// A large value was received.
    ValueReceived {
        /// Identity of the value.
        value: &'a str,
        /// Key of its item.
        key: &'a str,
        /// Size of the value, in bytes.
        size: usize,
        /// Bytes that were sent for it.
        encoded: usize,
        /// Whether these were the difference from a former value.
        is_difference: bool,
        /// Times that an instance served others first.
        busy: u32,
        /// Time since the first ask, in ms.
        took_ms: u128,
    },
    /// A large value can't be had from any instance that is known to have it.
    ValueLost {
        /// Identity of the value.
        value: &'a str,
        /// Key of its item.
        key: &'a str,
        /// The error.
        detail: &'a str,
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
