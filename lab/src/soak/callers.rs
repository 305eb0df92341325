//! Callers that send requests at a rate over kept connections and retry as clients may.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead_standin::STREAM_EVENTS;

use super::connection::Received;
use super::entry_pool::EntryPool;
use super::record::Attempt;
use super::record::Record;
use super::record::RequestKind;
use super::record::RequestOutcome;
use super::record::TakenUp;

/// Attempts that a caller makes for a request.
const MAX_ATTEMPTS: usize = 4;
/// Time that callers give a request that is no stream.
const PLAIN_BUDGET: Duration = Duration::from_secs(4);
/// Time that callers give a stream.
const STREAM_BUDGET: Duration = Duration::from_secs(15);
/// Pause after which callers abandon a stream.
const MAX_STREAM_GAP: Duration = Duration::from_secs(2);
/// Pause before a retry for which the instance named none.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Part of the time left for which a named pause is honoured: one in this many.
const HONOURED_ONE_IN: u32 = 3;
/// Requests that are under way at once.
const MAX_UNDER_WAY: usize = 800;
/// Interval at which instances are asked whether they are ready.
const READY_INTERVAL: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What callers send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Number of adapters, `a1` to `aN`.
    pub adapters: u32,
    /// Where instances say whether they are ready; empty if nobody asks.
    pub readiness: Vec<SocketAddr>,
    /// Seed of all that is drawn.
    pub seed: u64,
}

struct Shared {
    pool: EntryPool,
    load: Load,
    record: Arc<Record>,
    is_stopping: AtomicBool,
    under_way: AtomicUsize,
}

/// Running callers.
pub struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts to send requests to instances at these addresses.
    pub fn start(entries: Vec<SocketAddr>, load: Load, record: Arc<Record>) -> Self {
        record.seen().entries.clone_from(&entries);
        let shared = Arc::new(Shared {
            pool: EntryPool::new(entries, load.readiness.clone()),
            load,
            record,
            is_stopping: AtomicBool::new(false),
            under_way: AtomicUsize::new(0),
        });
        let (pacing, asking) = (Arc::clone(&shared), Arc::clone(&shared));
        let threads =
            vec![thread::spawn(move || pace(&pacing)), thread::spawn(move || ask(&asking))];
        Self { shared, threads }
    }

    /// Sends no further requests, and waits until those under way are over.
    pub fn stop(self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A thread that panicked has printed why.
            let _ = thread.join();
        }
        while self.shared.under_way.load(Ordering::Relaxed) > 0 {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn ask(shared: &Shared) {
    while !shared.is_stopping.load(Ordering::Relaxed) {
        shared.pool.ask_readiness();
        thread::sleep(READY_INTERVAL);
    }
}

fn pace(shared: &Arc<Shared>) {
    let interval = Duration::from_secs_f64(1.0 / shared.load.requests_per_s);
    let mut next = Instant::now();
    for request in 1.. {
        while shared.under_way.load(Ordering::Relaxed) >= MAX_UNDER_WAY {
            thread::sleep(POLL_INTERVAL);
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if shared.is_stopping.load(Ordering::Relaxed) {
            return;
        }
        next += interval;
        shared.under_way.fetch_add(1, Ordering::Relaxed);
        let playing = Arc::clone(shared);
        thread::spawn(move || {
            let _guard = UnderWay(&playing);
            Play::new(&playing, request).run();
        });
    }
}

/// Counts a request as over, also if its thread panics.
struct UnderWay<'a>(&'a Shared);

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What follows an attempt.
enum NextStep {
    End { is_served: bool },
    Retry { pause: Duration },
}

/// One request with its attempts.
struct Play<'a> {
    shared: &'a Shared,
    rng: ChaCha8Rng,
    request: u64,
    kind: RequestKind,
    path: String,
    adapter: String,
    start: Instant,
    taken_up: Option<TakenUp>,
}

impl<'a> Play<'a> {
    fn new(shared: &'a Shared, request: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(shared.load.seed);
        rng.set_stream(request);
        let (kind, prefix) = match rng.random_range(0..3) {
            0 => (RequestKind::Safe, "safe"),
            1 => (RequestKind::Unsafe, "unsafe"),
            _ => (RequestKind::Stream, "stream"),
        };
        let adapter = match kind {
            RequestKind::Unsafe => String::new(),
            _ => format!("a{}", rng.random_range(1..=shared.load.adapters)),
        };
        let path = format!("/{prefix}/r{request}");
        Self { shared, rng, request, kind, path, adapter, start: Instant::now(), taken_up: None }
    }

