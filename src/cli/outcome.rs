//! `tamaracklead outcome TICKET`.

use std::time::Duration;

use super::Access;
use super::Exit;
use super::Failure;
use super::instances::Instances;
use super::instances::read_answer;
use super::report::Output;
use crate::edge::HttpCall;
use crate::error::Error;
use crate::wire::caller::SubmissionState;
use crate::wire::caller::SubmissionStatus;

/// Time within which the state must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Tells what became of a submission.
pub(super) async fn run(
    ticket: &str,
    access: &Access,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let call = |addr| HttpCall::get(addr, "/v1/submissions").header("ticket", ticket);
    let reply = Instances::new(access)?.send(call, ANSWER_TIMEOUT).await?;
    let answer: Result<SubmissionStatus, Error> = read_answer(reply).await?;
    // A refusal of the question tells nothing about the submission.
    let status = answer.map_err(|error| Failure::new(Exit::OutcomeUnknown, error))?;
    output.report(&status, |status, output| output.line(text(status)))?;
    Ok(exit(&status.state))
}

fn text(status: &SubmissionStatus) -> String {
    let id = status.id;
    match &status.state {
        SubmissionState::Unused => format!("submission {id} has not been sent"),
        SubmissionState::Running => format!("submission {id} is running"),
        SubmissionState::Done { receipt } => format!("submission {id} ran, receipt {receipt}"),
        SubmissionState::NotRun => format!("submission {id} did not run, and its ticket is void"),
        SubmissionState::Unknown => format!("submission {id} may have run; ask the desk"),
    }
}

fn exit(state: &SubmissionState) -> Exit {
    match state {
        SubmissionState::Done { .. } => Exit::Success,
        SubmissionState::Running => Exit::Found,
        SubmissionState::Unused | SubmissionState::NotRun => Exit::NotRun,
        SubmissionState::Unknown => Exit::OutcomeUnknown,
    }
}
