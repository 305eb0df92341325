//! Starts a relay's listeners and background tasks, reloads its settings and shuts it down.
//!
//! SIGTERM and SIGINT begin the shutdown. SIGHUP, like a change of the settings file, makes the
//! relay take new seeds.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::OnceCell;
use tokio::time::sleep;

use super::Protocol;
use super::PublishedTopic;
use super::RelaySettings;
use super::audience::Audience;
use super::exchange;
use super::listen_sockets;
use super::listen_sockets::bind_when_free;
use super::listener;
use super::log_event::record;
use super::node::Node;
use super::notices;
use super::orders;
use super::origin_datagrams;
use super::process_event::ProcessEvent;
use super::process_signal::ProcessSignal;
use super::process_signal::ProcessSignals;
use super::published;
use super::quotas;
use super::reach;
use super::settings_file::SettingsFile;
use super::start_step::StartStep;
use super::task_restarts::restart_after_panics;
use crate::decide::listening::ListenAddress;
use crate::telemetry::LostLines;

/// Time after the start at which an instance counts as joined even if no peer has replied.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after that at which an instance counts as settled: it may own replicas even if others
/// have run for longer.
const SETTLE_TIME: Duration = Duration::from_millis(2000);
/// Time after which a background task that failed is started again.
const TASK_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a shutdown checks for requests in progress.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which it checks for requests that arrived before connections were no longer accepted.
const LAST_READ_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the number of lost log lines is checked.
const LOST_LINES_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a change of the readiness is looked for, to be logged.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Returns which log lines were lost since the process started.
pub type LostLineCount = Box<dyn Fn() -> LostLines + Send + Sync>;

/// Runs a relay with these settings, which were read in `settings_time`, until it has shut down.
pub async fn serve(
    settings: RelaySettings,
    mut file: SettingsFile,
    mut signals: ProcessSignals,
    protocol: Arc<dyn Protocol>,
    lost_lines: LostLineCount,
    settings_time: Duration,
) {
    let node = Arc::new(Node::new(settings, protocol));
    for (address, audience) in [
        (ListenAddress::Caller, Audience::Callers),
        (ListenAddress::Ready, Audience::Ready),
        (ListenAddress::Peer, Audience::Peers),
        (ListenAddress::Metrics, Audience::Metrics),
    ] {
        keep_listening(&node, address, audience);
    }
    start_tasks(&node, lost_lines);
    let instance = node.settings.instance.as_str();
    let (version, settings_ms) = (env!("CARGO_PKG_VERSION"), settings_time.as_millis());
    record(&ProcessEvent::Started { instance, version, settings_ms });
    wait_for_termination(&node, &mut file, &mut signals).await;
    shut_down(&node).await;
}

/// Listens on an address as soon as it is free, until the process ends.
fn keep_listening(node: &Arc<Node>, address: ListenAddress, audience: Audience) {
    // Outlives a panic of the task that accepts connections.
    let listener = Arc::new(OnceCell::new());
    keep_running(node, address.name(), move |node| {
        let listener = Arc::clone(&listener);
        async move {
            let on_failure = || node.metrics.on_bind_failed();
            let bind =
                || bind_when_free(&node.addresses, address, listen_sockets::bind, on_failure);
            let bound = tokio::select! {
                bound = listener.get_or_init(bind) => bound,
                // An instance that shuts down takes no further address.
                _ = node.until_shutdown(), if !listener.initialized() => return,
            };
            listener::run(Arc::clone(&node), bound, audience).await;
        }
    });
}

/// Runs a background task until it ends; after a panic it is started again.
pub fn keep_running<F, T>(node: &Arc<Node>, task: &'static str, start: F)
where
    F: Fn(Arc<Node>) -> T + Send + Sync + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let on_failure = |detail: &str| {
            node.metrics.on_task_failed();
            record(&ProcessEvent::TaskFailed { task, detail });
        };
        restart_after_panics(TASK_RESTART_DELAY, || start(Arc::clone(&node)), on_failure).await;
    });
}

