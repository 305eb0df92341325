//! Other entry instances.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::CallFailure;
use super::HttpCall;
use super::HttpClient;
use super::HttpReply;
use super::PeerPath;
use super::PeerTarget;
use crate::auth::PeerSigner;
use crate::auth::SIGNATURE_HEADER;
use crate::auth::SignedRequest;
use crate::auth::random_nonce;
use crate::auth::wall_clock;
use crate::decide::dispatch_end::DispatchEnd;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Problem;
use crate::error::Result;
use crate::wire::frame;
use crate::wire::frame::FrameReader;
use crate::wire::peer::Dispatch;
use crate::wire::peer::DispatchEvent;

/// Events of one dispatch that may be in memory at once.
const EVENT_QUEUE: usize = 64;
/// Time that an owner may take beyond the request's deadline.
const DISPATCH_MARGIN: Duration = Duration::from_secs(1);

/// Client of every peer.
#[derive(Clone, Debug)]
pub struct PeerClient {
    http: HttpClient,
    signer: PeerSigner,
}

impl PeerClient {
    /// A client over `http` that signs as one instance.
    pub fn new(http: HttpClient, signer: PeerSigner) -> Self {
        Self { http, signer }
    }

    /// Sends one message and reads its answer.
    ///
    /// # Errors
    ///
    /// How the call ended, or the peer's own error.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: &PeerTarget,
        path: PeerPath,
        message: &Q,
        wait: Duration,
    ) -> std::result::Result<Result<A>, CallFailure> {
        let reply = self.send(peer, path, message, wait).await?;
        if !reply.status.is_success() {
            return Ok(Err(problem(reply).await));
        }
        let body = reply.whole().await?;
        Ok(frame::decode(&body))
    }

    /// Sends a request to the owner of its engine and returns the events of its answer.
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
        if !reply.status.is_success() {
            return Ok(Err(problem(reply).await));
        }
        let (tx, rx) = mpsc::channel(EVENT_QUEUE);
        tokio::spawn(forward_events(reply, tx));
        Ok(Ok(rx))
    }

    async fn send<Q: Serialize>(
        &self,
        peer: &PeerTarget,
        path: PeerPath,
        message: &Q,
        wait: Duration,
    ) -> std::result::Result<HttpReply, CallFailure> {
        let body = frame::encode(message)
            .map_err(|e| CallFailure { end: DispatchEnd::ResetBeforeSend, detail: e.detail })?;
        let signature = self.sign(peer, path, &body)?;
        let call =
            HttpCall::post(peer.addr, path.as_str(), body).header(SIGNATURE_HEADER, signature);
        match path {
            PeerPath::Submit => self.http.send_once(call, wait).await,
            PeerPath::Dispatch
            | PeerPath::Hello
            | PeerPath::Lease
            | PeerPath::Status
            | PeerPath::Explain
            | PeerPath::Outcome => self.http.send(call, wait).await,
        }
    }

    fn sign(
        &self,
        peer: &PeerTarget,
        path: PeerPath,
        body: &[u8],
    ) -> std::result::Result<String, CallFailure> {
        let nonce = random_nonce()
            .map_err(|e| CallFailure { end: DispatchEnd::ResetBeforeSend, detail: e.detail })?;
        let request =
            SignedRequest { method: "POST", path: path.as_str(), receiver: &peer.name, body };
        Ok(self.signer.sign(wall_clock(), nonce, &request).to_string())
    }
}

async fn forward_events(mut reply: HttpReply, tx: mpsc::Sender<DispatchEvent>) {
    let mut reader = FrameReader::default();
    let mut ended = false;
    while !ended {
        let chunk = tokio::select! {
            chunk = reply.chunk() => chunk,
            () = tx.closed() => return,
        };
        let Ok(Some(data)) = chunk else { break };
        reader.push(&data);
        while let Ok(Some(event)) = reader.next_message() {
            ended = matches!(event, DispatchEvent::Done { .. } | DispatchEvent::Failed { .. });
            if tx.send(event).await.is_err() {
                return;
            }
        }
    }
    if !ended {
        let kind = DispatchEnd::OwnerLost.draft_kind();
        let error = Error::new(kind, "the owner of the engine was lost");
        let _ = tx.send(DispatchEvent::Failed { error }).await;
    }
}

async fn problem(reply: HttpReply) -> Error {
    let status = reply.status;
    match reply.whole().await {
        Ok(body) => match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Error {
                kind: problem.kind,
                detail: problem.detail,
                retry_after: problem.retry_after_s.map(Duration::from_secs),
                may_have_run: !problem.not_run,
            },
            Err(_) => Error::new(ErrorKind::Internal, format!("peer answered {status}")),
        },
        Err(failure) => failure.into_error(ErrorKind::OutcomeUnknown),
    }
}
