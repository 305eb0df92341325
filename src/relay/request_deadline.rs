//! Time limit of one caller's request: the shorter of its route's timeout and the caller's.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::http::request;
use tokio::time::sleep;

use super::forwarded_request::host_of;
use super::node::Node;
use crate::decide::traffic::Route;
use crate::names::Timestamp;

/// Round trip between caller and relay, by which the caller's timeout is shortened.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(10);

/// Time limit of a request, which a new configuration may lengthen.
pub struct RequestDeadline {
    node: Arc<Node>,
    route: Arc<Route>,
    host: String,
    path: String,
    caller_timeout: Option<Duration>,
    arrived: Timestamp,
    /// Longest timeout of its route since it was accepted.
    longest: Mutex<Duration>,
}

impl RequestDeadline {
    /// The limit of a request that arrived at `arrived`.
    pub fn new(
        node: &Arc<Node>,
        route: &Arc<Route>,
        parts: &request::Parts,
        caller_timeout: Option<Duration>,
        arrived: Timestamp,
    ) -> Self {
        Self {
            node: Arc::clone(node),
            route: Arc::clone(route),
            host: host_of(parts).to_owned(),
            path: parts.uri.path().to_owned(),
            caller_timeout,
            arrived,
            longest: Mutex::default(),
        }
    }

    /// Time until it is over; zero afterwards.
    pub fn time_left(&self) -> Duration {
        self.limit().saturating_sub(self.node.now().since(self.arrived))
    }

    /// Time from the request's arrival to the deadline.
    pub fn limit(&self) -> Duration {
        let timeout = self.route_timeout();
        let caller_timeout =
            self.caller_timeout.map(|timeout| timeout.saturating_sub(CALLER_ROUND_TRIP));
        caller_timeout.map_or(timeout, |limit| limit.min(timeout))
    }

    /// Completes when it is over.
    pub async fn passed(&self) {
        let mut config = self.node.config.subscribe();
        loop {
            let left = self.time_left();
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                changed = config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn route_timeout(&self) -> Duration {
        let config = self.node.current_config();
        let current = config.as_ref().and_then(|c| c.route(&self.host, &self.path));
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        *longest = (*longest).max(self.route.timeout_of_accepted(current.map(Arc::as_ref)));
        *longest
    }
}
