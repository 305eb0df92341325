//! Stand-in for a model engine: adapter slots, fenced orders, a bounded batch, token streams.
//!
//! The text of a completion begins with the adapter and version that generated it,
//! so that a test detects a wrong one. A prompt that contains [`CRASH_PROMPT`] aborts
//! the process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use tamaracklead::edge::HttpCall;
use tamaracklead::edge::HttpClient;
use tamaracklead::edge::Reply;
use tamaracklead::edge::Request;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::FencingNumber;
use tamaracklead::names::Incarnation;
use tamaracklead::wire::engine::EngineEvent;
use tamaracklead::wire::engine::EngineRefusal;
use tamaracklead::wire::engine::EngineReport;
use tamaracklead::wire::engine::GenerateRequest;
use tamaracklead::wire::engine::LoadedAdapter;
use tamaracklead::wire::engine::Order;
use tamaracklead::wire::engine::OrderReply;
use tamaracklead::wire::engine::OrderRequest;
use tamaracklead::wire::engine::RefusalBody;
use tamaracklead::wire::sse;
use tokio::sync::mpsc;

use super::number_arg;
use super::server::StandIn;
use super::server::malformed;
use super::server::no_such_path;

/// Text in a prompt that makes the engine abort its process.
pub const CRASH_PROMPT: &str = "crash the engine";
/// Age that `/v1/report` states for its content, in milliseconds.
const REPORT_LAG_MS: u64 = 500;
/// Timeout of a load from the weight store; the load order fails after it.
const STORE_TIMEOUT: Duration = Duration::from_secs(60);
/// Most events of one stream that are buffered for a slow reader.
const STREAM_QUEUE_LEN: usize = 8;

/// The stand-in engine.
pub struct Engine {
    http: HttpClient,
    store: SocketAddr,
    slots: usize,
    batch: usize,
    token_time: Duration,
    ignore_fencing: bool,
    incarnation: Incarnation,
    state: Mutex<EngineState>,
}

#[derive(Default)]
struct EngineState {
    fencing: FencingNumber,
    /// Adapters in slots with their running requests; `None` while the adapter is loading.
    loaded: BTreeMap<AdapterRef, Option<u32>>,
    /// Requests whose adapter was unloaded while they ran; must stay zero.
    busy_unloads: u64,
    loads: u64,
    served: u64,
    leaving: bool,
}

impl Engine {
    /// An engine as the command line describes it.
    ///
    /// # Errors
    ///
    /// That the store's address is missing.
    pub fn from_args(args: &ArgMatches) -> Result<Self, String> {
        Ok(Self {
            http: HttpClient::new(),
            store: *args
                .get_one::<SocketAddr>("store")
                .ok_or("the command names no weight store")?,
            slots: number_arg(args, "slots") as usize,
            batch: number_arg(args, "batch") as usize,
            token_time: Duration::from_millis(number_arg(args, "token-ms")),
            ignore_fencing: args.get_flag("ignore-fencing"),
            incarnation: Incarnation(rand::random()),
            state: Mutex::default(),
        })
    }

    /// Raises the fencing number to a sender's; refuses an outdated one unless told to ignore it.
    fn advance_fencing(&self, fencing: FencingNumber) -> Result<(), EngineRefusal> {
        let mut state = self.state.lock().unwrap();
        if fencing < state.fencing && !self.ignore_fencing {
            return Err(EngineRefusal::OldFencing);
        }
        state.fencing = state.fencing.max(fencing);
        Ok(())
    }

    fn refuse(&self, refusal: EngineRefusal) -> Reply {
        let fencing = self.state.lock().unwrap().fencing;
        Reply::json(409, &RefusalBody { refusal, fencing })
    }

    async fn execute_order(&self, req: &Request) -> Reply {
        let order: OrderRequest = match serde_json::from_slice(&req.body) {
            Ok(order) => order,
            Err(e) => return malformed(&e),
        };
        if let Err(refusal) = self.advance_fencing(order.fencing) {
            return self.refuse(refusal);
        }
        let done = match order.order {
            Order::Fence => Ok(()),
            Order::Load { adapter } => self.load(adapter).await,
            Order::UnloadIfIdle { adapter } => self.unload_if_idle(&adapter),
        };
        match done {
            Ok(()) => {
                let fencing = self.state.lock().unwrap().fencing;
                Reply::json(200, &OrderReply { fencing })
            }
            Err(refusal) => self.refuse(refusal),
        }
    }

    async fn load(&self, adapter: AdapterRef) -> Result<(), EngineRefusal> {
        {
            let mut state = self.state.lock().unwrap();
            if state.loaded.contains_key(&adapter) {
                return Ok(());
            }
            if state.loaded.len() >= self.slots {
                return Err(EngineRefusal::NoSlot);
            }
            state.loaded.insert(adapter.clone(), None);
        }
        let body = Bytes::from(adapter.to_string());
        let call = HttpCall::post(self.store, "/v1/loads", body);
        let delivered = match self.http.send(call, STORE_TIMEOUT).await {
            Ok(reply) => reply.status.is_success(),
            Err(_) => false,
        };
        let mut state = self.state.lock().unwrap();
        if !delivered {
            state.loaded.remove(&adapter);
            return Err(EngineRefusal::LoadFailed);
        }
        state.loads += 1;
        state.loaded.insert(adapter, Some(0));
        Ok(())
    }

