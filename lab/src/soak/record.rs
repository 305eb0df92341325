//! What callers and backend servers saw during a soak, with times from its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tamaracklead_standin::Piece;

/// Entries of one kind that a record keeps; further ones are only counted.
const MAX_ENTRIES: usize = 1_000_000;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once; run by a model engine.
    Safe,
    /// May run at most once in each attempt; run by a desk.
    Unsafe,
    /// A stream that may be resumed; run by a model engine.
    Stream,
}

/// Part of a stream that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// When.
    pub at: Duration,
    /// Id of the event; `None` if it has none or an unreadable one.
    pub id: Option<u64>,
    /// Its content; `None` if that is not a whole piece.
    pub piece: Option<Piece>,
}

/// Where a stream is taken up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUp {
    /// Last event that the caller has.
    pub after: u64,
    /// Attempt that brought the first event.
    pub resumes: String,
}

/// Response to an attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Status; `None` if the connection ended before.
    pub status: Option<u16>,
    /// Whether it bears a backend server's seal.
    pub is_sealed: bool,
    /// Attempt that it names.
    pub id: Option<String>,
    /// Whether the body ended as it should.
    pub is_complete: bool,
    /// Body; `None` if it isn't a whole piece or the response is a stream.
    pub piece: Option<Piece>,
    /// Events of a stream.
    pub events: Vec<StreamEvent>,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Number of the request; attempts of a request are in the order in which they were sent.
    pub request: u64,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Path, which no other request has.
    pub path: String,
    /// Adapter that it names; empty if none.
    pub adapter: String,
    /// Index of the instance that it was sent to.
    pub entry: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When its response had ended.
    pub ended: Duration,
    /// Where the stream is taken up; `None` at its beginning.
    pub taken_up: Option<TakenUp>,
    /// The response.
    pub answer: Answer,
}

/// A request with all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// Number of the request.
    pub request: u64,
    /// Kind.
    pub kind: RequestKind,
    /// When its first attempt was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Whether a whole and successful response came.
    pub is_served: bool,
}

/// A request that reached a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Duration,
    /// Id of the attempt.
    pub id: String,
    /// Id of the backend server.
    pub server: Arc<str>,
    /// Start of the backend server, in milliseconds of Unix time.
    pub born: u64,
    /// Whether the server is a desk.
    pub is_desk: bool,
    /// Path.
    pub path: String,
    /// Last event that the receiver has, for a stream that is taken up.
    pub after: Option<u64>,
    /// First piece of the run, or the status of the refusal.
    pub run: Result<Piece, u16>,
}

/// An order that reached a backend server.
#[derive(Clone, Debug)]
pub struct OrderArrival {
    /// When.
    pub at: Duration,
    /// Id of the backend server.
    pub server: Arc<str>,
    /// Start of the backend server, in milliseconds of Unix time.
    pub born: u64,
    /// Instance that sent it.
    pub holder: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// Status of the answer.
    pub status: u16,
    /// Whether it would load more adapters than there are places.
    pub exceeds_places: bool,
}

/// A backend server's leaving, acknowledged by the store.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// When.
    pub at: Duration,
    /// Id of the backend server.
    pub server: Arc<str>,
    /// Start of the backend server, in milliseconds of Unix time.
    pub born: u64,
}

/// A new version of an adapter, acknowledged by the store.
#[derive(Clone, Debug)]
pub struct DeclaredVersion {
    /// When.
    pub at: Duration,
    /// Name of the adapter.
    pub adapter: Arc<str>,
    /// Version.
    pub version: u64,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Addresses of the instances that callers use.
    pub entries: Vec<SocketAddr>,
    /// Attempts, in the order in which their responses ended.
    pub attempts: Vec<Attempt>,
    /// Requests that are over.
    pub outcomes: Vec<RequestOutcome>,
    /// Requests at backend servers.
    pub arrivals: Vec<Arrival>,
    /// Orders at backend servers.
    pub orders: Vec<OrderArrival>,
    /// Backend servers that leave.
    pub leavings: Vec<Leaving>,
    /// Versions of adapters.
    pub versions: Vec<DeclaredVersion>,
    /// Entries that were not kept.
    pub omitted: u64,
}

/// Record of a soak, shared by all who add to it.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    seen: Mutex<Seen>,
}

impl Record {
    /// An empty record of a soak that starts at `start`.
    pub fn new(start: Instant) -> Self {
        Self::of(start, Seen::default())
    }

    /// A record that holds this.
    pub fn of(start: Instant, seen: Seen) -> Self {
        Self { start, seen: Mutex::new(seen) }
    }

    /// Time from the start of the soak.
    pub fn time_of(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start)
    }

    /// All that was seen so far.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an attempt.
    pub fn add_attempt(&self, attempt: Attempt) {
        self.add(|seen| &mut seen.attempts, attempt);
    }

    /// Adds a request that is over.
    pub fn add_outcome(&self, outcome: RequestOutcome) {
        self.add(|seen| &mut seen.outcomes, outcome);
    }

    /// Adds a request at a backend server.
    pub fn add_arrival(&self, arrival: Arrival) {
        self.add(|seen| &mut seen.arrivals, arrival);
    }

    /// Adds an order at a backend server.
    pub fn add_order(&self, order: OrderArrival) {
        self.add(|seen| &mut seen.orders, order);
    }

    /// Adds the leaving of a backend server.
    pub fn add_leaving(&self, leaving: Leaving) {
        self.add(|seen| &mut seen.leavings, leaving);
    }

    /// Adds a version of an adapter.
    pub fn add_version(&self, version: DeclaredVersion) {
        self.add(|seen| &mut seen.versions, version);
    }

    fn add<T>(&self, list: impl Fn(&mut Seen) -> &mut Vec<T>, entry: T) {
        let mut seen = self.seen();
        if list(&mut seen).len() < MAX_ENTRIES {
            list(&mut seen).push(entry);
        } else {
            seen.omitted += 1;
        }
    }
}
