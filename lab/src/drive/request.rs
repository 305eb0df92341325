//! One request of a load, and how it ended.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tamaracklead::edge::HttpCall;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::wire::sse::EventDecoder;

use crate::ask::AskedCompletion;
use crate::fleet::LabClient;

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered whole, by the adapter asked for.
    Answered {
        /// Time from the planned arrival to the first token.
        first_token: Duration,
        /// Time from the planned arrival to the end.
        whole: Duration,
    },
    /// Refused or failed with a problem.
    Problem(ErrorKind),
    /// The connection broke or the answer could not be read.
    Broken,
    /// Answered by another adapter or version, or not whole.
    Wrong(String),
}

/// Sends one completion and follows its stream to the end.
pub async fn run(
    client: &LabClient,
    addr: SocketAddr,
    asked: &AskedCompletion,
    planned: Instant,
) -> End {
    let call = HttpCall::post(addr, "/v1/completions", asked.body(true));
    let Ok(mut reply) = client.send(call).await else { return End::Broken };
    if !reply.status.is_success() {
        return match reply.read_body().await {
            Ok(body) => match serde_json::from_slice::<Problem>(&body) {
                Ok(problem) => End::Problem(problem.kind),
                Err(_) => End::Broken,
            },
            Err(_) => End::Broken,
        };
    }
    let mut reader = EventDecoder::default();
    let mut text = String::new();
    let mut first_token = None;
    while let Ok(Some(data)) = reply.chunk().await {
        reader.push(&data);
        while let Ok(Some(event)) = reader.next_event() {
            match event.name.as_str() {
                "done" => {
                    let whole = planned.elapsed();
                    let first_token = first_token.unwrap_or(whole);
                    return match event.parse() {
                        Ok(done) if asked.check(&done, &text).is_ok() => {
                            End::Answered { first_token, whole }
                        }
                        _ => End::Wrong(text),
                    };
                }
                "error" => {
                    return event
                        .parse::<Problem>()
                        .map_or(End::Broken, |problem| End::Problem(problem.kind));
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
    End::Broken
}
