//! Stand-in of a model engine: answers reports and orders, and serves resumable streams.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "drafting";
pub const MODEL: &str = "m0";
/// Time for a load from the weight store, as on the sheets.
const LOAD_TIME: Duration = Duration::from_millis(250);
const PLACES: usize = 8;
/// Prompt tokens that are read in a second, as on the sheets.
const PROMPT_TOKENS_PER_S: f64 = 38_700.0;
/// Time for a load of the base model from the replica's own disk, as on the sheets.
const MODEL_LOAD_TIME: Duration = Duration::from_millis(760);

/// An order that the replica got, whatever it answered.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    pub holder: String,
    pub fence: u64,
    pub at: Instant,
    pub text: String,
    pub status: u16,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Begun {
    pub attempt: String,
    pub adapter: String,
    pub version: u64,
    pub at: Instant,
}

/// An adapter that is loaded or being loaded.
#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    ready_at: Instant,
    /// Version that takes its place once its runs have ended.
    next: Option<u64>,
}

impl Held {
    fn is_ready(&self) -> bool {
        self.ready_at <= Instant::now()
    }
}

#[derive(Default)]
struct State {
    seq: u64,
    orders: Vec<ReceivedOrder>,
    /// Set once it was ordered to hold more adapters than it has places for.
    is_overfull: bool,
    /// When the base model is loaded; `None` until it is ordered.
    model_from: Option<Instant>,
    /// Adapters that are loaded or being loaded.
    held: BTreeMap<String, Held>,
    /// Requests that have begun and not ended, by adapter.
    runs: BTreeMap<String, u32>,
    /// When the prompts that it has got so far are read.
    prompts_read_at: Option<Instant>,
    begun: Vec<Begun>,
    /// Parts of prompts that its memory keeps.
    kept: BTreeMap<String, u64>,
    connections: Vec<TcpStream>,
}

/// One start of a replica.
pub struct Engine {
    pub id: String,
    pub version: String,
    service: String,
    pub addr: SocketAddr,
    born: u64,
    events: u64,
    gap: Duration,
    state: Mutex<State>,
    is_running: AtomicBool,
    is_leaving: AtomicBool,
    /// Requests that end by a reset before their first event, in 100.
    fails: AtomicU64,
    arrivals: AtomicU64,
    record: Arc<Record>,
}

/// What a replica is started with.
pub struct Start<'a> {
    pub id: &'a str,
    pub version: &'a str,
    pub service: &'a str,
    /// Where it listens; port 0 for a free one.
    pub addr: SocketAddr,
    /// How long ago it started.
    pub age: Duration,
    /// Adapters that it holds beside the base model; without any it is empty, as after a restart.
    pub adapters: &'a [String],
    /// Events of a stream, and the time between them.
    pub events: u64,
    pub gap: Duration,
}

