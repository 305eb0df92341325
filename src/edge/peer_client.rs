//! Client of other entry instances, with signed requests and verified responses.

use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::CallFailure;
use super::HttpCall;
use super::HttpClient;
use super::HttpReply;
use super::PeerPath;
use super::PeerTarget;
use crate::auth::PeerSignature;
use crate::auth::PeerSigner;
use crate::auth::RESPONSE_SIGNATURE_HEADER;
use crate::auth::SIGNATURE_HEADER;
use crate::auth::SignedRequest;
use crate::auth::SignedResponse;
use crate::auth::random_nonce;
use crate::auth::wall_clock_now;
use crate::decide::dispatch_failure::DispatchFailure;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Problem;
use crate::error::Result;
use crate::wire::frame;
use crate::wire::frame::FrameDecoder;
use crate::wire::peer::Dispatch;
use crate::wire::peer::DispatchEvent;

/// Capacity of the channel for the events of one dispatch.
const EVENT_QUEUE: usize = 64;
/// Time that the owner may take beyond the request's deadline.
const DISPATCH_MARGIN: Duration = Duration::from_secs(1);

/// Response whose signature hasn't been verified yet.
struct PeerReply {
    request_signature: PeerSignature,
    http: HttpReply,
}

/// Client for all peers.
#[derive(Clone, Debug)]
pub struct PeerClient {
    http: HttpClient,
    signer: PeerSigner,
}

impl PeerClient {
    /// Creates a client that sends over `http` and signs with `signer`.
    pub fn new(http: HttpClient, signer: PeerSigner) -> Self {
        Self { http, signer }
    }

    /// Sends one message and reads the response.
    ///
    /// # Errors
    ///
    /// How the call ended, or the peer's own error.
    pub async fn call<M: Serialize, R: DeserializeOwned>(
        &self,
        peer: &PeerTarget,
        path: PeerPath,
        message: &M,
        wait: Duration,
    ) -> std::result::Result<Result<R>, CallFailure> {
        let reply = self.send(peer, path, message, wait).await?;
        let succeeded = reply.http.status.is_success();
        let body = self.read_verified(reply, wait).await?;
        Ok(if succeeded { frame::decode(&body) } else { Err(parse_problem(&body)) })
    }

    /// Sends a request to the owner of its engine and returns the events of the response.
    ///
    /// # Errors
    ///
    /// How the call ended, or the owner's own error.
    pub async fn dispatch(
        &self,
        peer: &PeerTarget,
        message: &Dispatch,
    ) -> std::result::Result<Result<mpsc::Receiver<DispatchEvent>>, CallFailure> {
        let wait = Duration::from_millis(message.deadline_ms) + DISPATCH_MARGIN;
        let reply = self.send(peer, PeerPath::Dispatch, message, wait).await?;
        if !reply.http.status.is_success() {
            return Ok(Err(parse_problem(&self.read_verified(reply, wait).await?)));
        }
        let header = reply.http.header(RESPONSE_SIGNATURE_HEADER);
        self.verify(&reply.request_signature, reply.http.status, None, header)?;
        let (tx, rx) = mpsc::channel(EVENT_QUEUE);
        tokio::spawn(forward_events(reply.http, tx));
        Ok(Ok(rx))
    }

    async fn send<M: Serialize>(
        &self,
        peer: &PeerTarget,
        path: PeerPath,
        message: &M,
        wait: Duration,
    ) -> std::result::Result<PeerReply, CallFailure> {
        let body = frame::encode(message)
            .map_err(|e| CallFailure { end: DispatchFailure::ResetBeforeSend, detail: e.detail })?;
        let request_signature = self.sign(peer, path, &body)?;
        let call = HttpCall::post(peer.addr, path.as_str(), body)
            .header(SIGNATURE_HEADER, request_signature.to_string());
        let http = match path {
            PeerPath::Submit => self.http.send_once(call, wait).await,
            PeerPath::Dispatch
            | PeerPath::Hello
            | PeerPath::Lease
            | PeerPath::Gossip
            | PeerPath::Config
            | PeerPath::Quarantine
            | PeerPath::Status
            | PeerPath::Explain
            | PeerPath::Outcome => self.http.send(call, wait).await,
        }?;
        Ok(PeerReply { request_signature, http })
    }

    /// Reads the body and verifies the signature.
    async fn read_verified(
        &self,
        reply: PeerReply,
        wait: Duration,
    ) -> std::result::Result<Bytes, CallFailure> {
        let status = reply.http.status;
        let header = reply.http.header(RESPONSE_SIGNATURE_HEADER).map(str::to_owned);
        let body = reply.http.read_body_within(wait).await?;
        self.verify(&reply.request_signature, status, Some(&body), header.as_deref())?;
        Ok(body)
    }

    /// Verifies a response's signature; a response without one proves nothing.
    fn verify(
        &self,
        request_signature: &PeerSignature,
        status: StatusCode,
        body: Option<&[u8]>,
        header: Option<&str>,
    ) -> std::result::Result<(), CallFailure> {
        let response = SignedResponse { request_signature, status: status.as_u16(), body };
        self.signer.verify_response(&response, header).map_err(|error| CallFailure {
            end: DispatchFailure::Failed,
            detail: format!("status {}: {}", status.as_u16(), error.detail),
        })
    }

    fn sign(
        &self,
        peer: &PeerTarget,
        path: PeerPath,
        body: &[u8],
    ) -> std::result::Result<PeerSignature, CallFailure> {
        let nonce = random_nonce()
            .map_err(|e| CallFailure { end: DispatchFailure::ResetBeforeSend, detail: e.detail })?;
        let request =
            SignedRequest { method: "POST", path: path.as_str(), receiver: &peer.name, body };
        Ok(self.signer.sign(wall_clock_now(), nonce, &request))
    }
}

async fn forward_events(mut reply: HttpReply, tx: mpsc::Sender<DispatchEvent>) {
    let mut decoder = FrameDecoder::default();
    let mut ended = false;
    'chunks: while !ended {
        let chunk = tokio::select! {
            chunk = reply.chunk() => chunk,
            () = tx.closed() => return,
        };
        let Ok(Some(data)) = chunk else { break };
        decoder.push(&data);
        loop {
            let event = match decoder.next_message() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => break 'chunks,
            };
            ended = matches!(event, DispatchEvent::Done { .. } | DispatchEvent::Failed { .. });
            if tx.send(event).await.is_err() {
                return;
            }
        }
    }
    if !ended {
        let kind = DispatchFailure::OwnerLost.completion_kind();
        let error =
            Error::new(kind, "the response of the engine's owner broke off or can't be decoded");
        let _ = tx.send(DispatchEvent::Failed { error }).await;
    }
}

fn parse_problem(body: &[u8]) -> Error {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => problem.into(),
        Err(e) => Error::new(ErrorKind::Internal, format!("peer's error can't be parsed: {e}")),
    }
}
