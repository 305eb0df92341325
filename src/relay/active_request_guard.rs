//! Guard of a request in progress on an accepted connection.

use std::sync::Arc;

use super::connection_activity::ConnectionActivity;
use super::usage_count::UsageGuard;

/// Counts a request as in progress on its connection until its response was handed over, and as
/// unfinished until that is written.
pub struct ActiveRequestGuard {
    activity: Arc<ConnectionActivity>,
    unfinished: Option<UsageGuard>,
}

impl ActiveRequestGuard {
    /// A request that [`ConnectionActivity::on_request`] has counted; `unfinished` keeps a shutdown
    /// waiting for its response.
    pub fn new(activity: &Arc<ConnectionActivity>, unfinished: Option<UsageGuard>) -> Self {
        Self { activity: Arc::clone(activity), unfinished }
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.activity.on_response_handed_over(self.unfinished.take());
    }
}