    fn run(mut self) {
        let mut is_served = false;
        for number in 1..=MAX_ATTEMPTS {
            match self.attempt(number) {
                NextStep::End { is_served: served } => {
                    is_served = served;
                    break;
                }
                NextStep::Retry { pause } if pause < self.time_left() => thread::sleep(pause),
                NextStep::Retry { .. } => break,
            }
        }
        let record = &self.shared.record;
        record.add_outcome(RequestOutcome {
            request: self.request,
            kind: self.kind,
            sent: record.time_of(self.start),
            ended: record.time_of(Instant::now()),
            is_served,
        });
    }

    fn budget(&self) -> Duration {
        match self.kind {
            RequestKind::Safe | RequestKind::Unsafe => PLAIN_BUDGET,
            RequestKind::Stream => STREAM_BUDGET,
        }
    }

    fn time_left(&self) -> Duration {
        self.budget().saturating_sub(self.start.elapsed())
    }

    fn attempt(&mut self, number: usize) -> NextStep {
        let shared = self.shared;
        let id = format!("q{}-{number}", self.request);
        let (entry, connection) = match number {
            1 => shared.pool.take(&mut self.rng),
            _ => shared.pool.open(&mut self.rng),
        };
        let Some(mut connection) = connection else {
            return NextStep::Retry { pause: RETRY_PAUSE };
        };
        let sent = Instant::now();
        let max_gap = match self.kind {
            RequestKind::Stream => MAX_STREAM_GAP.min(self.time_left()),
            _ => self.time_left(),
        };
        let max_gap = max_gap.max(Duration::from_millis(1));
        let time_of = |at| shared.record.time_of(at);
        let received = connection.exchange(&self.encode(&id), max_gap, time_of);
        if received.is_kept {
            shared.pool.put_back(entry, connection);
        }
        let next = self.next_step(&received);
        let last = received.answer.events.iter().rev().find_map(|event| event.id);
        let attempt = Attempt {
            id: id.clone(),
            request: self.request,
            kind: self.kind,
            path: self.path.clone(),
            adapter: self.adapter.clone(),
            entry,
            sent: time_of(sent),
            ended: time_of(Instant::now()),
            taken_up: self.taken_up.clone(),
            answer: received.answer,
        };
        shared.record.add_attempt(attempt);
        if let Some(after) = last {
            let resumes = self.taken_up.take().map_or(id, |taken_up| taken_up.resumes);
            self.taken_up = Some(TakenUp { after, resumes });
        }
        next
    }

    fn encode(&self, id: &str) -> String {
        let method = if self.kind == RequestKind::Safe { "GET" } else { "POST" };
        let mut text = format!(
            "{method} {} HTTP/1.1\r\nhost: desk.example\r\nx-tamaracklead-attempt-id: {id}\r\n\
             x-tamaracklead-deadline-ms: {}\r\n",
            self.path,
            self.time_left().as_millis()
        );
        if !self.adapter.is_empty() {
            text.push_str(&format!(
                "x-tamaracklead-model: base/{}\r\nx-tamaracklead-token-counts: 200,20\r\n\
                 x-tamaracklead-prompt-prefix: {:x}:200\r\n",
                self.adapter, self.request
            ));
        }
        if let Some(TakenUp { after, resumes }) = &self.taken_up {
            text.push_str(&format!("last-event-id: {after}\r\nresumes: {resumes}\r\n"));
        }
        text.push_str("content-length: 0\r\n\r\n");
        text
    }

    fn next_step(&self, received: &Received) -> NextStep {
        let answer = &received.answer;
        let left = self.time_left() / HONOURED_ONE_IN;
        let pause = received.retry_after.map_or(RETRY_PAUSE, |named| named.min(left));
        match answer.status {
            Some(200..=299) if answer.is_complete => {
                let before = self.taken_up.as_ref().map(|taken_up| taken_up.after);
                let last = answer.events.last().and_then(|event| event.id).or(before);
                let is_whole = self.kind != RequestKind::Stream || last == Some(STREAM_EVENTS);
                NextStep::End { is_served: answer.is_sealed && is_whole }
            }
            Some(400 | 401 | 404 | 413 | 431) => NextStep::End { is_served: false },
            Some(408 | 421 | 429 | 503) => NextStep::Retry { pause },
            None if received.is_reset_unanswered => NextStep::Retry { pause },
            _ if self.kind == RequestKind::Unsafe => NextStep::End { is_served: false },
            _ => NextStep::Retry { pause },
        }
    }
}
