//! Client of model engines.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::CallFailure;
use super::HttpCall;
use super::HttpClient;
use super::HttpReply;
use crate::decide::dispatch_failure::DispatchFailure;
use crate::wire::engine::EngineEvent;
use crate::wire::engine::EngineRefusal;
use crate::wire::engine::EngineReport;
use crate::wire::engine::GenerateRequest;
use crate::wire::engine::OrderReply;
use crate::wire::engine::OrderRequest;
use crate::wire::engine::RefusalBody;
use crate::wire::sse::EventDecoder;

/// Time limit for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for an order, and again for the body of its response, long enough for a load from a
/// slow weight store.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for the body of a response, which comes with its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineFailure {
    /// The engine refused the call and ran nothing.
    Refused(RefusalBody),
    /// The call ended without a usable response.
    Call(CallFailure),
}

impl EngineFailure {
    /// End of the dispatch that this failure means.
    pub fn end(&self) -> DispatchFailure {
        match self {
            Self::Refused(_) => DispatchFailure::Refused,
            Self::Call(failure) => failure.end,
        }
    }

    /// What was observed, for logs and error messages.
    pub fn detail(&self) -> String {
        match self {
            Self::Refused(body) => format!("engine refused: {:?}", body.refusal),
            Self::Call(failure) => failure.detail.clone(),
        }
    }

    /// Reason of a refusal; `None` for other failures.
    pub fn refusal(&self) -> Option<EngineRefusal> {
        match self {
            Self::Refused(body) => Some(body.refusal),
            Self::Call(_) => None,
        }
    }
}

impl From<CallFailure> for EngineFailure {
    fn from(failure: CallFailure) -> Self {
        Self::Call(failure)
    }
}

/// Client for all engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client that sends over `http`.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Starts a generation; `wait` bounds the time to the response's head.
    ///
    /// # Errors
    ///
    /// The engine's refusal, or how the call ended.
    pub async fn generate(
        &self,
        addr: SocketAddr,
        req: &GenerateRequest,
        wait: Duration,
    ) -> Result<EngineStream, EngineFailure> {
        let call = HttpCall::post(addr, "/v1/generate", to_json(req)?);
        let reply = self.http.send(call, wait).await?;
        if !reply.status.is_success() {
            return Err(read_failure(reply).await);
        }
        Ok(EngineStream { reply, decoder: EventDecoder::default(), ready: VecDeque::new() })
    }

    /// Sends an order, at most once, and waits until it is carried out.
    ///
    /// # Errors
    ///
    /// The engine's refusal, or how the call ended.
    pub async fn order(
        &self,
        addr: SocketAddr,
        req: &OrderRequest,
    ) -> Result<OrderReply, EngineFailure> {
        let call = HttpCall::post(addr, "/v1/orders", to_json(req)?);
        let reply = self.http.send_once(call, ORDER_TIMEOUT).await?;
        if !reply.status.is_success() {
            return Err(read_failure(reply).await);
        }
        from_json(&reply.read_body_within(ORDER_TIMEOUT).await?)
    }

    /// Reads the engine's report, which may be out of date.
    ///
    /// # Errors
    ///
    /// How the call ended.
    pub async fn report(&self, addr: SocketAddr) -> Result<EngineReport, EngineFailure> {
        self.read(addr, "/v1/report").await
    }

    /// Reads the engine's present state.
    ///
    /// # Errors
    ///
    /// How the call ended.
    pub async fn running(&self, addr: SocketAddr) -> Result<EngineReport, EngineFailure> {
        self.read(addr, "/v1/running").await
    }

    async fn read(&self, addr: SocketAddr, path: &str) -> Result<EngineReport, EngineFailure> {
        let reply = self.http.send(HttpCall::get(addr, path), REPORT_TIMEOUT).await?;
        if !reply.status.is_success() {
            return Err(read_failure(reply).await);
        }
        from_json(&reply.read_body_within(BODY_TIMEOUT).await?)
    }
}

/// Event stream of a running generation; dropping it cancels the generation.
#[derive(Debug)]
pub struct EngineStream {
    reply: HttpReply,
    decoder: EventDecoder,
    ready: VecDeque<EngineEvent>,
}

impl EngineStream {
    /// Returns the next event; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// How the stream broke.
    pub async fn next_event(&mut self) -> Result<Option<EngineEvent>, CallFailure> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            let Some(data) = self.reply.chunk().await? else { return Ok(None) };
            self.decoder.push(&data);
            while let Some(event) = self.decoder.next_event().map_err(parse_failure)? {
                self.ready.push_back(event.parse().map_err(parse_failure)?);
            }
        }
    }
}

async fn read_failure(reply: HttpReply) -> EngineFailure {
    let status = reply.status;
    let body = match reply.read_body_within(BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(failure) => return failure.into(),
    };
    match serde_json::from_slice(&body) {
        Ok(refusal) => EngineFailure::Refused(refusal),
        Err(_) => EngineFailure::Call(CallFailure {
            end: DispatchFailure::Failed,
            detail: format!("engine answered with status {status}"),
        }),
    }
}

fn parse_failure(error: impl std::fmt::Display) -> CallFailure {
    CallFailure {
        end: DispatchFailure::Failed,
        detail: format!("engine's response can't be parsed: {error}"),
    }
}

fn to_json<T: Serialize>(message: &T) -> Result<Bytes, CallFailure> {
    serde_json::to_vec(message).map(Bytes::from).map_err(|e| CallFailure {
        end: DispatchFailure::ResetBeforeSend,
        detail: format!("message can't be encoded: {e}"),
    })
}

fn from_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, EngineFailure> {
    serde_json::from_slice(body).map_err(|e| EngineFailure::Call(parse_failure(e)))
}
