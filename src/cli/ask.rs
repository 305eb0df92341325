//! `tamaracklead ask ADAPTER PROMPT`.

use std::time::Duration;

use bytes::Bytes;

use super::Access;
use super::Exit;
use super::Failure;
use super::Input;
use super::instances::Instances;
use super::instances::read_problem;
use super::report::Output;
use crate::edge::HttpCall;
use crate::edge::HttpReply;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Problem;
use crate::wire::caller::Completion;
use crate::wire::caller::CompletionChunk;
use crate::wire::caller::CompletionRequest;
use crate::wire::caller::VersionChoice;
use crate::wire::sse::Event;
use crate::wire::sse::EventDecoder;

/// Time within which an answer must begin when the request names no deadline.
const DEFAULT_WAIT: Duration = Duration::from_secs(120);
/// Time that an instance may take beyond the deadline.
const WAIT_MARGIN: Duration = Duration::from_secs(5);

/// Asks for a completion and shows it as it comes.
pub(super) async fn run(
    request: &CompletionRequest,
    prompt: &Input,
    access: &Access,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let request = CompletionRequest { prompt: prompt.read()?, stream: true, ..request.clone() };
    let body = serde_json::to_vec(&request).map_err(|e| Failure::from(std::io::Error::from(e)))?;
    let body = Bytes::from(body);
    let wait =
        request.deadline_ms.map_or(DEFAULT_WAIT, |ms| Duration::from_millis(ms) + WAIT_MARGIN);
    let call = |addr| {
        HttpCall::post(addr, "/v1/completions", body.clone())
            .header("content-type", "application/json")
    };
    let reply = Instances::new(access)?.send(call, wait).await?;
    if !reply.status.is_success() {
        let status = reply.status.as_u16();
        let body = reply.read_body().await?;
        return Err(read_problem(status, &body).into());
    }
    stream(&request, reply, output).await
}

async fn stream(
    request: &CompletionRequest,
    mut reply: HttpReply,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let mut reader = EventDecoder::default();
    while let Ok(Some(bytes)) = reply.chunk().await {
        reader.push(&bytes);
        while let Some(event) = reader.next_event()? {
            if let Some(done) = show(&event, output)? {
                return end(request, &done, output);
            }
        }
    }
    Err(Error::new(ErrorKind::BackendFailed, "the answer broke off").into())
}

fn show(event: &Event, output: &mut Output<'_>) -> Result<Option<Completion>, Failure> {
    match event.name.as_str() {
        "done" => Ok(Some(event.parse()?)),
        "error" => Err(Error::from(event.parse::<Problem>()?).into()),
        _ => {
            let chunk: CompletionChunk = event.parse()?;
            if output.is_json() {
                output.json_line(&chunk)?;
            } else {
                output.piece(&chunk.text)?;
            }
            Ok(None)
        }
    }
}

/// Checks that the adapter and version asked for have answered.
fn end(
    request: &CompletionRequest,
    done: &Completion,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    if output.is_json() {
        output.json_line(done)?;
    } else {
        output.line("")?;
    }
    let version_fits = match request.version {
        VersionChoice::Exact(version) => version == done.version,
        VersionChoice::Newest => true,
    };
    if done.adapter == request.adapter && version_fits {
        return Ok(Exit::Success);
    }
    let detail = format!("{}@{} answered instead", done.adapter, done.version);
    Err(Error::new(ErrorKind::WrongAnswer, detail).into())
}
