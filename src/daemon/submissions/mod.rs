//! Tickets, and submissions that run at most once.
//!
//! Only the process that issued a ticket may claim it; all others forward to
//! that process. The attempt to run a submission is a task of its own, so a
//! caller's disconnect doesn't cancel it, and a caller that sends the same
//! ticket meanwhile waits for the outcome.

mod attempt;
mod shard;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

pub use self::shard::Submissions;
use super::Node;
use crate::decide::drain::WorkKind;
use crate::decide::submissions::BodyHash;
use crate::decide::submissions::ClaimResult;
use crate::decide::submissions::Ticket;
use crate::decide::submissions::TicketRoute;
use crate::decide::submissions::Verdict;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::telemetry::Counter;
use crate::telemetry::Hop;
use crate::telemetry::Span;
use crate::telemetry::Timing;
use crate::wire::caller::SubmissionReply;
use crate::wire::caller::TICKET_HEADER;
use crate::wire::caller::TicketReply;
use crate::wire::frame;
use crate::wire::peer::ForwardedSubmission;

/// Longest wait of a caller for the outcome; covers connecting to two desks and one call.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(13);
/// Timeout of a submission forwarded to its issuer; longer than [`OUTCOME_TIMEOUT`].
const FORWARD_TIMEOUT: Duration = Duration::from_secs(14);

/// Answers `POST /v1/tickets`.
///
/// # Errors
///
/// `Draining` while the instance is shutting down, `Overloaded` while its table of tickets is
/// full.
pub fn issue_ticket(node: &Node) -> Result<Reply> {
    Ok(Reply::json(200, &new_ticket(node)?))
}

fn new_ticket(node: &Node) -> Result<TicketReply> {
    node.check_accepts(WorkKind::Ticket)?;
    let id = node.new_request_id()?;
    let now = node.now();
    let ticket = node.submissions.table().issue(now, id)?;
    node.metrics.count(Counter::TicketIssued);
    let lifetime = ticket.expires_ms.saturating_sub(now.as_micros() / 1000);
    Ok(TicketReply {
        id,
        ticket: ticket.sign(node.settings.keys.tickets.as_bytes()),
        expires_in_s: lifetime.div_ceil(1000),
    })
}

/// Answers `POST /v1/submissions`.
///
/// # Errors
///
/// None is returned: each becomes a reply. With a ticket, an error from before the issuer's
/// decision doesn't prove that the submission did not run.
pub async fn submit(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let _guard = node.in_flight.begin();
    let arrived = node.now();
    node.metrics.count(Counter::SubmissionArrived);
    let span = node.tracer.start_span(Hop::EntrySubmission, req.header("traceparent"));
    let Some(token) = req.header(TICKET_HEADER) else {
        return Ok(ticket_required(node));
    };
    match run_or_forward(node, token, &req.body, &span).await {
        Ok(reply) => {
            node.metrics.count(Counter::SubmissionAnswered);
            node.metrics.record_duration(Timing::Submission, node.now().since(arrived));
            Ok(Reply::json(200, &reply))
        }
        Err(error) => {
            span.set_error(&error);
            node.metrics.count_error(error.kind);
            Ok(Reply::error(&error))
        }
    }
}

/// Claims the ticket here or forwards it to its issuer; returns the receipt or the caller's error.
async fn run_or_forward(
    node: &Arc<Node>,
    token: &str,
    body: &[u8],
    span: &Span,
) -> Result<SubmissionReply> {
    let ticket = verify(node, token).map_err(Error::may_have_run)?;
    let verdict = match route(node, &ticket) {
        TicketRoute::Here => claim_and_wait(node, &ticket, body, span).await,
        TicketRoute::Forward(_) => Ok(forward(node, &ticket, token, body, span).await),
        TicketRoute::Gone => Ok(Verdict::issuer_lost(&ticket, "its process is gone")),
    };
    let receipt = verdict.map_err(Error::may_have_run)?.into_receipt(ticket.id)?;
    Ok(SubmissionReply { id: ticket.id, receipt })
}

