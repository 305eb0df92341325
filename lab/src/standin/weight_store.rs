//! Stand-in for the weight store: starts are rate-limited, and concurrent loads slow down.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tamaracklead::edge::Reply;
use tamaracklead::edge::Request;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;

use super::server::StandIn;
use super::server::no_such_path;

/// Duration of a load while no more than [`FULL_SPEED_LOADS`] are in flight.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Number of loads in flight that the store serves at full speed.
const FULL_SPEED_LOADS: u64 = 8;

/// The store. `POST /v1/loads` is a load and answers when the weights are delivered.
///
/// Loads whose body contains the text set by `PUT /lab/failing` fail.
pub struct WeightStore {
    interval: Duration,
    next_start: Mutex<Instant>,
    in_flight: AtomicU64,
    loads: AtomicU64,
    failing: Mutex<Option<String>>,
}

impl WeightStore {
    /// A store that starts `rate` loads a second.
    pub fn new(rate: u64) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.max(1) as u32,
            next_start: Mutex::new(Instant::now()),
            in_flight: AtomicU64::new(0),
            loads: AtomicU64::new(0),
            failing: Mutex::new(None),
        }
    }

    fn reserve_start(&self) -> Instant {
        let mut next = self.next_start.lock().unwrap();
        let start = (*next).max(Instant::now());
        *next = start + self.interval;
        start
    }

    async fn load(&self, req: &Request) -> Reply {
        let failing = self.failing.lock().unwrap().clone();
        if failing.is_some_and(|text| String::from_utf8_lossy(&req.body).contains(&text)) {
            return Reply::error(&Error::new(
                ErrorKind::LoadFailed,
                "the weights of this adapter are damaged",
            ));
        }
        tokio::time::sleep_until(self.reserve_start().into()).await;
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        let slowdown = in_flight.div_ceil(FULL_SPEED_LOADS) as u32;
        tokio::time::sleep(LOAD_TIME * slowdown).await;
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.loads.fetch_add(1, Ordering::SeqCst);
        Reply::json(200, &())
    }
}

impl StandIn for WeightStore {
    async fn handle(self: Arc<Self>, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/v1/loads") => self.load(&req).await,
            ("GET", "/lab/loads") => Reply::json(200, &self.loads.load(Ordering::SeqCst)),
            ("PUT", "/lab/failing") => {
                let text = String::from_utf8_lossy(&req.body).into_owned();
                *self.failing.lock().unwrap() = Some(text).filter(|text| !text.is_empty());
                Reply::json(200, &())
            }
            _ => no_such_path(&req),
        }
    }
}
