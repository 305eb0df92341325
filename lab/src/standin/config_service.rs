//! Stand-in for the configuration service: a root, which can be long-polled, and its pages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tamaracklead::edge::Reply;
use tamaracklead::edge::Request;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::wire::published::Root;
use tokio::sync::Notify;

use super::server::StandIn;
use super::server::no_such_path;

/// The service. Tests publish by `PUT /lab/root` and `PUT /lab/pages/NAME`.
#[derive(Default)]
pub struct ConfigService {
    values: Mutex<PublishedValues>,
    changed: Notify,
}

#[derive(Default)]
struct PublishedValues {
    root: Option<Bytes>,
    pages: BTreeMap<String, Bytes>,
    calls: u64,
}

impl ConfigService {
    fn count_call(&self) {
        self.values.lock().unwrap().calls += 1;
    }

    fn generation(root: &Bytes) -> u64 {
        serde_json::from_slice::<Root>(root).map_or(0, |root| root.generation.0)
    }

    /// Answers at once, or with `after` and `wait_ms` when the generation exceeds `after`.
    ///
    /// The body is empty if that doesn't happen within the wait.
    async fn root(&self, req: &Request) -> Reply {
        self.count_call();
        let after: Option<u64> = req.param("after").and_then(|text| text.parse().ok());
        let wait_ms = req.param("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let root = self.values.lock().unwrap().root.clone();
            match (root, after) {
                (None, None) => return not_published("root"),
                (Some(root), None) => return Reply::json_bytes(root),
                (Some(root), Some(after)) if Self::generation(&root) > after => {
                    return Reply::json_bytes(root);
                }
                (_, Some(_)) => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
                return Reply::json_bytes(Bytes::new());
            }
        }
    }

    fn page(&self, name: &str) -> Reply {
        self.count_call();
        let page = self.values.lock().unwrap().pages.get(name).cloned();
        page.map_or_else(|| not_published(name), Reply::json_bytes)
    }
}

impl StandIn for ConfigService {
    async fn handle(self: Arc<Self>, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/v1/root") => self.root(&req).await,
            ("PUT", "/lab/root") => {
                self.values.lock().unwrap().root = Some(req.body);
                self.changed.notify_waiters();
                Reply::json(200, &())
            }
            ("GET", "/lab/calls") => Reply::json(200, &self.values.lock().unwrap().calls),
            (method, path) => {
                if let Some(name) = path.strip_prefix("/v1/pages/") {
                    return self.page(name);
                }
                match (method, path.strip_prefix("/lab/pages/")) {
                    ("PUT", Some(name)) => {
                        self.values.lock().unwrap().pages.insert(name.to_owned(), req.body);
                        Reply::json(200, &())
                    }
                    _ => no_such_path(&req),
                }
            }
        }
    }
}

fn not_published(name: &str) -> Reply {
    Reply::error(&Error::new(ErrorKind::NotFound, format!("nothing is published as {name:?}")))
}