/// Answers `POST /peer/v1/submit`; never forwards again.
///
/// # Errors
///
/// `Malformed`, `TicketInvalid`, or what else kept this instance from deciding on the submission.
pub async fn serve_forwarded(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let _guard = node.in_flight.begin();
    let message: ForwardedSubmission = frame::decode(&req.body)?;
    let ticket = verify(node, &message.ticket)?;
    let span = node.tracer.start_span(Hop::IssuerSubmission, message.traceparent.as_deref());
    let verdict = match route(node, &ticket) {
        TicketRoute::Here => claim_and_wait(node, &ticket, &message.body, &span).await?,
        TicketRoute::Forward(_) | TicketRoute::Gone => {
            Verdict::issuer_lost(&ticket, "its process is gone")
        }
    };
    Ok(Reply::msgpack(&verdict))
}

fn verify(node: &Node, token: &str) -> Result<Ticket> {
    Ticket::verify(token, node.settings.keys.tickets.as_bytes())
}

fn route(node: &Node, ticket: &Ticket) -> TicketRoute {
    node.membership(|membership| {
        let is_known = |name: &_| membership.get(name).is_some();
        TicketRoute::of(ticket, &node.settings.instance, node.incarnation, is_known)
    })
}

fn ticket_required(node: &Node) -> Reply {
    let error = Error::new(ErrorKind::TicketRequired, "a submission needs a Ticket header");
    node.metrics.count_error(error.kind);
    let reply = Reply::error(&error);
    match new_ticket(node) {
        Ok(fresh) => reply.header(TICKET_HEADER, fresh.ticket),
        Err(_) => reply,
    }
}

async fn forward(node: &Node, ticket: &Ticket, token: &str, body: &[u8], span: &Span) -> Verdict {
    let issuer = node.membership(|membership| membership.get(&ticket.issuer).map(PeerTarget::from));
    let Some(issuer) = issuer else {
        return Verdict::issuer_lost(ticket, "it is not listed");
    };
    let call = node.tracer.start_span(Hop::ForwardCall, span.traceparent().as_deref());
    let message = ForwardedSubmission {
        ticket: token.to_owned(),
        body: body.to_vec(),
        traceparent: call.traceparent(),
    };
    let peer = &node.clients.peer;
    match peer.call::<_, Verdict>(&issuer, PeerPath::Submit, &message, FORWARD_TIMEOUT).await {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(error)) => Verdict::issuer_lost(ticket, &error.detail),
        Err(failure) => Verdict::issuer_lost(ticket, &failure.detail),
    }
}

/// Claims the ticket, runs its submission on the first claim, and waits for the outcome.
async fn claim_and_wait(
    node: &Arc<Node>,
    ticket: &Ticket,
    body: &[u8],
    span: &Span,
) -> Result<Verdict> {
    let value: serde_json::Value = serde_json::from_slice(body)
        .map_err(|e| Error::new(ErrorKind::Malformed, format!("body: {e}")))?;
    let hash = BodyHash::of(body);
    let until = node.now() + OUTCOME_TIMEOUT;
    loop {
        let ended = node.submissions.ended();
        let claim = node.submissions.table().claim(node.now(), ticket, hash);
        match claim {
            Ok(ClaimResult::Ended(outcome)) => return Ok(Verdict::of_outcome(ticket.id, &outcome)),
            Ok(ClaimResult::Run(attempt)) => attempt::spawn(node, attempt, value.clone(), span),
            Ok(ClaimResult::Running) => {}
            Err(error) => return Ok(Verdict::of_refusal(error)),
        }
        if timeout(until.since(node.now()), ended).await.is_err() {
            return Ok(Verdict::unknown(ticket.id, "it is still running"));
        }
    }
}
