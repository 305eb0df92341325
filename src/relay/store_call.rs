//! Calls to the store of the published state.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::boot_clock::boot_timestamp;
use super::node::Node;
use crate::edge::HttpCall;
use crate::names::Timestamp;

/// Response of the store.
pub struct StoreResponse {
    /// HTTP status code.
    pub status: u16,
    /// Era of its revisions; `None` if it names none.
    pub era: Option<u64>,
    /// Whole body.
    pub body: Bytes,
    /// When the call was sent, by the clock that counts suspended time; `None` if it can't be read.
    pub asked_at: Option<Timestamp>,
}

/// Calls the store; the response must be complete within `limit`.
///
/// # Errors
///
/// Why there is no complete response.
pub async fn get(node: &Node, path: String, limit: Duration) -> Result<StoreResponse, String> {
    let call = HttpCall::get(node.settings.published, path);
    let asked_at = boot_timestamp();
    let response = async {
        let reply = node.http.send(call, limit).await.map_err(|f| f.detail)?;
        let status = reply.status.as_u16();
        let era = node.protocol.store_era(reply.headers());
        let body = reply.read_body().await.map_err(|f| f.detail)?;
        Ok(StoreResponse { status, era, body, asked_at })
    };
    timeout(limit, response)
        .await
        .unwrap_or_else(|_| Err("no complete response in time".to_owned()))
}
