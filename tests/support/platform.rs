//! Stub of the platform: configuration service, instance list, one engine and one desk.
//!
//! All are served on one port, and reply correctly until a test scripts another
//! reply for a path.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tamaracklead::decide::config::Snapshot;

use super::stub_server::StubReply;
use super::stub_server::StubRequest;
use super::stub_server::StubServer;

/// Scripted replies, with a pause before each, by `METHOD path` without the query.
type Script = BTreeMap<String, (Duration, StubReply)>;

#[derive(Default)]
struct State {
    script: Script,
    event_override: Option<(String, Value)>,
    generation: u64,
    adapters: Value,
    loaded: Vec<Value>,
    listing: Value,
    submissions: Vec<Value>,
    completion_count: usize,
}

/// The stub's services; `addr` is the address of each.
pub struct Platform {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Platform {
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(State { generation: 1, ..State::default() }));
        let served = Arc::clone(&state);
        let server = StubServer::start(move |req| reply_to(&served, req));
        let platform = Self { addr: server.addr, state };
        platform.publish(
            1,
            json!({
                "heats": {"model": "base", "versions": [1, 2]},
                "lanes": {"model": "base", "versions": [7]},
            }),
        );
        platform.list(&json!([]));
        platform
    }

    pub fn publish(&self, generation: u64, adapters: Value) {
        let mut state = self.state.lock().unwrap();
        state.generation = generation;
        state.adapters = adapters;
    }

    /// Sets the listed entry instances; the engine and the desk are always listed.
    pub fn list(&self, entries: &Value) {
        let addr = self.addr.to_string();
        let backend = |name: &str| {
            json!({"name": name, "addr": addr, "data_centre": "cairo-a", "state": "live",
                   "incarnation": 1})
        };
        let mut engine = backend("engine-1");
        let role = json!({"role": "engine", "model": "base", "slots": 2, "batch": 4,
                          "fencing": "refuse"});
        engine.as_object_mut().unwrap().extend(role.as_object().unwrap().clone());
        let mut desk = backend("desk-1");
        desk["role"] = json!("desk");
        self.state.lock().unwrap().listing =
            json!({"entries": entries, "backends": [engine, desk]});
    }

    /// Changes the listed address of the desk.
    pub fn move_desk(&self, addr: SocketAddr) {
        self.state.lock().unwrap().listing["backends"][1]["addr"] = json!(addr);
    }

    /// Lists the engine and the desk as leaving.
    pub fn list_backends_as_leaving(&self) {
        for backend in self.state.lock().unwrap().listing["backends"].as_array_mut().unwrap() {
            backend["state"] = json!("leaving");
        }
    }

    /// Sets the reply to all further requests with this method and path.
    pub fn script(&self, route: &str, reply: StubReply) {
        self.script_slow(route, Duration::ZERO, reply);
    }

    /// As [`Self::script`], after a pause.
    pub fn script_slow(&self, route: &str, pause: Duration, reply: StubReply) {
        self.state.lock().unwrap().script.insert(route.to_owned(), (pause, reply));
    }

    /// Sets a field of the engine's first and last event to this value, also a wrong one.
    pub fn override_event_field(&self, field: &str, value: Value) {
        self.state.lock().unwrap().event_override = Some((field.to_owned(), value));
    }

    /// Drops all scripted replies and wrong fields.
    pub fn reset_replies(&self) {
        let mut state = self.state.lock().unwrap();
        state.script.clear();
        state.event_override = None;
    }

    /// Submissions that the desk has received.
    pub fn submissions(&self) -> Vec<Value> {
        self.state.lock().unwrap().submissions.clone()
    }

    /// Number of completions that the engine has received.
    pub fn completions(&self) -> usize {
        self.state.lock().unwrap().completion_count
    }
}

fn reply_to(state: &Mutex<State>, req: &StubRequest) -> StubReply {
    let path = req.path.split('?').next().unwrap();
    let route = format!("{} {path}", req.method);
    let scripted = {
        let mut state = state.lock().unwrap();
        match route.as_str() {
            "POST /v1/submissions" => {
                state.submissions.push(serde_json::from_slice(&req.body).unwrap());
            }
            "POST /v1/generate" => state.completion_count += 1,
            _ => {}
        }
        state.script.get(&route).cloned()
    };
    match scripted {
        Some((pause, reply)) => {
            std::thread::sleep(pause);
            reply
        }
        None => default_reply(state, &route, req),
    }
}

fn default_reply(state: &Mutex<State>, route: &str, req: &StubRequest) -> StubReply {
    let mut state = state.lock().unwrap();
    let body = || serde_json::from_slice::<Value>(&req.body).unwrap();
    match route {
        "GET /v1/root" => {
            let after = req.path.split("after=").nth(1).and_then(|rest| rest.split('&').next());
            if after.is_some_and(|after| after.parse::<u64>().unwrap() >= state.generation) {
                drop(state);
                // A short long poll keeps the test fast.
                std::thread::sleep(Duration::from_millis(50));
                return StubReply::status(204);
            }
            StubReply::Whole(200, "application/json", root(&state).to_string().into_bytes())
        }
        "GET /v1/pages/p0" => {
            StubReply::Whole(200, "application/json", page(&state).to_string().into_bytes())
        }
        "GET /v1/instances" => StubReply::json(200, &state.listing),
        "GET /v1/report" | "GET /v1/running" => StubReply::json(
            200,
            &json!({"incarnation": 9, "fencing": 1, "loaded": state.loaded,
                                         "age_ms": 0}),
        ),
        "POST /v1/orders" => {
            let order = body();
            match order["order"].as_str() {
                Some("load") => {
                    let loaded = json!({"adapter": order["adapter"], "running": 0});
                    state.loaded.push(loaded);
                }
                Some("unload_if_idle") => {
                    state.loaded.retain(|loaded| loaded["adapter"] != order["adapter"]);
                }
                _ => {}
            }
            StubReply::json(200, &json!({"fencing": order["fencing"]}))
        }
        "POST /v1/generate" => event_stream(&body(), state.event_override.as_ref()),
        "POST /v1/submissions" => {
            let id = body()["submission_id"].clone();
            StubReply::json(200, &json!({"submission_id": id, "receipt": "r-1"}))
        }
        _ => StubReply::status(404),
    }
}

/// An engine's answer to a completion; `event_override` replaces a field of the first and
/// last event.
fn event_stream(req: &Value, event_override: Option<&(String, Value)>) -> StubReply {
    let id = &req["request_id"];
    let mut started =
        json!({"event": "started", "request_id": id, "adapter": req["adapter"], "incarnation": 9});
    let mut done =
        json!({"event": "done", "request_id": id, "adapter": req["adapter"], "tokens": 1});
    if let Some((field, value)) = event_override {
        started[field.as_str()] = value.clone();
        done[field.as_str()] = value.clone();
    }
    let token = json!({"event": "token", "request_id": id, "text": "hello"});
    let text: String = [started, token, done].iter().map(|e| format!("data: {e}\n\n")).collect();
    StubReply::Whole(200, "text/event-stream", text.into_bytes())
}

fn page(state: &State) -> Value {
    json!({"adapters": state.adapters})
}

fn root(state: &State) -> Value {
    let hash = Snapshot::hash(page(state).to_string().as_bytes());
    json!({"generation": state.generation, "preset": "ordinary", "presets": {"ordinary": {}},
           "pages": [{"name": "p0", "hash": hash}]})
}
