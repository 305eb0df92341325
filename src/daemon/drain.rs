//! Graceful shutdown: nothing new is taken, everything begun is finished.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::names::Timestamp;

/// How often the work in progress is counted.
const POLL: Duration = Duration::from_millis(20);
/// Time for which nothing must be in progress, so that last bytes are written.
const QUIET: Duration = Duration::from_millis(300);

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEnd {
    /// Everything was finished.
    Finished,
    /// The hard limit came first; this much was cut off.
    CutOff(usize),
}

/// Waits until nothing is in progress, at most for `limit`.
pub async fn drain(node: &Arc<Node>, limit: Duration) -> DrainEnd {
    node.begin_drain();
    log::info!("shutting down; {} in progress", node.in_flight.count());
    let until = node.now() + limit;
    let mut quiet_since: Option<Timestamp> = None;
    loop {
        let now = node.now();
        let count = node.in_flight.count();
        if count > 0 {
            quiet_since = None;
        }
        let since = *quiet_since.get_or_insert(now);
        if count == 0 && now.since(since) >= QUIET {
            return DrainEnd::Finished;
        }
        if now >= until {
            return DrainEnd::CutOff(count);
        }
        tokio::time::sleep(POLL).await;
    }
}
