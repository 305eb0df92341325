//! The life of a relay: listeners, tasks, signals, shutdown.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use super::Protocol;
use super::PublishedTopic;
use super::RelaySettings;
use super::event::LogEvent;
use super::event::record;
use super::exchange;
use super::listener;
use super::listener::Audience;
use super::node::Node;
use super::orders;
use super::published;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// Time after the start from which on an instance without peers counts itself as alone.
const JOIN_LIMIT: Duration = Duration::from_millis(1500);
/// Time after which an instance may give orders while others could.
const SETTLE_TIME: Duration = Duration::from_millis(2000);
/// Pause between looks at the work in progress of a shutdown.
const SHUTDOWN_LOOK: Duration = Duration::from_millis(50);
/// Pause between looks at the log lines that were dropped.
const LOG_LOOK: Duration = Duration::from_secs(2);
/// Pause between looks at the settings file.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Tells how many log lines were dropped since the process started.
pub type LogDrops = Box<dyn Fn() -> usize + Send>;

/// Runs a relay with the settings in `path` until it has shut down.
///
/// # Errors
///
/// `Malformed` for faults in the settings, `Internal` if it can't be started.
pub fn run(path: &Path, protocol: Arc<dyn Protocol>, log_drops: LogDrops) -> Result<()> {
    let settings = RelaySettings::load(path)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| internal(&e))?;
    runtime.block_on(serve(path, settings, protocol, log_drops))
}

async fn serve(
    path: &Path,
    settings: RelaySettings,
    protocol: Arc<dyn Protocol>,
    log_drops: LogDrops,
) -> Result<()> {
    let listen = settings.listen.clone();
    let node = Arc::new(Node::new(settings, protocol));
    for (addr, audience) in [
        (listen.peer, Audience::Peers),
        (listen.ready, Audience::Ready),
        (listen.caller, Audience::Callers),
    ] {
        let listener = listener::bind(addr).map_err(|e| internal(&e))?;
        tokio::spawn(listener::run(Arc::clone(&node), listener, audience));
    }
    if let Some(addr) = listen.metrics {
        serve_metrics(&node, addr);
    }
    tokio::spawn(watch_log(Arc::clone(&node), log_drops));
    tokio::spawn(published::follow(Arc::clone(&node), PublishedTopic::Operator));
    tokio::spawn(published::follow(Arc::clone(&node), PublishedTopic::Replicas));
    tokio::spawn(published::tidy(Arc::clone(&node)));
    tokio::spawn(exchange::run(Arc::clone(&node)));
    tokio::spawn(orders::run(Arc::clone(&node)));
    tokio::spawn(join_alone(Arc::clone(&node)));
    let instance = node.settings.instance.as_str();
    record(&LogEvent::Started { instance, version: env!("CARGO_PKG_VERSION") });
    until_terminated(&node, path).await?;
    shut_down(&node).await;
    Ok(())
}

/// Nothing else depends on the metrics, so a taken address ends nothing.
fn serve_metrics(node: &Arc<Node>, addr: SocketAddr) {
    match listener::bind(addr) {
        Ok(listener) => {
            tokio::spawn(listener::run(Arc::clone(node), listener, Audience::Metrics));
        }
        Err(e) => record(&LogEvent::MetricsOff { detail: &format!("{addr}: {e}") }),
    }
}

/// Reports the log lines that were dropped.
async fn watch_log(node: Arc<Node>, log_drops: LogDrops) {
    let mut reported = 0;
    loop {
        sleep(LOG_LOOK).await;
        let total = log_drops();
        node.metrics.on_lines_dropped(total);
        if total > reported {
            reported = total;
            record(&LogEvent::LogLinesDropped { total });
        }
    }
}

async fn join_alone(node: Arc<Node>) {
    sleep(JOIN_LIMIT).await;
    node.set_joined();
    sleep(SETTLE_TIME).await;
    node.peers().set_settled();
}

async fn until_terminated(node: &Node, path: &Path) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| internal(&e))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| internal(&e))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| internal(&e))?;
    let mut text = fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => {}
            () = sleep(SETTINGS_LOOK) => {}
        }
        reload_settings(node, path, &mut text);
    }
}

/// Takes changed seeds; everything else takes effect at the next start.
fn reload_settings(node: &Node, path: &Path, text: &mut String) {
    let changed = match fs::read_to_string(path) {
        Ok(changed) => changed,
        Err(e) => {
            record(&LogEvent::SettingsRefused { detail: &e.to_string() });
            return;
        }
    };
    if changed == *text {
        return;
    }
    match RelaySettings::parse(&changed) {
        Ok(settings) => {
            record(&LogEvent::SettingsTaken { seeds: settings.seeds.len() });
            node.peers().set_seeds(settings.seeds);
        }
        Err(e) => record(&LogEvent::SettingsRefused { detail: &e.to_string() }),
    }
    *text = changed;
}

async fn shut_down(node: &Node) {
    let shutdown = node.shut_down();
    record(&LogEvent::Stopping { in_flight: node.in_flight.load(Ordering::Relaxed) });
    loop {
        let in_flight = node.in_flight.load(Ordering::Relaxed);
        if shutdown.is_over(node.now(), in_flight) {
            record(&LogEvent::Stopped { cut_off: in_flight });
            return;
        }
        sleep(SHUTDOWN_LOOK).await;
    }
}

fn internal(error: &std::io::Error) -> Error {
    Error::new(ErrorKind::Internal, error.to_string())
}
