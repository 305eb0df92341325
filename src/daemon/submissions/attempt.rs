//! The only attempt to run a submission, at the replicas of its desk in turn.
//!
//! Another replica is tried only if the one before provably didn't run the
//! submission. Each send needs a [`SendPermit`], taken right before it.

use std::sync::Arc;
use std::time::Duration;

use crate::daemon::Node;
use crate::decide::dispatch_failure::DispatchFailure;
use crate::decide::rendezvous;
use crate::decide::submissions::AfterSend;
use crate::decide::submissions::Attempt;
use crate::decide::submissions::Outcome;
use crate::decide::submissions::PermissionStep;
use crate::decide::submissions::PermissionWait;
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

/// Timeout of a desk's response after the submission was sent.
const DESK_TIMEOUT: Duration = Duration::from_secs(10);
/// Replicas that one attempt may try to reach, each within the connect timeout.
const MAX_REPLICAS: usize = 2;

/// Marks the attempt as lost if its task ends without an outcome, and wakes its waiters.
struct EndGuard {
    node: Arc<Node>,
    id: RequestId,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        // Has no effect if an outcome was recorded.
        self.node.submissions.table().on_attempt_lost(self.id);
        self.node.submissions.announce_end();
    }
}

/// Spawns a task that runs the attempt and records its outcome.
pub fn spawn(node: &Arc<Node>, attempt: Attempt, body: serde_json::Value, parent: &Span) {
    let span = node.tracer.start_span(Hop::DeskCall, parent.traceparent().as_deref());
    let node = Arc::clone(node);
    let id = attempt.id();
    tokio::spawn(async move {
        let _in_flight = node.in_flight.begin();
        let _end = EndGuard { node: Arc::clone(&node), id };
        let submission = DeskSubmission { submission_id: id, body };
        let outcome = run(&node, attempt, &submission).await;
        if let Err(error) = Verdict::of_outcome(id, &outcome).into_receipt(id) {
            span.set_error(&error);
        }
        node.note(id, format!("submission ended: {outcome:?}"));
    });
}

async fn run(node: &Node, mut attempt: Attempt, submission: &DeskSubmission) -> Outcome {
    let wait = PermissionWait::start(node.now());
    let ranked_replicas = permitted_replicas(node, attempt.id(), &wait).await;
    for (number, desk) in ranked_replicas.iter().enumerate() {
        let has_more_replicas = number + 1 < ranked_replicas.len();
        match try_replica(node, attempt, desk, submission, has_more_replicas, &wait).await {
            AfterSend::TryAnother(next_attempt) => {
                node.metrics.count(Counter::Retried);
                attempt = next_attempt;
            }
            AfterSend::Ended(outcome) => return outcome,
        }
    }
    node.submissions.table().give_up(attempt, ErrorKind::NoBackend)
}

/// Replicas of the desk, best first; waits while none of them may get new work.
async fn permitted_replicas(
    node: &Node,
    id: RequestId,
    wait: &PermissionWait,
) -> Vec<ListedBackend> {
    loop {
        let ranked = ranked_replicas(node, id);
        let is_permitted = ranked.iter().any(|desk| node.check_dispatch(&desk.name).is_ok());
        match wait.step(node.now(), is_permitted) {
            PermissionStep::Proceed | PermissionStep::GiveUp => return ranked,
            PermissionStep::Wait(pause) => tokio::time::sleep(pause).await,
        }
    }
}

fn ranked_replicas(node: &Node, id: RequestId) -> Vec<ListedBackend> {
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
    has_more_replicas: bool,
    wait: &PermissionWait,
) -> AfterSend {
    let connection = match node.clients.desk.connect(desk.addr).await {
        Ok(connection) => connection,
        Err(failure) => {
            log_failure(desk, &failure);
            return node.submissions.table().end_without_connection(
                attempt,
                failure.end,
                has_more_replicas,
            );
        }
    };
    // A pause may have been detected since the last check.
    permitted_replicas(node, attempt.id(), wait).await;
    if let Err(error) = node.check_dispatch(&desk.name) {
        log::info!("desk {}: not sending the submission: {error}", desk.name);
        let end = DispatchFailure::ResetBeforeSend;
        return node.submissions.table().end_without_connection(attempt, end, has_more_replicas);
    }
    // The clock is read after everything that waits and right before the send.
    let permit = node.submissions.table().start_send(node.now(), attempt);
    match permit {
        Ok(permit) => send(node, permit, connection, desk, submission, has_more_replicas).await,
        Err(outcome) => AfterSend::Ended(outcome),
    }
}

async fn send(
    node: &Node,
    permit: SendPermit,
    connection: DeskConnection,
    desk: &ListedBackend,
    submission: &DeskSubmission,
    has_more_replicas: bool,
) -> AfterSend {
    match connection.submit(submission, DESK_TIMEOUT).await {
        Ok(receipt) => {
            let mut table = node.submissions.table();
            AfterSend::Ended(table.end_with_receipt(permit, &receipt.receipt))
        }
        Err(failure) => {
            log_failure(desk, &failure);
            node.submissions.table().end_without_receipt(permit, failure.end, has_more_replicas)
        }
    }
}

fn log_failure(desk: &ListedBackend, failure: &CallFailure) {
    log::warn!("desk {}: call failed: {}", desk.name, failure.detail);
}
