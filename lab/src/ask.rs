//! What a caller does: asks for completions and submits, coming back when told to.

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

/// How an answer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskError {
    /// The instance answered with a problem.
    Problem(Problem),
    /// The call broke.
    Broken(String),
    /// The answer was wrong.
    Wrong(String),
}

impl AskError {
    /// Kind of the problem, if the instance answered with one.
    pub fn kind(&self) -> Option<ErrorKind> {
        match self {
            Self::Problem(problem) => Some(problem.kind),
            Self::Broken(_) | Self::Wrong(_) => None,
        }
    }
}

/// A completion that a caller asks for.
#[derive(Clone, Debug)]
pub struct AskedCompletion {
    /// Adapter that must answer.
    pub adapter: AdapterName,
    /// Version that must answer; the newest if absent.
    pub version: Option<Version>,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

impl AskedCompletion {
    /// A short completion by the newest version of an adapter.
    pub fn new(adapter: AdapterName) -> Self {
        Self { adapter, version: None, prompt: "Hello".to_owned(), max_tokens: 4 }
    }

    /// The request's body.
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

    /// Checks that the answer is whole and by the right adapter and version.
    ///
    /// # Errors
    ///
    /// What was wrong.
    pub fn check(&self, completion: &Completion, text: &str) -> Result<(), AskError> {
        let version = self.version.unwrap_or(completion.version);
        let expected = format!("[{}@{version}]", self.adapter);
        let right = completion.adapter == self.adapter
            && completion.version == version
            && text.starts_with(&expected)
            && completion.tokens == self.max_tokens;
        match right {
            true => Ok(()),
            false => Err(AskError::Wrong(format!("wanted {expected}, got {text:?}"))),
        }
    }
}

/// Asks for a whole answer and checks it.
///
/// # Errors
///
/// How it failed.
pub async fn ask(
    client: &LabClient,
    addr: SocketAddr,
    asked: &AskedCompletion,
) -> Result<(), AskError> {
    let call = HttpCall::post(addr, "/v1/completions", asked.body(false));
    let body = whole(client, call).await?;
    let completion: Completion = parse(&body)?;
    asked.check(&completion, &completion.text)
}

/// Asks for a stream, reads it to its end and checks it.
///
/// # Errors
///
/// How it failed.
pub async fn ask_stream(
    client: &LabClient,
    addr: SocketAddr,
    asked: &AskedCompletion,
) -> Result<(), AskError> {
    let call = HttpCall::post(addr, "/v1/completions", asked.body(true));
    let mut reply = client.send(call).await.map_err(AskError::Broken)?;
    if !reply.status.is_success() {
        let body = reply.read_body().await.map_err(|failure| AskError::Broken(failure.detail))?;
        return Err(AskError::Problem(parse(&body)?));
    }
    let mut reader = EventDecoder::default();
    let mut text = String::new();
    while let Some(data) = reply.chunk().await.map_err(|f| AskError::Broken(f.detail))? {
        reader.push(&data);
        while let Some(event) = reader.next_event().map_err(|e| AskError::Broken(e.detail))? {
            match event.name.as_str() {
                "done" => {
                    let completion: Completion = parse(event.data.as_bytes())?;
                    return asked.check(&completion, &text);
                }
                "error" => return Err(AskError::Problem(parse(event.data.as_bytes())?)),
                _ => {
                    let chunk: CompletionChunk = parse(event.data.as_bytes())?;
                    text.push_str(&chunk.text);
                }
            }
        }
    }
    Err(AskError::Broken("the stream ended early".to_owned()))
}

/// Asks until it's answered, coming back when told to, at most `tries` times.
///
/// # Errors
///
/// How the last try failed.
pub async fn ask_patiently(
    client: &LabClient,
    addrs: &[SocketAddr],
    asked: &AskedCompletion,
    tries: usize,
) -> Result<usize, AskError> {
    let mut last = AskError::Broken("no address".to_owned());
    for attempt in 0..tries {
        let addr = addrs[attempt % addrs.len()];
        match ask(client, addr, asked).await {
            Ok(()) => return Ok(attempt),
            Err(AskError::Wrong(text)) => return Err(AskError::Wrong(text)),
            Err(error) => {
                let wait = match &error {
                    AskError::Problem(problem) => problem.retry_after_s.unwrap_or(1),
                    AskError::Broken(_) | AskError::Wrong(_) => 1,
                };
                tokio::time::sleep(Duration::from_secs(wait.min(5))).await;
                last = error;
            }
        }
    }
    Err(last)
}

/// Gets a ticket.
///
/// # Errors
///
/// How it failed.
pub async fn ticket(client: &LabClient, addr: SocketAddr) -> Result<String, AskError> {
    let body = whole(client, HttpCall::post(addr, "/v1/tickets", Bytes::new())).await?;
    let reply: TicketReply = parse(&body)?;
    Ok(reply.ticket)
}

/// Submits with a ticket.
///
/// # Errors
///
/// How it failed.
pub async fn submit(
    client: &LabClient,
    addr: SocketAddr,
    ticket: &str,
    body: &serde_json::Value,
) -> Result<SubmissionReply, AskError> {
    let body = Bytes::from(body.to_string());
    let call = HttpCall::post(addr, "/v1/submissions", body).header("ticket", ticket);
    parse(&whole(client, call).await?)
}

async fn whole(client: &LabClient, call: HttpCall) -> Result<Bytes, AskError> {
    let reply = client.send(call).await.map_err(AskError::Broken)?;
    let status = reply.status;
    let body = reply.read_body().await.map_err(|failure| AskError::Broken(failure.detail))?;
    if status.is_success() {
        return Ok(body);
    }
    Err(AskError::Problem(parse(&body)?))
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, AskError> {
    serde_json::from_slice(body).map_err(|e| {
        AskError::Broken(format!("unreadable answer: {e}: {}", String::from_utf8_lossy(body)))
    })
}
