//! The one attempt to run a submission at a desk.

use std::sync::Arc;
use std::time::Duration;

use crate::daemon::Node;
use crate::decide::dispatch_failure::DispatchFailure;
use crate::decide::rendezvous;
use crate::decide::submissions::AfterSend;
use crate::decide::submissions::Attempt;
use crate::decide::submissions::Outcome;
use crate::decide::submissions::SendPermit;
use crate::decide::submissions::Verdict;
use crate::edge::CallFailure;
use crate::edge::DeskConnection;
use crate::error::ErrorKind;
use crate::names::RequestId;
use crate::telemetry::Counter;
use crate::telemetry::Hop;
use crate::telemetry::Span;
use crate::wire::desk::DeskSubmission;
use crate::wire::listing::ListedBackend;

/// Time for which a submission waits until a desk may get new work.
const PERMISSION_WAIT: Duration = Duration::from_secs(2);
/// Time between looks at whether a desk may get new work.
const PERMISSION_POLL: Duration = Duration::from_millis(20);
/// Time within which a desk must answer.
const DESK_TIMEOUT: Duration = Duration::from_secs(10);
/// Replicas that one attempt may try to reach, each within the connect timeout.
const MAX_REPLICAS: usize = 2;

/// Records an attempt as lost when its task ends without an outcome.
struct EndGuard {
    node: Arc<Node>,
    id: RequestId,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        // An outcome that stands is kept.
        self.node.submissions.table().on_attempt_lost(self.id);
        self.node.submissions.announce_end();
    }
}

/// Runs an attempt in a task of its own.
pub fn spawn(node: &Arc<Node>, attempt: Attempt, body: serde_json::Value, parent: &Span) {
    let span = node.tracer.span(Hop::DeskCall, parent.traceparent().as_deref());
    let node = Arc::clone(node);
    let id = attempt.id();
    tokio::spawn(async move {
        let _in_flight = node.in_flight.begin();
        let _end = EndGuard { node: Arc::clone(&node), id };
        let submission = DeskSubmission { submission_id: id, body };
        let outcome = run(&node, attempt, &submission).await;
        if let Err(error) = Verdict::of_outcome(id, &outcome).into_receipt(id) {
            span.fail(&error);
        }
        node.note(id, format!("submission ended: {outcome:?}"));
    });
}

async fn run(node: &Node, mut attempt: Attempt, submission: &DeskSubmission) -> Outcome {
    let replicas = replicas(node, attempt.id());
    wait_for_permission(node, &replicas).await;
    for (number, desk) in replicas.iter().enumerate() {
        let more = number + 1 < replicas.len();
        match try_replica(node, attempt, desk, submission, more).await {
            AfterSend::TryAnother(again) => {
                node.metrics.count(Counter::Retried);
                attempt = again;
            }
            AfterSend::Ended(outcome) => return outcome,
        }
    }
    node.submissions.table().give_up(attempt, ErrorKind::NoBackend)
}

/// Waits while no replica may get new work: a process that was paused first asks its peers.
async fn wait_for_permission(node: &Node, replicas: &[ListedBackend]) {
    let until = node.now() + PERMISSION_WAIT;
    let refused = |desk: &ListedBackend| node.check_dispatch(&desk.name).is_err();
    while node.now() < until && replicas.iter().all(refused) {
        tokio::time::sleep(PERMISSION_POLL).await;
    }
}

fn replicas(node: &Node, id: RequestId) -> Vec<ListedBackend> {
    let desks = node.backends(|known| known.live_desks().into_iter().cloned().collect());
    let mut ranked =
        rendezvous::rank(&id.to_string(), desks, |desk: &ListedBackend| desk.name.as_str());
    ranked.truncate(MAX_REPLICAS);
    ranked
}

async fn try_replica(
    node: &Node,
    attempt: Attempt,
    desk: &ListedBackend,
    submission: &DeskSubmission,
    more: bool,
) -> AfterSend {
    let connection = match node.clients.desk.connect(desk.addr).await {
        Ok(connection) => connection,
        Err(failure) => {
            log_failure(desk, &failure);
            return node.submissions.table().end_without_connection(attempt, failure.end, more);
        }
    };
    if let Err(error) = node.check_dispatch(&desk.name) {
        log::info!("desk {}: {error}", desk.name);
        let end = DispatchFailure::ResetBeforeSend;
        return node.submissions.table().end_without_connection(attempt, end, more);
    }
    // The clock is read after everything that waits and right before the send.
    let permit = node.submissions.table().start_send(node.now(), attempt);
    match permit {
        Ok(permit) => send(node, permit, connection, desk, submission, more).await,
        Err(outcome) => AfterSend::Ended(outcome),
    }
}

async fn send(
    node: &Node,
    permit: SendPermit,
    connection: DeskConnection,
    desk: &ListedBackend,
    submission: &DeskSubmission,
    more: bool,
) -> AfterSend {
    match connection.submit(submission, DESK_TIMEOUT).await {
        Ok(receipt) => {
            let mut table = node.submissions.table();
            AfterSend::Ended(table.end_with_receipt(permit, &receipt.receipt))
        }
        Err(failure) => {
            log_failure(desk, &failure);
            node.submissions.table().end_without_receipt(permit, failure.end, more)
        }
    }
}

fn log_failure(desk: &ListedBackend, failure: &CallFailure) {
    log::warn!("desk {}: {}", desk.name, failure.detail);
}
