//! Tickets and submissions.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Node;
use crate::decide::drain::Work;
use crate::decide::rendezvous;
use crate::decide::submissions::Claim;
use crate::decide::submissions::Outcome;
use crate::decide::submissions::TICKET_LIFETIME;
use crate::decide::submissions::Ticket;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::telemetry::Counter;
use crate::telemetry::Hop;
use crate::telemetry::Span;
use crate::telemetry::Timing;
use crate::wire::caller::SubmissionReply;
use crate::wire::caller::TicketReply;
use crate::wire::desk::DeskSubmission;
use crate::wire::frame;
use crate::wire::peer::ForwardedSubmission;

/// Header that carries the ticket.
pub(super) const TICKET_HEADER: &str = "ticket";
/// Time within which a desk must answer.
const DESK_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the issuing instance must answer; covers the desk's.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(12);

/// Answers `POST /v1/tickets`.
///
/// # Errors
///
/// `Draining` while the instance is shutting down.
pub fn issue_ticket(node: &Node) -> Result<Reply> {
    node.check_takes(Work::Ticket)?;
    node.metrics.count(Counter::TicketIssued);
    Ok(Reply::json(200, &new_ticket(node)?))
}

fn new_ticket(node: &Node) -> Result<TicketReply> {
    let expires = node.now() + TICKET_LIFETIME;
    let ticket = Ticket {
        id: node.new_request_id()?,
        issuer: node.settings.instance.clone(),
        incarnation: node.incarnation,
        expires_ms: expires.as_micros() / 1000,
    };
    let ticket = ticket.sign(node.settings.keys.tickets.as_bytes());
    Ok(TicketReply { ticket, expires_in_s: TICKET_LIFETIME.as_secs() })
}

/// Answers `POST /v1/submissions`.
///
/// # Errors
///
/// Every error kind that a submission can end with.
pub async fn submit(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let _guard = node.in_flight.begin();
    let arrived = node.now();
    node.metrics.count(Counter::SubmissionArrived);
    let span = node.tracer.span(Hop::EntrySubmission, req.header("traceparent"));
    match submit_here(node, req, &span).await {
        Ok(reply) => {
            if reply.status == 200 {
                node.metrics.count(Counter::SubmissionAnswered);
                node.metrics.time(Timing::Submission, node.now().since(arrived));
            }
            Ok(reply)
        }
        Err(error) => {
            span.fail(&error);
            node.metrics.count_error(error.kind);
            Err(error)
        }
    }
}

async fn submit_here(node: &Arc<Node>, req: &Request, span: &Span) -> Result<Reply> {
    let Some(token) = req.header(TICKET_HEADER) else {
        let error = Error::new(ErrorKind::TicketRequired, "a submission needs a Ticket header");
        let ticket = new_ticket(node)?.ticket;
        node.metrics.count_error(error.kind);
        return Ok(Reply::error(&error).header(TICKET_HEADER, ticket));
    };
    let ticket = Ticket::verify(token, node.settings.keys.tickets.as_bytes())?;
    if ticket.incarnation == node.incarnation {
        let reply = run(node, &ticket, &req.body, span).await?;
        return Ok(Reply::json(200, &reply));
    }
    forward(node, &ticket, token, req, span).await
}

/// Answers `POST /peer/v1/submit`.
///
/// # Errors
///
/// Every error kind that a submission can end with.
pub async fn serve_forwarded(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let _guard = node.in_flight.begin();
    let message: ForwardedSubmission = frame::decode(&req.body)?;
    let ticket = Ticket::verify(&message.ticket, node.settings.keys.tickets.as_bytes())?;
    if ticket.incarnation != node.incarnation {
        return Err(unknown(&ticket));
    }
    let span = node.tracer.span(Hop::IssuerSubmission, message.traceparent.as_deref());
    let reply = run(node, &ticket, &message.body, &span).await;
    reply.inspect_err(|error| span.fail(error)).map(|reply| Reply::message(&reply))
}

