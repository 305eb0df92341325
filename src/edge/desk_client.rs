//! Desks, whose calls may not be repeated.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::CallFailure;
use super::HttpCall;
use super::HttpClient;
use crate::decide::dispatch_end::DispatchEnd;
use crate::wire::desk::DeskReceipt;
use crate::wire::desk::DeskSubmission;

/// Client of every desk.
#[derive(Clone, Debug)]
pub struct DeskClient {
    http: HttpClient,
}

impl DeskClient {
    /// A client over `http`.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Sends a submission once; `wait` bounds the time to the answer.
    ///
    /// # Errors
    ///
    /// How the call ended.
    pub async fn submit(
        &self,
        addr: SocketAddr,
        submission: &DeskSubmission,
        wait: Duration,
    ) -> Result<DeskReceipt, CallFailure> {
        let body = serde_json::to_vec(submission).map(Bytes::from).map_err(|e| CallFailure {
            end: DispatchEnd::ResetBeforeSend,
            detail: format!("submission can't be encoded: {e}"),
        })?;
        let call = HttpCall::post(addr, "/v1/submissions", body);
        let reply = self.http.send_once(call, wait).await?;
        let status = reply.status;
        if !status.is_success() {
            let detail = format!("desk answered {status}");
            return Err(CallFailure { end: DispatchEnd::Failed, detail });
        }
        let body = reply.whole().await?;
        let receipt: DeskReceipt = serde_json::from_slice(&body).map_err(|e| CallFailure {
            end: DispatchEnd::Failed,
            detail: format!("desk's answer: {e}"),
        })?;
        if receipt.submission_id != submission.submission_id {
            let detail = "desk answered for another submission".to_owned();
            return Err(CallFailure { end: DispatchEnd::Failed, detail });
        }
        Ok(receipt)
    }
}
