//! `tamaracklead outcome TICKET`: the state of a submission.

use std::time::Duration;

use super::Endpoints;
use super::Exit;
use super::Failure;
use super::instance_client::InstanceClient;
use super::instance_client::read_response;
use super::output::Output;
use crate::edge::HttpCall;
use crate::error::Error;
use crate::wire::caller::SubmissionState;
use crate::wire::caller::SubmissionStatus;

/// Time within which the response head must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Asks an instance for the state of a submission; the exit code tells the outcome.
pub(super) async fn run(
    ticket: &str,
    endpoints: &Endpoints,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let call = |addr| HttpCall::get(addr, "/v1/submissions").header("ticket", ticket);
    let reply = InstanceClient::new(endpoints)?.send_with_failover(call, RESPONSE_TIMEOUT).await?;
    let response: Result<SubmissionStatus, Error> = read_response(reply).await?;
    // An error response to this query says nothing about the submission.
    let status = response.map_err(|error| Failure::new(Exit::OutcomeUnknown, error))?;
    output.write_report(&status, |status, output| output.write_line(describe(status)))?;
    Ok(exit_for(&status.state))
}

fn describe(status: &SubmissionStatus) -> String {
    let id = status.id;
    match &status.state {
        SubmissionState::Unused => format!("submission {id} has not been sent"),
        SubmissionState::Running => format!("submission {id} is running"),
        SubmissionState::Done { receipt } => format!("submission {id} ran, receipt {receipt}"),
        SubmissionState::NotRun => format!("submission {id} did not run, and its ticket is void"),
        SubmissionState::Unknown => format!("submission {id} may have run; ask the desk"),
    }
}

fn exit_for(state: &SubmissionState) -> Exit {
    match state {
        SubmissionState::Done { .. } => Exit::Success,
        SubmissionState::Running => Exit::ConditionNotMet,
        SubmissionState::Unused | SubmissionState::NotRun => Exit::NotRun,
        SubmissionState::Unknown => Exit::OutcomeUnknown,
    }
}
