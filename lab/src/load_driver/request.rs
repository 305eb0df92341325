//! Sends one completion of a load run and classifies its outcome.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tamaracklead::edge::HttpCall;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::wire::sse::EventDecoder;

use crate::caller::CompletionSpec;
use crate::fleet::LabClient;

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response came from the requested adapter and version.
    Answered {
        /// Time from the planned arrival to the first token.
        first_token: Duration,
        /// Time from the planned arrival to the end of the stream.
        end_to_end: Duration,
    },
    /// The fleet answered with a problem, at once or in the stream.
    Problem(ErrorKind),
    /// The connection broke or the response couldn't be read.
    Broken,
    /// The text came from another adapter or version, or has the wrong length.
    WrongAnswer(String),
}

/// Sends one completion and reads its stream to the end; `planned` is its arrival time.
pub async fn send_completion(
    client: &LabClient,
    addr: SocketAddr,
    spec: &CompletionSpec,
    planned: Instant,
) -> RequestOutcome {
    let call = HttpCall::post(addr, "/v1/completions", spec.body(true));
    let Ok(mut reply) = client.send(call).await else { return RequestOutcome::Broken };
    if !reply.status.is_success() {
        return match reply.read_body().await {
            Ok(body) => match serde_json::from_slice::<Problem>(&body) {
                Ok(problem) => RequestOutcome::Problem(problem.kind),
                Err(_) => RequestOutcome::Broken,
            },
            Err(_) => RequestOutcome::Broken,
        };
    }
    let mut decoder = EventDecoder::default();
    let mut text = String::new();
    let mut first_token = None;
    while let Ok(Some(data)) = reply.chunk().await {
        decoder.push(&data);
        while let Ok(Some(event)) = decoder.next_event() {
            match event.name.as_str() {
                "done" => {
                    let end_to_end = planned.elapsed();
                    let first_token = first_token.unwrap_or(end_to_end);
                    return match event.parse() {
                        Ok(done) if spec.check(&done, &text).is_ok() => {
                            RequestOutcome::Answered { first_token, end_to_end }
                        }
                        _ => RequestOutcome::WrongAnswer(text),
                    };
                }
                "error" => {
                    return event.parse::<Problem>().map_or(RequestOutcome::Broken, |problem| {
                        RequestOutcome::Problem(problem.kind)
                    });
                }
                _ => {
                    first_token.get_or_insert_with(|| planned.elapsed());
                    if let Ok(chunk) = event.parse::<tamaracklead::wire::caller::CompletionChunk>()
                    {
                        text.push_str(&chunk.text);
                    }
                }
            }
        }
    }
    RequestOutcome::Broken
}
