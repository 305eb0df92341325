//! Structured log of a relay: a closed list of events, each written as one JSON line.
//!
//! A line names the decision, its subject and its inputs. The writer behind the log never
//! blocks; it drops lines when it can't keep up.

use serde::Serialize;

use super::attempt_failure::AttemptFailure;
use super::caller_account::RefusedKey;
use super::log_line;
use super::node::unix_ms;
use super::version_source::VersionSource;

/// One log event; its name and fields are those of the JSON line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent<'a> {
    /// A request is sent to a replica.
    RequestSent {
        /// Id of the request.
        id: &'a str,
        /// Name of its route.
        route: &'a str,
        /// The replica.
        replica: &'a str,
        /// Version of the configuration in effect; 0 if none.
        config: u64,
        /// How often it was sent before.
        sends: u32,
        /// Time since its arrival, in ms.
        waited_ms: u128,
        /// Requests of all instances at the replica, as far as known.
        busy: u32,
        /// Prompt tokens of these requests that the replica has yet to read.
        unread_tokens: u64,
        /// Factor by which work takes longer there than at a typical replica of the service.
        slowness: f64,
    },
    /// A request has waited for its adapter to be loaded.
    RequestWaited {
        /// Id of the request.
        id: &'a str,
        /// The adapter.
        adapter: &'a str,
        /// Replicas that could load it.
        targets: usize,
        /// Length of the wait, in ms.
        waited_ms: u128,
    },
    /// A request ended without a replica's response to forward.
    RequestEnded {
        /// Id of the request.
        id: &'a str,
        /// Reason by which the relay's own response is chosen.
        outcome: &'a str,
        /// How often it was sent.
        sends: u32,
        /// Time since its arrival, in ms.
        waited_ms: u128,
    },
    /// A request was refused before it was sent to any replica.
    RequestRefused {
        /// Id of the request; empty if it can't be read.
        id: &'a str,
        /// Reason by which the relay's own response is chosen.
        outcome: &'a str,
        /// Version of the configuration in effect; 0 if none.
        config: u64,
        /// Path of the request, or the error in its head.
        detail: &'a str,
        /// What was found out of its API key; `None` if that isn't why.
        #[serde(flatten)]
        key: Option<RefusedKey>,
    },
    /// A replica hasn't sent anything for long; its attempt or stream stays open.
    ReplicaSilent {
        /// Id of the request.
        id: &'a str,
        /// The replica.
        replica: &'a str,
        /// Time since the request arrived, in ms.
        waited_ms: u128,
        /// Whether another replica is tried beside it.
        tries_another: bool,
    },
    /// A silent replica went on with its stream before another one could resume it.
    StreamWentOn {
        /// Id of the request.
        id: &'a str,
        /// The replica.
        replica: &'a str,
    },
    /// The time limit of a request was over before its response was complete.
    DeadlinePassed {
        /// Id of the request.
        id: &'a str,
        /// Time since its arrival, in ms.
        waited_ms: u128,
        /// The limit, by its caller or its route, in ms.
        limit_ms: u128,
        /// Version of the configuration under which it was accepted.
        accepted_under: u64,
        /// Version of the configuration in effect; 0 if none.
        config: u64,
    },
    /// An attempt ended without a response to forward.
    AttemptFailed {
        /// Id of the request.
        id: &'a str,
        /// The replica.
        replica: &'a str,
        /// Kind of failure.
        reason: AttemptFailure,
        /// Error or status; may be empty.
        detail: &'a str,
    },
    /// A connection broke while a request ran, which is suspected of crashing the replica.
    RequestStrike {
        /// Id of the request.
        id: &'a str,
        /// The replica.
        replica: &'a str,
        /// Strikes against the request so far.
        strikes: u32,
    },
    /// A request wasn't sent, since a part of its prompt is quarantined.
    RequestQuarantined {
        /// Id of the request.
        id: &'a str,
        /// Id of the part, in hexadecimal.
        part: &'a str,
        /// Time until the caller should come back, in ms.
        left_ms: u128,
    },
    /// A request is sent although a part of its prompt is quarantined, to probe that part.
    PromptPartProbed {
        /// Id of the request.
        id: &'a str,
        /// Id of the part, in hexadecimal.
        part: &'a str,
    },
    /// A prompt part was quarantined, or released.
    PromptPartQuarantine {
        /// Id of the part, in hexadecimal.
        part: &'a str,
        /// Whether it is quarantined now.
        quarantined: bool,
        /// Weight of the crashes at which replicas had it.
        score: u32,
    },
    /// A replica broke a stream off.
    StreamBroke {
        /// Id of the request.
        id: &'a str,
        /// The replica.
        replica: &'a str,
        /// Ids of the parts that its prompt shares with others, in hexadecimal.
        parts: &'a [String],
        /// Time from the first data of the response to the last, in ms.
        lasted_ms: u128,
        /// The error.
        detail: &'a str,
    },
    /// A replica brought the first event of a stream.
    StreamBegan {
        /// Id of the request.
        id: &'a str,
        /// The replica.
        replica: &'a str,
        /// Software version of the replica, to which the stream is bound from now on.
        software: &'a str,
    },
    /// Whether a caller's stream that it takes up may go on, and at which software version.
    ResumptionDecided {
        /// Id of the request.
        id: &'a str,
        /// Id under which the stream began, if the caller names it.
        resumes: Option<&'a str>,
        /// The version; `None` if it isn't known, so that the request is refused.
        software: Option<&'a str>,
        /// How the version is known.
        source: VersionSource,
        /// Number of instances that were asked.
        asked: usize,
        /// Number of these that answered in time.
        answered: usize,
        /// Number of replicas whose KV caches were looked at.
        caches: usize,
        /// A replica whose KV cache holds the whole prompt.
        cached_at: Option<&'a str>,
        /// Age of that information, in ms.
        cache_age_ms: Option<u128>,
        /// Time over which all replicas that left are known, in ms; 0 if that isn't known.
        covers_ms: u64,
    },
    /// The store's history was read for replicas that left before this instance followed them.
    HistoryRead {
        /// Revision after which all changes were read.
        after: u64,
        /// Number of those that left, and of which the history has an entry.
        departed: usize,
        /// Number of those of which it has none.
        unidentified: usize,
    },
    /// A stream is to resume at another replica.
    StreamResumes {
        /// Id of the request.
        id: &'a str,
        /// Id of the event after which it resumes, if any.
        after: Option<&'a str>,
    },
    /// A stream to a caller was aborted.
    StreamCut {
        /// Id of the request.
        id: &'a str,
        /// Reason.
        reason: &'a str,
    },
    /// No replica had loaded an adapter in time.
    LoadLate {
        /// The adapter.
        adapter: &'a str,
    },
    /// A call to another instance failed.
    PeerFailed {
        /// What was asked.
        what: &'a str,
        /// Replica that the call was about, or else the instance or address that was called.
        subject: &'a str,
        /// The error.
        detail: &'a str,
    },
    /// A call of another instance can't be served and was refused.
    PeerRefused {
        /// Path of the call.
        path: &'a str,
        /// The error.
        detail: &'a str,
    },
    /// This instance acquired the lease on a replica's orders, or lost it.
    OrdersHeld {
        /// The replica.
        replica: &'a str,
        /// Whether the lease is held now.
        held: bool,
        /// Number of orders that the replica has accepted.
        orders: u64,
    },
    /// This instance took over a replica's orders from another one.
    OrdersTakenOver {
        /// The replica.
        replica: &'a str,
        /// Number of orders that the replica has accepted.
        orders: u64,
        /// Fencing number of the new lease.
        fence: u64,
        /// Time for which no order is given, in ms, as this instance ordered the replica lately.
        wait_ms: u128,
    },
    /// This instance handed over a replica's orders to another one.
    OrdersHandedOver {
        /// The replica.
        replica: &'a str,
        /// Instance that should give the orders.
        heir: &'a str,
        /// Whether that instance accepted.
        taken: bool,
    },
    /// An order was sent to a replica.
    OrderGiven {
        /// The replica.
        replica: &'a str,
        /// The order.
        order: &'a str,
        /// Fencing number of the lease.
        fence: u64,
        /// Number of orders that the replica must have accepted.
        expected: u64,
        /// The replica's answer, or `None`.
        answer: &'a str,
    },
    /// A call to a replica for a report or order failed.
    ReplicaCallFailed {
        /// The replica.
        replica: &'a str,
        /// The error.
        detail: &'a str,
    },
    /// A newer traffic configuration is in effect.
    ConfigTaken {
        /// Its version.
        version: u64,
        /// Version that was in effect before; 0 if none.
        before: u64,
        /// Revision at which it was published.
        rev: u64,
        /// Its size, in bytes.
        size: usize,
        /// Instance from which it was taken; none if it was read from the store.
        from: Option<&'a str>,
        /// Time since a peer was known to have a later version than this instance, in ms; none if
        /// no peer was.
        lacked_ms: Option<u128>,
    },
    /// The version of an adapter was declared.
    VersionDeclared {
        /// The adapter.
        adapter: &'a str,
        /// Declared version.
        version: u64,
    },
    /// A replica is new or has restarted.
    ReplicaKnown {
        /// The replica.
        replica: &'a str,
        /// State of the replica.
        state: &'a str,
        /// Revision at which its entry was published.
        rev: u64,
    },
    /// A replica's entry was removed.
    ReplicaRemoved {
        /// The replica.
        replica: &'a str,
        /// Whether it may have expired in an outage of the published state.
        after_outage: bool,
    },
    /// A replica said in an answer that it is leaving; it gets no new requests.
    ReplicaLeaving {
        /// The replica.
        replica: &'a str,
        /// Instance that got the answer.
        by: &'a str,
    },
    /// A replica asked for a pause when it refused a request; it gets nothing until that is over.
    ReplicaPaused {
        /// The replica.
        replica: &'a str,
        /// Length of the pause, in ms.
        pause_ms: u128,
    },
    /// A replica asked for a pause of invalid or excessive length; logged once for a replica.
    ReplicaPauseInvalid {
        /// The replica.
        replica: &'a str,
    },
    /// A published item can't be decoded and is skipped, or a value can't be encoded.
    Undecodable {
        /// Key or name of it.
        what: &'a str,
        /// The error.
        detail: &'a str,
    },
}

#[derive(Serialize)]
struct LogLine<'a, E> {
    at_ms: u64,
    #[serde(flatten)]
    event: &'a E,
}

/// Writes a [`LogEvent`], or an event of another such list, to the log as one JSON line of bounded length.
pub fn record<E: Serialize>(event: &E) {
    match log_line::encode(&LogLine { at_ms: unix_ms(), event }) {
        Ok(line) => log::info!("{line}"),
        Err(e) => log::error!("log event can't be encoded as JSON and is dropped: {e}"),
    }
}