impl Engine {
    pub fn start(start: &Start<'_>, record: &Arc<Record>) -> Arc<Self> {
        let listener = bind(start.addr);
        let now = Instant::now();
        let loaded = Held { version: 1, ready_at: now, next: None };
        let state = State {
            model_from: (!start.adapters.is_empty()).then_some(now),
            held: start.adapters.iter().map(|name| (name.clone(), loaded)).collect(),
            ..State::default()
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let engine = Arc::new(Self {
            id: start.id.to_owned(),
            version: start.version.to_owned(),
            service: start.service.to_owned(),
            addr: listener.local_addr().unwrap(),
            born: (now - start.age).as_millis() as u64,
            events: start.events,
            gap: start.gap,
            state: Mutex::new(state),
            is_running: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            fails: AtomicU64::new(0),
            arrivals: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        record.line(&format!("replica {} starts, version {}", engine.id, engine.version));
        let shared = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !shared.is_running.load(Ordering::SeqCst) {
                    http::reset(&stream);
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    shared.state.lock().unwrap().connections.push(copy);
                }
                let engine = Arc::clone(&shared);
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Writes the entry by which the system discovers the replica.
    pub fn publish(&self, store: &Store, state: &str) {
        let Self { id, addr, version, service, born, .. } = self;
        let held = self.models();
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"cairo-a\",\
                 \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"cold_left_ms\":0,\
                 \"stage\":\"unified\",\"models\":{held},\"seq\":1,\"born\":{born}}}"
            ),
        );
    }

    /// Sets how many requests of 100 end by a reset once their prompt is read.
    pub fn set_fails(&self, share: u64) {
        self.fails.store(share, Ordering::SeqCst);
    }

    /// Leaves without reporting `draining`: its entry is removed, and it goes on serving for a while.
    pub fn leave(&self, store: &Store) {
        self.is_leaving.store(true, Ordering::SeqCst);
        store.remove(&format!("servers/{}", self.id));
        self.record.line(&format!("scale-in: the entry of {} is removed, it goes on", self.id));
    }

    /// Headers of all answers.
    fn headers(&self) -> Vec<(&'static str, &'static str)> {
        match self.is_leaving.load(Ordering::SeqCst) {
            true => vec![("Server-Leaving", "1")],
            false => Vec::new(),
        }
    }

    /// Ends the process: all of its connections are reset, and nothing listens any more.
    pub fn crash(&self) {
        self.is_running.store(false, Ordering::SeqCst);
        for stream in self.state.lock().unwrap().connections.drain(..) {
            http::reset(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.addr);
        self.record.line(&format!("replica {} has ended, version {}", self.id, self.version));
    }

    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn begun(&self) -> Vec<Begun> {
        self.state.lock().unwrap().begun.clone()
    }

    pub fn is_overfull(&self) -> bool {
        self.state.lock().unwrap().is_overfull
    }

    pub fn runs(&self) -> u32 {
        self.state.lock().unwrap().runs.values().sum()
    }

    fn models(&self) -> String {
        let state = self.state.lock().unwrap();
        if state.model_from.is_none_or(|from| from > Instant::now()) {
            return "[]".to_owned();
        }
        let held = state.held.iter().filter(|(_, held)| held.is_ready());
        let held: Vec<String> =
            held.map(|(name, held)| format!("\"{name}@{}\"", held.version)).collect();
        format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]", held.join(","))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_whole_body(&mut reader, &head, false) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            if !self.is_running.load(Ordering::SeqCst) || !self.respond(&mut writer, &head, &body) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection goes on.
    fn respond(&self, writer: &mut TcpStream, head: &Head, body: &str) -> bool {
        let named = head.get("x-tamaracklead-expect-instance");
        if named.is_some_and(|named| named != self.id) {
            let id = [("X-Tamaracklead-Instance-Id", self.id.as_str())];
            return writer.write_all(&http::encode_response(421, &id, b"")).is_ok();
        }
        let target = head.word();
        let (status, answer) = if target.starts_with("/api/report") {
            (200, self.report())
        } else if target.starts_with("/api/order") {
            (self.take_order(body), String::new())
        } else if target.starts_with("/api/kv-list") {
            (200, self.listing())
        } else if target.starts_with("/health") {
            (200, String::new())
        } else {
            return self.run_stream(writer, head);
        };
        let headers = self.headers();
        writer.write_all(&http::encode_response(status, &headers, answer.as_bytes())).is_ok()
    }

    fn report(&self) -> String {
        let (models, born, running) = (self.models(), self.born, self.runs());
        let state = self.state.lock().unwrap();
        let coming = state.held.iter().filter(|(_, held)| !held.is_ready() || held.next.is_some());
        let coming: Vec<String> = coming
            .map(|(name, held)| format!("\"{MODEL}/{name}@{}\"", held.next.unwrap_or(held.version)))
            .collect();
        format!(
            "{{\"stage\":\"unified\",\"models\":{models},\"coming\":[{}],\"busy\":false,\
             \"seq\":{},\"waiting\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":232000,\
             \"handles\":0,\"born\":{born}}}",
            coming.join(","),
            state.seq,
        )
    }

    fn listing(&self) -> String {
        let state = self.state.lock().unwrap();
        let kept: Vec<String> = state
            .kept
            .iter()
            .map(|(id, tokens)| format!("[\"\",\"{id}\",{tokens},\"{MODEL}\"]"))
            .collect();
        format!("{{\"epoch\":1,\"next\":{},\"held\":[{}]}}", kept.len(), kept.join(","))
    }

    fn take_order(&self, body: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        let status = Self::on_order(&mut state, body);
        let text = |name| field(body, name).unwrap_or_default();
        let order = ReceivedOrder {
            holder: text("holder").to_owned(),
            fence: text("fence").parse().unwrap_or(0),
            at: Instant::now(),
            text: format!("{} {}", text("op"), text("adapter")),
            status,
        };
        self.record.line(&format!(
            "{} gets order {:?} of {}, fence {}, expected {}: {status}",
            self.id,
            order.text,
            order.holder,
            order.fence,
            text("expected"),
        ));
        state.orders.push(order);
        status
    }

    fn on_order(state: &mut State, body: &str) -> u16 {
        let adapter = field(body, "adapter").unwrap_or_default().to_owned();
        let expected = field(body, "expected").and_then(|text| text.parse::<u64>().ok());
        if expected.is_some_and(|expected| expected != state.seq) {
            return 409;
        }
        let is_load = field(body, "op") == Some("load");
        let known = state.held.get(&adapter).copied();
        let wanted = field(body, "version").and_then(|text| text.parse::<u64>().ok());
        match (is_load, known) {
            (true, _) if adapter.is_empty() => match state.model_from {
                Some(from) if from <= Instant::now() => 200,
                Some(_) => 202,
                None => {
                    state.seq += 1;
                    state.model_from = Some(Instant::now() + MODEL_LOAD_TIME);
                    202
                }
            },
            (true, None) if state.model_from.is_none_or(|from| from > Instant::now()) => 409,
            (true, Some(held)) => match wanted.filter(|wanted| *wanted > held.version) {
                Some(wanted) if held.next == Some(wanted) => 202,
                Some(wanted) => {
                    state.seq += 1;
                    state.held.insert(adapter.clone(), Held { next: Some(wanted), ..held });
                    replace_if_unused(state, &adapter);
                    202
                }
                None if held.is_ready() => 200,
                None => 202,
            },
            (true, None) => {
                state.is_overfull |= state.held.len() >= PLACES;
                state.seq += 1;
                let ready_at = Instant::now() + LOAD_TIME;
                let version = wanted.unwrap_or(1);
                state.held.insert(adapter, Held { version, ready_at, next: None });
                202
            }
            (false, _) if state.runs.get(&adapter).copied().unwrap_or(0) > 0 => 409,
            (false, _) => {
                state.seq += 1;
                state.held.remove(&adapter);
                200
            }
        }
    }

    fn run_stream(&self, writer: &mut TcpStream, head: &Head) -> bool {
        let attempt = head.get("x-tamaracklead-attempt-id").unwrap_or_default().to_owned();
        let model = head.get("x-tamaracklead-model").unwrap_or_default();
        let adapter = model.split_once('/').map(|(_, name)| name.to_owned()).unwrap_or_default();
        let after = head.get("last-event-id").and_then(|text| text.parse::<u64>().ok());
        let refuse = |writer: &mut TcpStream, status, header: &[(&str, &str)]| {
            let id = [("X-Tamaracklead-Attempt-Id", attempt.as_str())];
            let headers = [&id, header, &self.headers()].concat();
            writer.write_all(&http::encode_response(status, &headers, b"")).is_ok()
        };
        let expected = head.get("x-tamaracklead-expect-version").and_then(|v| v.parse().ok());
        if !self.has_version(&adapter, expected) {
            return refuse(writer, 421, &[]);
        }
        self.read_prompt(head);
        let share = self.fails.load(Ordering::SeqCst);
        let arrival = self.arrivals.fetch_add(1, Ordering::SeqCst);
        if arrival * share / 100 != (arrival + 1) * share / 100 {
            self.record.line(&format!("{} ({}) read {attempt} in vain", self.id, self.version));
            http::reset(writer);
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return false;
        }
        let held = {
            let mut state = self.state.lock().unwrap();
            let held = state.held.get(&adapter).copied().filter(Held::is_ready);
            // Until an order is done, requests that it concerns and that have not begun don't run.
            let Some(held) = held.filter(|held| held.next.is_none()) else {
                drop(state);
                return refuse(writer, 503, &[("X-Tamaracklead-Not-Run", "1")]);
            };
            if expected.is_some_and(|expected| expected != held.version) {
                drop(state);
                return refuse(writer, 421, &[]);
            }
            *state.runs.entry(adapter.clone()).or_default() += 1;
            state.begun.push(Begun {
                attempt: attempt.clone(),
                adapter: adapter.clone(),
                version: held.version,
                at: Instant::now(),
            });
            held
        };
        let (id, version) = (&self.id, &self.version);
        self.record.line(&format!("{id} ({version}) runs {attempt} of {adapter}@{}, expected {expected:?}, after event {after:?}", held.version));
        let is_whole = self.send_events(writer, &attempt, held.version, after.unwrap_or(0));
        {
            let mut state = self.state.lock().unwrap();
            if let Some(count) = state.runs.get_mut(&adapter) {
                *count -= 1;
            }
            replace_if_unused(&mut state, &adapter);
        }
        let end = if is_whole { "to its end" } else { "until its channel closed" };
        self.record.line(&format!("{id} ({version}) ran {attempt} {end}"));
        is_whole
    }

    fn has_version(&self, adapter: &str, expected: Option<u64>) -> bool {
        let state = self.state.lock().unwrap();
        let held = state.held.get(adapter).filter(|held| held.is_ready());
        held.is_some_and(|held| expected.is_none_or(|expected| expected == held.version))
    }

    /// Waits until the prompt is read, one after the other, but for the parts that are kept.
    fn read_prompt(&self, head: &Head) {
        let parts = head.get("x-tamaracklead-prompt-prefix").unwrap_or_default();
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let mut unread = 0;
        for (id, tokens) in parts.split(',').filter_map(|part| part.split_once(':')) {
            let tokens: u64 = tokens.parse().unwrap_or(0);
            if state.kept.insert(id.to_owned(), tokens) != Some(tokens) {
                unread += tokens;
            }
        }
        let time = Duration::from_secs_f64(unread as f64 / PROMPT_TOKENS_PER_S);
        let read_at = state.prompts_read_at.map_or(now, |at| at.max(now)) + time;
        state.prompts_read_at = Some(read_at);
        drop(state);
        thread::sleep(read_at.saturating_duration_since(Instant::now()));
    }

    fn send_events(&self, writer: &mut TcpStream, attempt: &str, weights: u64, after: u64) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Tamaracklead-Attempt-Id: {attempt}\r\n\
             X-Tamaracklead-Response-Seal: seal-{}-{attempt}\r\nX-Tamaracklead-Weight-Versions: {weights}\r\n\
             {}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.headers().iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect::<String>(),
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in after + 1..=self.events {
            let text = format!("id: {event}\ndata: {} {}\n\n", self.version, self.id);
            if !self.is_running.load(Ordering::SeqCst)
                || !http::write_chunk(writer, text.as_bytes())
            {
                return false;
            }
            thread::sleep(self.gap);
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Begins to load the version that takes an adapter's place if nothing uses it.
fn replace_if_unused(state: &mut State, adapter: &str) {
    let is_used = state.runs.get(adapter).copied().unwrap_or(0) > 0;
    if let Some(held) = state.held.get_mut(adapter)
        && let Some(next) = held.next
        && !is_used
    {
        *held = Held { version: next, ready_at: Instant::now() + LOAD_TIME, next: None };
    }
}

/// Binds an address that an earlier start may just have left.
fn bind(addr: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(addr) {
            return listener;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{addr} can't be bound");
}

/// Value of a field of a flat JSON object.
fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}