async fn forward(
    node: &Node,
    ticket: &Ticket,
    token: &str,
    req: &Request,
    span: &Span,
) -> Result<Reply> {
    let issuer = node.membership(|membership| {
        membership.by_incarnation(ticket.incarnation).map(PeerTarget::from)
    });
    let Some(issuer) = issuer else { return Err(unknown(ticket)) };
    let call = node.tracer.span(Hop::ForwardCall, span.traceparent().as_deref());
    let message = ForwardedSubmission {
        ticket: token.to_owned(),
        body: req.body.to_vec(),
        traceparent: call.traceparent(),
    };
    let peer = &node.clients.peer;
    let answer = peer.call(&issuer, PeerPath::Submit, &message, FORWARD_TIMEOUT).await;
    let reply: SubmissionReply = answer.map_err(|_| unknown(ticket))??;
    Ok(Reply::json(200, &reply))
}

async fn run(
    node: &Arc<Node>,
    ticket: &Ticket,
    body: &[u8],
    span: &Span,
) -> Result<SubmissionReply> {
    let value: serde_json::Value = serde_json::from_slice(body)
        .map_err(|e| Error::new(ErrorKind::Malformed, format!("body: {e}")))?;
    let expires = Timestamp::from_millis(ticket.expires_ms);
    let claim = node.book().claim(node.now(), ticket.id, expires, xxh3_64(body))?;
    match claim {
        Claim::Ended(outcome) => answer(ticket, outcome),
        Claim::Running => wait_for(node, ticket).await,
        Claim::Run => {
            let node = Arc::clone(node);
            let ticket = ticket.clone();
            let call = node.tracer.span(Hop::DeskCall, span.traceparent().as_deref());
            let task = tokio::spawn(async move {
                let answer = call_desk(&node, &ticket, value).await;
                answer.inspect_err(|error| call.fail(error))
            });
            task.await.map_err(|_| Error::new(ErrorKind::OutcomeUnknown, "submission was lost"))?
        }
    }
}

async fn call_desk(
    node: &Node,
    ticket: &Ticket,
    body: serde_json::Value,
) -> Result<SubmissionReply> {
    let _guard = node.in_flight.begin();
    let desks = node.backends(|known| known.live_desks().into_iter().cloned().collect());
    let key = ticket.id.to_string();
    let ranked = rendezvous::rank(&key, desks, |desk: &crate::wire::listing::ListedBackend| {
        desk.name.as_str()
    });
    let submission = DeskSubmission { submission_id: ticket.id, body };
    for desk in ranked {
        match node.clients.desk.submit(desk.addr, &submission, DESK_TIMEOUT).await {
            Ok(receipt) => {
                let outcome = Outcome::Done { receipt: receipt.receipt };
                node.book().finish(ticket.id, outcome.clone());
                return answer(ticket, outcome);
            }
            Err(failure) if failure.end.proves_not_run() => {
                node.metrics.count(Counter::Retried);
                log::warn!("desk {}: {}", desk.name, failure.detail);
            }
            Err(failure) => {
                log::warn!("desk {}: {}", desk.name, failure.detail);
                node.book().finish(ticket.id, Outcome::Unknown);
                return answer(ticket, Outcome::Unknown);
            }
        }
    }
    node.book().release(ticket.id);
    Err(Error::new(ErrorKind::NoBackend, "no desk could be reached"))
}

/// Waits for a submission that another call is running.
async fn wait_for(node: &Node, ticket: &Ticket) -> Result<SubmissionReply> {
    /// How often the book is looked at.
    const POLL: Duration = Duration::from_millis(20);
    let until = node.now() + DESK_TIMEOUT;
    while node.now() < until {
        match node.book().outcome(ticket.id) {
            Some(Claim::Ended(outcome)) => return answer(ticket, outcome),
            Some(Claim::Running | Claim::Run) => {}
            None => return Err(Error::new(ErrorKind::NoBackend, "no desk could be reached")),
        }
        tokio::time::sleep(POLL).await;
    }
    Err(unknown(ticket))
}

fn answer(ticket: &Ticket, outcome: Outcome) -> Result<SubmissionReply> {
    match outcome {
        Outcome::Done { receipt } => Ok(SubmissionReply { id: ticket.id, receipt }),
        Outcome::Unknown => Err(unknown(ticket)),
    }
}

fn unknown(ticket: &Ticket) -> Error {
    let id: RequestId = ticket.id;
    let detail = format!("submission {id} may have run; ask the desk for its status");
    Error::new(ErrorKind::OutcomeUnknown, detail)
}
