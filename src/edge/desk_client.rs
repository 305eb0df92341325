//! Client of desks, whose calls must not be repeated.
//!
//! Connecting and sending are separate steps, so that the caller can check between
//! them that it may still send. Each call uses a connection of its own: a pooled
//! one might break without a sign of whether the desk has read the request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use super::CallFailure;
use super::FairStream;
use super::connect;
use crate::decide::dispatch_failure::DispatchFailure;
use crate::error::WithCauses;
use crate::wire::desk::DeskReceipt;
use crate::wire::desk::DeskSubmission;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response body that is read, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// Client for all desks.
#[derive(Clone, Debug, Default)]
pub struct DeskClient;

impl DeskClient {
    /// Opens a connection to a desk without sending anything.
    ///
    /// # Errors
    ///
    /// `ConnectRefused` if no connection could be opened in time.
    pub async fn connect(&self, addr: SocketAddr) -> Result<DeskConnection, CallFailure> {
        let refused = |detail: String| CallFailure { end: DispatchFailure::ConnectRefused, detail };
        let stream = match timeout(CONNECT_TIMEOUT, connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(refused(format!("no connection to {addr}: {e}"))),
            Err(_) => return Err(refused(format!("no connection to {addr} in time"))),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(FairStream::new(stream)))
            .await
            .map_err(|e| refused(format!("no connection to {addr}: {e}")))?;
        tokio::spawn(async move {
            // The call reports its own end, so an error of the connection task is redundant.
            let _ = connection.await;
        });
        Ok(DeskConnection { addr, sender })
    }
}

/// Open connection to a desk on which nothing has been sent.
#[derive(Debug)]
pub struct DeskConnection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl DeskConnection {
    /// Sends a submission; `wait` bounds the time to the end of the response.
    ///
    /// # Errors
    ///
    /// How the call ended.
    pub async fn submit(
        mut self,
        submission: &DeskSubmission,
        wait: Duration,
    ) -> Result<DeskReceipt, CallFailure> {
        let req = self.request(submission)?;
        match timeout(wait, self.call(req)).await {
            Ok(body) => read_receipt(&body?, submission),
            Err(_) => {
                let detail = format!("no response from {} in {} ms", self.addr, wait.as_millis());
                Err(CallFailure { end: DispatchFailure::TimedOut, detail })
            }
        }
    }

    fn request(&self, submission: &DeskSubmission) -> Result<Request<Full<Bytes>>, CallFailure> {
        let unsent = |detail: String| CallFailure { end: DispatchFailure::ResetBeforeSend, detail };
        let body = serde_json::to_vec(submission)
            .map_err(|e| unsent(format!("submission can't be encoded: {e}")))?;
        Request::post("/v1/submissions")
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| unsent(format!("request can't be made: {e}")))
    }

    async fn call(&mut self, req: Request<Full<Bytes>>) -> Result<Bytes, CallFailure> {
        let addr = self.addr;
        let response = self.sender.send_request(req).await.map_err(|e| CallFailure {
            end: DispatchFailure::ResetAfterSend,
            detail: format!("connection to {addr} broke: {}", WithCauses(&e)),
        })?;
        read_body(response).await
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, CallFailure> {
    let status = response.status();
    if !status.is_success() {
        let end = DispatchFailure::of_desk_status(status.as_u16());
        return Err(CallFailure { end, detail: format!("desk answered with status {status}") });
    }
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
    let body = body.collect().await.map_err(|e| CallFailure {
        end: DispatchFailure::AnswerCut,
        detail: format!("desk's response broke off: {}", WithCauses(&*e)),
    })?;
    Ok(body.to_bytes())
}

fn read_receipt(body: &[u8], submission: &DeskSubmission) -> Result<DeskReceipt, CallFailure> {
    let damaged = |detail: String| CallFailure { end: DispatchFailure::AnswerDamaged, detail };
    let receipt: DeskReceipt = serde_json::from_slice(body)
        .map_err(|e| damaged(format!("desk's response can't be parsed: {e}")))?;
    if receipt.submission_id != submission.submission_id {
        return Err(damaged("desk's response is for another submission".to_owned()));
    }
    Ok(receipt)
}
