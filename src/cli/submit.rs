//! `tamaracklead submit FILE`.

use std::io::Write;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::sleep;

use super::Access;
use super::Exit;
use super::Failure;
use super::Input;
use super::instances::Instances;
use super::instances::read_answer;
use super::report::Output;
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

/// Time within which a ticket must be issued.
const TICKET_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a submission must be answered; covers the desk's and the issuer's.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Serialize)]
struct Report {
    id: RequestId,
    receipt: String,
    attempts: u32,
}

/// One submission under way.
struct Submission<'a> {
    instances: Instances,
    body: Bytes,
    err: &'a mut dyn Write,
    attempts: u32,
}

/// Gets a ticket, submits, and sends again as far as that can't run it twice.
pub(super) async fn run(
    body: &Input,
    attempts: u32,
    access: &Access,
    output: &mut Output<'_>,
    err: &mut dyn Write,
) -> Result<Exit, Failure> {
    let body = body.read()?;
    if let Err(e) = serde_json::from_str::<serde_json::Value>(&body) {
        let error = Error::new(ErrorKind::Malformed, format!("body is not JSON: {e}"));
        return Err(Failure::new(Exit::Usage, error));
    }
    let instances = Instances::new(access)?;
    let mut submission = Submission { instances, body: Bytes::from(body), err, attempts: 0 };
    let reply = submission.send(ResendPolicy::new(attempts)).await?;
    let report = Report { id: reply.id, receipt: reply.receipt, attempts: submission.attempts };
    output.report(&report, |report, output| {
        output.line(format!("receipt {} (submission {})", report.receipt, report.id))
    })?;
    Ok(Exit::Success)
}

impl Submission<'_> {
    async fn send(&mut self, mut resend: ResendPolicy) -> Result<SubmissionReply, Failure> {
        let mut ticket = self.new_ticket().await?;
        loop {
            let (end, cause) = match self.attempt(&ticket).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => (AttemptEnd::Refused(error.clone()), error),
                Err(failure) => Self::lost(failure),
            };
            match resend.on_attempt_end(&end) {
                NextStep::SameTicket { after } => sleep(after).await,
                NextStep::NewTicket { after } => {
                    sleep(after).await;
                    ticket = self.new_ticket().await?;
                }
                NextStep::GiveUpNotRun => return Err(Failure::new(Exit::NotRun, cause)),
                NextStep::GiveUpUnknown => return Err(Self::unknown(&ticket, &cause)),
            }
        }
    }

    async fn attempt(
        &mut self,
        ticket: &str,
    ) -> Result<Result<SubmissionReply, Error>, CallFailure> {
        let addr = self.instances.addr(self.attempts as usize);
        self.attempts += 1;
        let call = HttpCall::post(addr, "/v1/submissions", self.body.clone())
            .header("content-type", "application/json")
            .header("ticket", ticket);
        let reply = self.instances.send_once(call, SUBMIT_TIMEOUT).await?;
        read_answer(reply).await
    }

    async fn new_ticket(&mut self) -> Result<String, Failure> {
        let call = |addr| HttpCall::post(addr, "/v1/tickets", Bytes::new());
        let reply = self.instances.send(call, TICKET_TIMEOUT).await?;
        let ticket: TicketReply = read_answer(reply).await??;
        // Shown before its first use, so that the outcome can be asked for if this process ends.
        writeln!(self.err, "ticket {}", ticket.ticket)?;
        Ok(ticket.ticket)
    }

    fn lost(failure: CallFailure) -> (AttemptEnd, Error) {
        let not_sent = failure.end.proves_not_run();
        let end = if not_sent { AttemptEnd::NotSent } else { AttemptEnd::Lost };
        (end, failure.into_error(ErrorKind::PeerUnreachable))
    }

    fn unknown(ticket: &str, cause: &Error) -> Failure {
        let detail = format!("{}; ask the desk, or `outcome {ticket}`", cause.detail);
        Failure::new(Exit::OutcomeUnknown, Error::new(ErrorKind::OutcomeUnknown, detail))
    }
}
