//! What became of a submission, told without running it.

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

/// Time within which the issuing instance must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers `GET /v1/submissions`.
///
/// # Errors
///
/// `TicketRequired` or `TicketInvalid`.
pub async fn serve(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let Some(token) = req.header(TICKET_HEADER) else {
        let detail = "the Ticket header names the submission";
        return Err(Error::new(ErrorKind::TicketRequired, detail));
    };
    let ticket = verify(node, token)?;
    if ticket.incarnation == node.incarnation {
        return Ok(Reply::json(200, &own(node, &ticket)));
    }
    Ok(Reply::json(200, &ask_issuer(node, &ticket, token).await))
}

/// Answers `POST /peer/v1/outcome`.
///
/// # Errors
///
/// `Malformed` or `TicketInvalid`.
pub fn serve_forwarded(node: &Node, req: &Request) -> Result<Reply> {
    let question: OutcomeRequest = frame::decode(&req.body)?;
    let ticket = verify(node, &question.ticket)?;
    let status =
        if ticket.incarnation == node.incarnation { own(node, &ticket) } else { unknown(&ticket) };
    Ok(Reply::msgpack(&status))
}

fn verify(node: &Node, token: &str) -> Result<Ticket> {
    Ticket::verify(token, node.settings.keys.tickets.as_bytes())
}

fn own(node: &Node, ticket: &Ticket) -> SubmissionStatus {
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

/// Asks the issuing incarnation; without its answer the state is unknown.
async fn ask_issuer(node: &Node, ticket: &Ticket, token: &str) -> SubmissionStatus {
    let issuer = node.membership(|membership| {
        membership.by_incarnation(ticket.incarnation).map(PeerTarget::from)
    });
    let Some(issuer) = issuer else { return unknown(ticket) };
    let question = OutcomeRequest { ticket: token.to_owned() };
    let client = &node.clients.peer;
    match client.call(&issuer, PeerPath::Outcome, &question, ANSWER_TIMEOUT).await {
        Ok(Ok(status)) => status,
        Ok(Err(_)) | Err(_) => unknown(ticket),
    }
}

fn unknown(ticket: &Ticket) -> SubmissionStatus {
    SubmissionStatus { id: ticket.id, state: SubmissionState::Unknown }
}