    fn unload_if_idle(&self, adapter: &AdapterRef) -> Result<(), EngineRefusal> {
        let mut state = self.state.lock().unwrap();
        match state.loaded.get(adapter) {
            None => Ok(()),
            Some(Some(0)) => {
                state.loaded.remove(adapter);
                Ok(())
            }
            Some(_) => Err(EngineRefusal::Busy),
        }
    }

    /// Adds a request to the batch and returns how many run then.
    fn begin_request(&self, req: &GenerateRequest) -> Result<usize, EngineRefusal> {
        self.advance_fencing(req.fencing)?;
        let mut state = self.state.lock().unwrap();
        let running: u32 = state.loaded.values().flatten().sum();
        if running as usize >= self.batch {
            return Err(EngineRefusal::Full);
        }
        let Some(Some(count)) = state.loaded.get_mut(&req.adapter) else {
            return Err(EngineRefusal::NotLoaded);
        };
        *count += 1;
        Ok(running as usize + 1)
    }

    fn end_request(&self, adapter: &AdapterRef) {
        let mut state = self.state.lock().unwrap();
        state.served += 1;
        match state.loaded.get_mut(adapter) {
            Some(Some(count)) => *count -= 1,
            _ => state.busy_unloads += 1,
        }
    }

    fn generate(self: Arc<Self>, req: &Request) -> Reply {
        let req: GenerateRequest = match serde_json::from_slice(&req.body) {
            Ok(req) => req,
            Err(e) => return malformed(&e),
        };
        if req.prompt.contains(CRASH_PROMPT) {
            std::process::abort();
        }
        let running = match self.begin_request(&req) {
            Ok(running) => running,
            Err(refusal) => return self.refuse(refusal),
        };
        let (tx, rx) = mpsc::channel(STREAM_QUEUE_LEN);
        tokio::spawn(async move {
            self.stream(&req, running, &tx).await;
            self.end_request(&req.adapter);
        });
        Reply::event_stream(rx)
    }

    async fn stream(&self, req: &GenerateRequest, running: usize, tx: &mpsc::Sender<Bytes>) {
        let request_id = req.request_id;
        let adapter = req.adapter.clone();
        let started = EngineEvent::Started {
            request_id,
            adapter: adapter.clone(),
            incarnation: self.incarnation,
        };
        if !send_event(tx, &started).await {
            return;
        }
        let step = self.token_time + self.token_time * running as u32 / self.batch as u32;
        for number in 0..req.max_tokens {
            tokio::time::sleep(step).await;
            let text = match number {
                0 => format!("[{adapter}]"),
                _ => format!(" t{number}"),
            };
            if !send_event(tx, &EngineEvent::Token { request_id, text }).await {
                return;
            }
        }
        send_event(tx, &EngineEvent::Done { request_id, adapter, tokens: req.max_tokens }).await;
    }

    fn report(&self, age_ms: u64) -> Reply {
        let state = self.state.lock().unwrap();
        let loaded = state
            .loaded
            .iter()
            .filter_map(|(adapter, running)| {
                Some(LoadedAdapter { adapter: adapter.clone(), running: (*running)? })
            })
            .collect();
        let report = EngineReport {
            incarnation: self.incarnation,
            fencing: state.fencing,
            loaded,
            age_ms,
            leaving: state.leaving,
        };
        Reply::json(200, &report)
    }

    fn lab_counts(&self) -> Reply {
        let state = self.state.lock().unwrap();
        let counts = serde_json::json!({
            "busy_unloads": state.busy_unloads,
            "loads": state.loads,
            "served": state.served,
        });
        Reply::json(200, &counts)
    }
}

impl StandIn for Engine {
    async fn handle(self: Arc<Self>, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/v1/generate") => self.generate(&req),
            ("POST", "/v1/orders") => self.execute_order(&req).await,
            ("GET", "/v1/running") => self.report(0),
            ("GET", "/v1/report") => self.report(REPORT_LAG_MS),
            ("GET", "/lab/counts") => self.lab_counts(),
            ("PUT", "/lab/leaving") => {
                self.state.lock().unwrap().leaving = true;
                Reply::json(200, &())
            }
            _ => no_such_path(&req),
        }
    }
}

async fn send_event(tx: &mpsc::Sender<Bytes>, event: &EngineEvent) -> bool {
    match sse::encode_event(None, event) {
        Ok(bytes) => tx.send(bytes).await.is_ok(),
        Err(_) => false,
    }
}
