//! Client of the caller API that checks each response.
//!
//! It requests completions, whole or as a stream, and sends submissions. A
//! completion counts as correct only if the expected adapter and version generated
//! all its tokens; the stand-in engine names both at the start of the text.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tamaracklead::edge::HttpCall;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::names::AdapterName;
use tamaracklead::names::Version;
use tamaracklead::wire::caller::Completion;
use tamaracklead::wire::caller::CompletionChunk;
use tamaracklead::wire::caller::SubmissionReply;
use tamaracklead::wire::caller::TicketReply;
use tamaracklead::wire::sse::EventDecoder;

use crate::fleet::LabClient;

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerError {
    /// The entry instance answered with a problem.
    Problem(Problem),
    /// The connection failed, or the response ended early or couldn't be decoded.
    Broken(String),
    /// The completion came from another adapter or version, or has the wrong length.
    WrongAnswer(String),
}

impl CallerError {
    /// Kind of the problem; `None` if the entry instance didn't answer with one.
    pub fn kind(&self) -> Option<ErrorKind> {
        match self {
            Self::Problem(problem) => Some(problem.kind),
            Self::Broken(_) | Self::WrongAnswer(_) => None,
        }
    }
}

/// A completion request and what its response must be.
#[derive(Clone, Debug)]
pub struct CompletionSpec {
    /// Adapter that must generate the completion.
    pub adapter: AdapterName,
    /// Version that must generate it; `None` requests the newest and accepts any.
    pub version: Option<Version>,
    /// Prompt to complete.
    pub prompt: String,
    /// Number of tokens to generate; a correct completion has exactly as many.
    pub max_tokens: u32,
}

impl CompletionSpec {
    /// A completion of four tokens by the newest version of an adapter.
    pub fn new(adapter: AdapterName) -> Self {
        Self { adapter, version: None, prompt: "Hello".to_owned(), max_tokens: 4 }
    }

    /// JSON body of the request.
    pub fn body(&self, stream: bool) -> Bytes {
        let mut body = serde_json::json!({
            "adapter": self.adapter,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": stream,
        });
        if let Some(version) = self.version {
            body["version"] = version.0.into();
        }
        Bytes::from(body.to_string())
    }

    /// Checks adapter, version and number of tokens of a completion with this text.
    ///
    /// # Errors
    ///
    /// `WrongAnswer` with the expected prefix and the text.
    pub fn check(&self, completion: &Completion, text: &str) -> Result<(), CallerError> {
        let version = self.version.unwrap_or(completion.version);
        let expected = format!("[{}@{version}]", self.adapter);
        let is_correct = completion.adapter == self.adapter
            && completion.version == version
            && text.starts_with(&expected)
            && completion.tokens == self.max_tokens;
        match is_correct {
            true => Ok(()),
            false => Err(CallerError::WrongAnswer(format!(
                "expected a complete answer by {expected}, got {text:?}"
            ))),
        }
    }
}

/// Requests a completion in one response and checks it.
///
/// # Errors
///
/// Why the request failed.
pub async fn complete(
    client: &LabClient,
    addr: SocketAddr,
    spec: &CompletionSpec,
) -> Result<(), CallerError> {
    let call = HttpCall::post(addr, "/v1/completions", spec.body(false));
    let body = fetch_body(client, call).await?;
    let completion: Completion = parse(&body)?;
    spec.check(&completion, &completion.text)
}

/// Requests a completion as a stream, reads it to its end and checks it.
///
/// # Errors
///
/// Why the request failed.
pub async fn complete_streaming(
    client: &LabClient,
    addr: SocketAddr,
    spec: &CompletionSpec,
) -> Result<(), CallerError> {
    let call = HttpCall::post(addr, "/v1/completions", spec.body(true));
    let mut reply = client.send(call).await.map_err(CallerError::Broken)?;
    if !reply.status.is_success() {
        let body =
            reply.read_body().await.map_err(|failure| CallerError::Broken(failure.detail))?;
        return Err(CallerError::Problem(parse(&body)?));
    }
    let mut decoder = EventDecoder::default();
    let mut text = String::new();
    while let Some(data) = reply.chunk().await.map_err(|f| CallerError::Broken(f.detail))? {
        decoder.push(&data);
        while let Some(event) = decoder.next_event().map_err(|e| CallerError::Broken(e.detail))? {
            match event.name.as_str() {
                "done" => {
                    let completion: Completion = parse(event.data.as_bytes())?;
                    return spec.check(&completion, &text);
                }
                "error" => return Err(CallerError::Problem(parse(event.data.as_bytes())?)),
                _ => {
                    let chunk: CompletionChunk = parse(event.data.as_bytes())?;
                    text.push_str(&chunk.text);
                }
            }
        }
    }
    Err(CallerError::Broken("the stream ended without a done or error event".to_owned()))
}

/// Requests a completion from `addrs` in turn and returns how many attempts failed before it.
///
/// The delay before a retry is the `Retry-After` of the problem, but 5 s at most,
/// or 1 s if there is none. A wrong answer isn't retried.
///
/// # Errors
///
/// Why the last of `max_attempts` attempts failed.
pub async fn complete_with_retries(
    client: &LabClient,
    addrs: &[SocketAddr],
    spec: &CompletionSpec,
    max_attempts: usize,
) -> Result<usize, CallerError> {
    let mut last = CallerError::Broken("no attempt was allowed".to_owned());
    for attempt in 0..max_attempts {
        let addr = addrs[attempt % addrs.len()];
        match complete(client, addr, spec).await {
            Ok(()) => return Ok(attempt),
            Err(CallerError::WrongAnswer(text)) => return Err(CallerError::WrongAnswer(text)),
            Err(error) => {
                let wait = match &error {
                    CallerError::Problem(problem) => problem.retry_after_s.unwrap_or(1),
                    CallerError::Broken(_) | CallerError::WrongAnswer(_) => 1,
                };
                tokio::time::sleep(Duration::from_secs(wait.min(5))).await;
                last = error;
            }
        }
    }
    Err(last)
}

/// Requests a ticket for one submission.
///
/// # Errors
///
/// Why the request failed.
pub async fn request_ticket(client: &LabClient, addr: SocketAddr) -> Result<String, CallerError> {
    let body = fetch_body(client, HttpCall::post(addr, "/v1/tickets", Bytes::new())).await?;
    let reply: TicketReply = parse(&body)?;
    Ok(reply.ticket)
}

/// Sends a submission under a ticket.
///
/// # Errors
///
/// Why the request failed.
pub async fn submit(
    client: &LabClient,
    addr: SocketAddr,
    ticket: &str,
    body: &serde_json::Value,
) -> Result<SubmissionReply, CallerError> {
    let body = Bytes::from(body.to_string());
    let call = HttpCall::post(addr, "/v1/submissions", body).header("ticket", ticket);
    parse(&fetch_body(client, call).await?)
}

/// Sends a call and returns the body of its successful response.
async fn fetch_body(client: &LabClient, call: HttpCall) -> Result<Bytes, CallerError> {
    let reply = client.send(call).await.map_err(CallerError::Broken)?;
    let status = reply.status;
    let body = reply.read_body().await.map_err(|failure| CallerError::Broken(failure.detail))?;
    if status.is_success() {
        return Ok(body);
    }
    Err(CallerError::Problem(parse(&body)?))
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CallerError> {
    serde_json::from_slice(body).map_err(|e| {
        CallerError::Broken(format!(
            "response can't be decoded: {e}: {}",
            String::from_utf8_lossy(body)
        ))
    })
}
