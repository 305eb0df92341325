//! Carries signals and the work in progress into the decisions on a shutdown.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::Node;
use super::control;
use crate::decide::drain::DrainEnd;
use crate::decide::drain::DrainInput;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// How often the work in progress is counted.
const POLL: Duration = Duration::from_millis(50);

/// Waits for a signal, then until the instance may end.
///
/// # Errors
///
/// `Internal` if signals can't be handled.
pub async fn wait_for_end(node: &Arc<Node>) -> Result<DrainEnd> {
    let mut terminate = listen_to(SignalKind::terminate())?;
    let mut interrupt = listen_to(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    begin(node);
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL) => observe(node),
            _ = terminate.recv() => node.drain_input(DrainInput::RequestedAgain),
            _ = interrupt.recv() => node.drain_input(DrainInput::RequestedAgain),
        }
        if let Some(end) = node.drain(|drain| drain.end()) {
            log_end(end);
            return Ok(end);
        }
    }
}

fn begin(node: &Arc<Node>) {
    let limit = node.settings.shutdown.hard_limit;
    node.drain_input(DrainInput::Requested { limit });
    control::announce_drain(node);
    log::info!("shutting down; {} in progress", node.progress().in_progress);
}

fn observe(node: &Node) {
    node.drain_input(DrainInput::Observed(node.progress()));
}

fn log_end(end: DrainEnd) {
    match end {
        DrainEnd::Finished => log::info!("everything in progress was finished"),
        DrainEnd::Interrupted(count) => log::warn!("a second signal cut {count} off"),
        DrainEnd::LimitReached(count) => log::warn!("the hard limit cut {count} off"),
    }
}

fn listen_to(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|e| Error::new(ErrorKind::Internal, format!("signal handler: {e}")))
}
