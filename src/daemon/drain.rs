//! Graceful shutdown: drains on SIGTERM or SIGINT until the process may exit.
//!
//! Signals and polled counts of the work in progress go to
//! [`crate::decide::drain::Drain`], which decides when the process may exit.

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

/// Interval at which the work in progress is counted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for the first signal, then drains; returns when the process may exit.
///
/// # Errors
///
/// `Internal` if a signal handler can't be installed.
pub async fn wait_for_end(node: &Arc<Node>) -> Result<DrainEnd> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    start_drain(node);
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => report_progress(node),
            _ = terminate.recv() => node.drain_input(DrainInput::RequestedAgain),
            _ = interrupt.recv() => node.drain_input(DrainInput::RequestedAgain),
        }
        if let Some(end) = node.drain(|drain| drain.end()) {
            log_end(end);
            return Ok(end);
        }
    }
}

fn start_drain(node: &Arc<Node>) {
    let limit = node.settings.shutdown.hard_limit;
    node.drain_input(DrainInput::Requested { limit });
    control::announce_drain(node);
    log::info!("shutting down; waiting for {} in progress", node.progress().in_progress);
}

fn report_progress(node: &Node) {
    node.drain_input(DrainInput::Observed(node.progress()));
}

fn log_end(end: DrainEnd) {
    match end {
        DrainEnd::Finished => log::info!("shutdown complete; all work in progress has finished"),
        DrainEnd::Interrupted(count) => {
            log::warn!("second signal: exiting with {count} still in progress")
        }
        DrainEnd::LimitReached(count) => {
            log::warn!("hard limit of the shutdown reached: exiting with {count} still in progress")
        }
    }
}

fn signal_stream(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|e| {
        Error::new(ErrorKind::Internal, format!("signal handler can't be installed: {e}"))
    })
}
