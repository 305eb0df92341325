//! Stand-in for a desk: counts how often each submission is run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tamaracklead::edge::Reply;
use tamaracklead::edge::Request;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::wire::desk::DeskReceipt;
use tamaracklead::wire::desk::DeskSubmission;

use super::server::StandIn;
use super::server::malformed;
use super::server::no_such_path;

/// The desk. Tests read the runs by `GET /lab/counts` and set the delay by `PUT /lab/delay_ms`.
pub struct Desk {
    delay_ms: AtomicU64,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Desk {
    /// A desk that delays each receipt by `delay_ms` milliseconds, after it has counted the run.
    pub fn new(delay_ms: u64) -> Self {
        Self { delay_ms: AtomicU64::new(delay_ms), counts: Mutex::default() }
    }

    async fn submit(&self, req: &Request) -> Reply {
        let submission: DeskSubmission = match serde_json::from_slice(&req.body) {
            Ok(submission) => submission,
            Err(e) => return malformed(&e),
        };
        let id = submission.submission_id.to_string();
        *self.counts.lock().unwrap().entry(id.clone()).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))).await;
        let receipt = format!("R-{}", &id[..8]);
        Reply::json(200, &DeskReceipt { submission_id: submission.submission_id, receipt })
    }

    fn status(&self, id: &str) -> Reply {
        match self.counts.lock().unwrap().get(id) {
            Some(count) => Reply::json(200, count),
            None => Reply::error(&Error::new(
                ErrorKind::NotFound,
                format!("submission {id} was not run"),
            )),
        }
    }
}

impl StandIn for Desk {
    async fn handle(self: Arc<Self>, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/v1/submissions") => self.submit(&req).await,
            ("GET", "/lab/counts") => Reply::json(200, &*self.counts.lock().unwrap()),
            ("PUT", "/lab/delay_ms") => {
                let text = String::from_utf8_lossy(&req.body);
                self.delay_ms.store(text.trim().parse().unwrap_or(0), Ordering::SeqCst);
                Reply::json(200, &())
            }
            ("GET", path) => match path.strip_prefix("/v1/submissions/") {
                Some(id) => self.status(id),
                None => no_such_path(&req),
            },
            _ => no_such_path(&req),
        }
    }
}
