//! Calls to the store of the published state.

use std::time::Duration;

use bytes::Bytes;

use super::boot_clock::boot_timestamp;
use super::node::Node;
use crate::edge::HttpCall;
use crate::edge::HttpReply;
use crate::names::Timestamp;

/// Response of the store.
pub struct StoreResponse {
    /// HTTP status code.
    pub status: u16,
    /// Era of its revisions; `None` if it names none.
    pub era: Option<u64>,
    /// Whole body.
    pub body: Bytes,
    /// Time in which the body arrived.
    pub body_time: Duration,
    /// When the call was sent, by the clock that counts suspended time; `None` if it can't be read.
    pub asked_at: Option<Timestamp>,
}

/// Why there is no complete response of the store.
pub struct StoreFailure {
    /// What was observed.
    pub detail: String,
    /// Whether the response had begun.
    pub has_begun: bool,
}

impl From<StoreFailure> for String {
    fn from(failure: StoreFailure) -> Self {
        failure.detail
    }
}

/// Response of the store whose body hasn't been read yet.
pub struct BegunResponse {
    reply: HttpReply,
    era: Option<u64>,
    asked_at: Option<Timestamp>,
}

impl BegunResponse {
    /// Reads the body, which may take as long as it goes on coming.
    ///
    /// # Errors
    ///
    /// Why it isn't complete.
    pub async fn finish(self, node: &Node) -> Result<StoreResponse, StoreFailure> {
        let Self { reply, era, asked_at } = self;
        let status = reply.status.as_u16();
        let began = node.now();
        let body = reply
            .read_body_in_progress()
            .await
            .map_err(|f| StoreFailure { detail: f.detail, has_begun: true })?;
        let body_time = node.now().since(began);
        Ok(StoreResponse { status, era, body, body_time, asked_at })
    }
}

/// Calls the store; the response must begin within `limit`.
///
/// # Errors
///
/// Why it doesn't.
pub async fn begin(
    node: &Node,
    path: String,
    limit: Duration,
) -> Result<BegunResponse, StoreFailure> {
    let call = HttpCall::get(node.settings.published, path);
    let asked_at = boot_timestamp();
    let reply = node
        .http
        .send(call, limit)
        .await
        .map_err(|f| StoreFailure { detail: f.detail, has_begun: false })?;
    let era = node.protocol.store_era(reply.headers());
    Ok(BegunResponse { reply, era, asked_at })
}

/// Calls the store for a response that begins within `limit`, and reads it.
///
/// # Errors
///
/// Why there is no complete response.
pub async fn get(
    node: &Node,
    path: String,
    limit: Duration,
) -> Result<StoreResponse, StoreFailure> {
    begin(node, path, limit).await?.finish(node).await
}
