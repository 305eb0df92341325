//! Status queries for submissions, which never run anything.
//!
//! Only the incarnation that issued a ticket knows its state; other instances
//! forward the query to it and answer `unknown` if it doesn't reply.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::decide::submissions::Outcome;
use crate::decide::submissions::Ticket;
use crate::decide::submissions::TicketStatus;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::wire::caller::SubmissionState;
use crate::wire::caller::SubmissionStatus;
use crate::wire::caller::TICKET_HEADER;
use crate::wire::frame;
use crate::wire::peer::OutcomeRequest;

/// Timeout of a query forwarded to the issuing instance.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers `GET /v1/submissions`.
///
/// # Errors
///
/// `TicketRequired` without a ticket, `TicketInvalid` if its signature doesn't hold.
pub async fn serve(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let Some(token) = req.header(TICKET_HEADER) else {
        let detail = "the Ticket header names the submission";
        return Err(Error::new(ErrorKind::TicketRequired, detail));
    };
    let ticket = verify(node, token)?;
    if ticket.incarnation == node.incarnation {
        return Ok(Reply::json(200, &own_status(node, &ticket)));
    }
    Ok(Reply::json(200, &query_issuer(node, &ticket, token).await))
}

/// Answers `POST /peer/v1/outcome`; never forwards again.
///
/// # Errors
///
/// `Malformed` if the body isn't an outcome request, `TicketInvalid` as in [`serve`].
pub fn serve_forwarded(node: &Node, req: &Request) -> Result<Reply> {
    let request: OutcomeRequest = frame::decode(&req.body)?;
    let ticket = verify(node, &request.ticket)?;
    let status = if ticket.incarnation == node.incarnation {
        own_status(node, &ticket)
    } else {
        unknown_status(&ticket)
    };
    Ok(Reply::msgpack(&status))
}

fn verify(node: &Node, token: &str) -> Result<Ticket> {
    Ticket::verify(token, node.settings.keys.tickets.as_bytes())
}

fn own_status(node: &Node, ticket: &Ticket) -> SubmissionStatus {
    let now = node.now();
    let state = match node.submissions.table().ticket_status(now, ticket) {
        TicketStatus::Unused => SubmissionState::Unused,
        TicketStatus::Running => SubmissionState::Running,
        TicketStatus::Ended(Outcome::Done { receipt }) => {
            SubmissionState::Done { receipt: receipt.to_string() }
        }
        TicketStatus::Ended(Outcome::NotRun { .. }) => SubmissionState::NotRun,
        TicketStatus::Ended(Outcome::Unknown) | TicketStatus::Unknown => SubmissionState::Unknown,
    };
    SubmissionStatus { id: ticket.id, state }
}

/// Asks the issuing incarnation; the state is unknown if it isn't listed or doesn't reply.
async fn query_issuer(node: &Node, ticket: &Ticket, token: &str) -> SubmissionStatus {
    let issuer = node.membership(|membership| {
        membership.by_incarnation(ticket.incarnation).map(PeerTarget::from)
    });
    let Some(issuer) = issuer else { return unknown_status(ticket) };
    let request = OutcomeRequest { ticket: token.to_owned() };
    let client = &node.clients.peer;
    match client.call(&issuer, PeerPath::Outcome, &request, REPLY_TIMEOUT).await {
        Ok(Ok(status)) => status,
        Ok(Err(_)) | Err(_) => unknown_status(ticket),
    }
}

fn unknown_status(ticket: &Ticket) -> SubmissionStatus {
    SubmissionStatus { id: ticket.id, state: SubmissionState::Unknown }
}
