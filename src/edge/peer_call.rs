//! Calls of one entry instance to another.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::HttpCall;
use super::HttpClient;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::wire::frame::decode;
use crate::wire::frame::encode;

/// Calls another instance; the reply must be complete within `limit`.
///
/// # Errors
///
/// `PeerUnreachable` if there is no complete reply in time, `NotFound` if the other instance doesn't
/// know the path, `Malformed` if the reply can't be decoded.
pub async fn call_peer<M: Serialize, R: DeserializeOwned>(
    http: &HttpClient,
    addr: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Result<R> {
    let call = HttpCall::post(addr, path, encode(message)?);
    let exchange = async {
        let unreachable = |detail| Error::new(ErrorKind::PeerUnreachable, detail);
        let reply = http.send(call, limit).await.map_err(|f| unreachable(f.detail))?;
        let status = reply.status;
        let body = reply.read_body().await.map_err(|f| unreachable(f.detail))?;
        if status == StatusCode::NOT_FOUND {
            return Err(Error::new(ErrorKind::NotFound, format!("{path} isn't known there")));
        }
        if !status.is_success() {
            return Err(unreachable(format!("status {status}")));
        }
        decode(&body)
    };
    let late = || Error::new(ErrorKind::PeerUnreachable, "no complete response in time");
    timeout(limit, exchange).await.unwrap_or_else(|_| Err(late()))
}
