//! `tamaracklead submit FILE`: a submission with a ticket, resent by [`ResendPolicy`].

use std::io::Write;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::sleep;

use super::Endpoints;
use super::Exit;
use super::Failure;
use super::Input;
use super::instance_client::InstanceClient;
use super::instance_client::read_response;
use super::output::Output;
use crate::decide::resend::AttemptEnd;
use crate::decide::resend::NextStep;
use crate::decide::resend::ResendPolicy;
use crate::edge::CallFailure;
use crate::edge::HttpCall;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::RequestId;
use crate::wire::caller::SubmissionReply;
use crate::wire::caller::TicketReply;

/// Time within which the response head to a ticket request must arrive.
const TICKET_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the response head to a submission must arrive; covers the timeouts of
/// the desk and of the ticket's issuer.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Serialize)]
struct SubmissionReport {
    id: RequestId,
    receipt: String,
    attempts: u32,
}

/// Sends one submission, with its resends.
struct SubmissionSender<'a> {
    client: InstanceClient,
    body: Bytes,
    err: &'a mut dyn Write,
    attempts: u32,
}

/// Gets a ticket, submits, and resends while that can't run the submission twice.
pub(super) async fn run(
    body: &Input,
    attempts: u32,
    endpoints: &Endpoints,
    output: &mut Output<'_>,
    err: &mut dyn Write,
) -> Result<Exit, Failure> {
    let body = body.read()?;
    if let Err(e) = serde_json::from_str::<serde_json::Value>(&body) {
        let error = Error::new(ErrorKind::Malformed, format!("body is not JSON: {e}"));
        return Err(Failure::new(Exit::Usage, error));
    }
    let client = InstanceClient::new(endpoints)?;
    let mut sender = SubmissionSender { client, body: Bytes::from(body), err, attempts: 0 };
    let reply = sender.send(ResendPolicy::new(attempts)).await?;
    let report =
        SubmissionReport { id: reply.id, receipt: reply.receipt, attempts: sender.attempts };
    output.write_report(&report, |report, output| {
        output.write_line(format!("receipt {} (submission {})", report.receipt, report.id))
    })?;
    Ok(Exit::Success)
}

impl SubmissionSender<'_> {
    async fn send(&mut self, mut policy: ResendPolicy) -> Result<SubmissionReply, Failure> {
        let mut ticket = self.new_ticket().await?;
        loop {
            let (end, cause) = match self.attempt(&ticket).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => (AttemptEnd::Refused(error.clone()), error),
                Err(failure) => Self::failed_attempt(failure),
            };
            match policy.on_attempt_end(&end) {
                NextStep::SameTicket { after } => sleep(after).await,
                NextStep::NewTicket { after } => {
                    sleep(after).await;
                    ticket = self.new_ticket().await?;
                }
                NextStep::GiveUpNotRun => return Err(Failure::new(Exit::NotRun, cause)),
                NextStep::GiveUpUnknown => return Err(Self::outcome_unknown(&ticket, &cause)),
            }
        }
    }

    async fn attempt(
        &mut self,
        ticket: &str,
    ) -> Result<Result<SubmissionReply, Error>, CallFailure> {
        let addr = self.client.addr_of_attempt(self.attempts as usize);
        self.attempts += 1;
        let call = HttpCall::post(addr, "/v1/submissions", self.body.clone())
            .header("content-type", "application/json")
            .header("ticket", ticket);
        let reply = self.client.send_once(call, SUBMIT_TIMEOUT).await?;
        read_response(reply).await
    }

    async fn new_ticket(&mut self) -> Result<String, Failure> {
        let call = |addr| HttpCall::post(addr, "/v1/tickets", Bytes::new());
        let reply = self.client.send_with_failover(call, TICKET_TIMEOUT).await?;
        let ticket: TicketReply = read_response(reply).await??;
        // Written before its first use, so that `outcome` works even if this process is killed.
        writeln!(self.err, "ticket {}", ticket.ticket)?;
        Ok(ticket.ticket)
    }

    fn failed_attempt(failure: CallFailure) -> (AttemptEnd, Error) {
        let not_sent = failure.end.proves_not_run();
        let end = if not_sent { AttemptEnd::NotSent } else { AttemptEnd::Lost };
        (end, failure.into_error(ErrorKind::PeerUnreachable))
    }

    fn outcome_unknown(ticket: &str, cause: &Error) -> Failure {
        let detail = format!("{}; ask the desk, or `outcome {ticket}`", cause.detail);
        Failure::new(Exit::OutcomeUnknown, Error::new(ErrorKind::OutcomeUnknown, detail))
    }
}
