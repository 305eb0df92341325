//! Stand-in for a model engine: slots, orders with fencing, batches, streams.
//!
//! The text of an answer names the adapter and version that served it, so that
//! a test sees a wrong one. A prompt that contains [`POISON`] ends the process.

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

use super::number;
use super::server::StandIn;
use super::server::malformed;
use super::server::no_such_path;

/// A prompt that contains this ends the engine's process.
pub const POISON: &str = "crash the engine";
/// Age of the lagging report.
const REPORT_LAG_MS: u64 = 500;
/// Time within which the weight store must deliver.
const STORE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pieces of one answer that may be in memory at once.
const PIECE_QUEUE: usize = 8;

/// The engine.
pub struct Engine {
    http: HttpClient,
    store: SocketAddr,
    slots: usize,
    batch: usize,
    token_time: Duration,
    ignore_fencing: bool,
    incarnation: Incarnation,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    fencing: FencingNumber,
    /// Adapters in slots, and how many requests run on each; `None` while loading.
    loaded: BTreeMap<AdapterRef, Option<u32>>,
    /// Unloads carried out while requests ran on the adapter; must stay zero.
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
    /// A sentence if the store's address is missing.
    pub fn from_args(args: &ArgMatches) -> Result<Self, String> {
        Ok(Self {
            http: HttpClient::new(),
            store: *args.get_one::<SocketAddr>("store").ok_or("no weight store")?,
            slots: number(args, "slots") as usize,
            batch: number(args, "batch") as usize,
            token_time: Duration::from_millis(number(args, "token-ms")),
            ignore_fencing: args.get_flag("ignore-fencing"),
            incarnation: Incarnation(rand::random()),
            state: Mutex::default(),
        })
    }

    fn fence(&self, fencing: FencingNumber) -> Result<(), EngineRefusal> {
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

    async fn order(&self, req: &Request) -> Reply {
        let order: OrderRequest = match serde_json::from_slice(&req.body) {
            Ok(order) => order,
            Err(e) => return malformed(&e),
        };
        if let Err(refusal) = self.fence(order.fencing) {
            return self.refuse(refusal);
        }
        let done = match order.order {
            Order::Fence => Ok(()),
            Order::Load { adapter } => self.load(adapter).await,
            Order::UnloadIfIdle { adapter } => self.unload(&adapter),
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

    fn unload(&self, adapter: &AdapterRef) -> Result<(), EngineRefusal> {
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

    fn begin(&self, req: &GenerateRequest) -> Result<usize, EngineRefusal> {
        self.fence(req.fencing)?;
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

    fn end(&self, adapter: &AdapterRef) {
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
        if req.prompt.contains(POISON) {
            std::process::abort();
        }
        let running = match self.begin(&req) {
            Ok(running) => running,
            Err(refusal) => return self.refuse(refusal),
        };
        let (tx, rx) = mpsc::channel(PIECE_QUEUE);
        tokio::spawn(async move {
            self.stream(&req, running, &tx).await;
            self.end(&req.adapter);
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
        if !send(tx, &started).await {
            return;
        }
        let step = self.token_time + self.token_time * running as u32 / self.batch as u32;
        for number in 0..req.max_tokens {
            tokio::time::sleep(step).await;
            let text = match number {
                0 => format!("[{adapter}]"),
                _ => format!(" t{number}"),
            };
            if !send(tx, &EngineEvent::Token { request_id, text }).await {
                return;
            }
        }
        send(tx, &EngineEvent::Done { request_id, adapter, tokens: req.max_tokens }).await;
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
    async fn answer(self: Arc<Self>, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/v1/generate") => self.generate(&req),
            ("POST", "/v1/orders") => self.order(&req).await,
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

async fn send(tx: &mpsc::Sender<Bytes>, event: &EngineEvent) -> bool {
    match sse::encode_event(None, event) {
        Ok(bytes) => tx.send(bytes).await.is_ok(),
        Err(_) => false,
    }
}