fn start_tasks(node: &Arc<Node>, lost_lines: LostLineCount) {
    let lost_lines: Arc<LostLineCount> = Arc::new(lost_lines);
    keep_running(node, "origin notices", origin_datagrams::start);
    keep_running(node, "lost lines", move |node| report_lost_lines(node, Arc::clone(&lost_lines)));
    keep_running(node, "operator's items", |node| {
        published::follow(node, PublishedTopic::Operator)
    });
    keep_running(node, "replicas", |node| published::follow(node, PublishedTopic::Replicas));
    keep_running(node, "expiry", published::expire_unused);
    keep_running(node, "exchange", exchange::run);
    keep_running(node, "repeated uses", notices::repeat_uses);
    keep_running(node, "orders", orders::run);
    keep_running(node, "quotas", quotas::run);
    keep_running(node, "reach", reach::run);
    keep_running(node, "join", join_and_settle);
    keep_running(node, "readiness", watch_readiness);
}

/// Exports the number of lost log lines as a metric and logs each rise.
async fn report_lost_lines(node: Arc<Node>, lost_lines: Arc<LostLineCount>) {
    let mut reported = 0;
    loop {
        sleep(LOST_LINES_CHECK_INTERVAL).await;
        let lost = lost_lines();
        node.metrics.on_lines_lost(lost);
        let total = lost.total();
        if total > reported {
            reported = total;
            record(&ProcessEvent::LogLinesDropped { total, unwritten: lost.unwritten });
        }
    }
}

/// Logs what is missing for callers to send requests here, whenever that changes, and at growing
/// intervals while anything is.
async fn watch_readiness(node: Arc<Node>) {
    loop {
        let now = node.now();
        let missing = node.missing();
        let was_ready = node.readiness().was_ready();
        let change = node.readiness().on_check(now, missing);
        if !was_ready && node.readiness().was_ready() {
            let are_replicas_current = node.view(PublishedTopic::Replicas).is_current(now);
            StartStep::Ready { are_replicas_current }.record(node.now());
        }
        if let Some(change) = change {
            record(&ProcessEvent::ReadinessChanged {
                ready: change.missing.is_empty(),
                missing: &change.missing,
                before: change.before.as_deref(),
                lasted_ms: change.lasted.as_millis(),
            });
        }
        let is_due = node.readiness().take_due_line(now);
        if is_due {
            record(&ProcessEvent::NotReady { report: &node.readiness_report() });
        }
        sleep(READINESS_CHECK_INTERVAL).await;
    }
}

async fn join_and_settle(node: Arc<Node>) {
    sleep(JOIN_TIMEOUT).await;
    node.set_joined(None);
    node.freshness.stop_awaiting_peer();
    sleep(SETTLE_TIME).await;
    node.peers().set_settled();
}

/// Applies changed seeds until a signal asks for the end of the process; the other settings take
/// effect at the next start.
async fn wait_for_termination(node: &Node, file: &mut SettingsFile, signals: &mut ProcessSignals) {
    loop {
        tokio::select! {
            signal = signals.next() => match signal {
                ProcessSignal::Terminate => return,
                ProcessSignal::Reload => {}
            },
            () = sleep(SETTINGS_CHECK_INTERVAL) => {}
        }
        // The read may block for long.
        let changed = tokio::select! {
            changed = file.changed() => changed,
            () = signals.until_terminated() => return,
        };
        if let Some(settings) = changed {
            record(&ProcessEvent::SettingsTaken { seeds: settings.seeds.len() });
            node.peers().set_seeds(settings.seeds);
        }
    }
}

async fn shut_down(node: &Node) {
    let report = node.readiness_report();
    if !report.ready {
        record(&ProcessEvent::NotReady { report: &report });
    }
    let shutdown = node.shut_down();
    let in_flight = node.in_flight.load(Ordering::Relaxed);
    record(&ProcessEvent::Stopping { in_flight, ready: report.ready });
    while !shutdown.is_closing(node.now(), node.unfinished_responses.get()) {
        sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    node.stop_accepting_callers();
    let closed_at = node.now();
    loop {
        // What has arrived by now is accepted and read meanwhile.
        sleep(LAST_READ_INTERVAL).await;
        let unfinished = node.unfinished_responses.get();
        let (last_accepted, heads) = (node.last_accepted(), node.arriving_heads.get());
        if shutdown.may_end(node.now(), closed_at, last_accepted, unfinished, heads) {
            let was_ready = node.readiness().was_ready();
            record(&ProcessEvent::Stopped { cut_off: unfinished, was_ready });
            return;
        }
    }
}
