//! Calls of one entry instance to another.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::CallFailure;
use super::HttpCall;
use super::HttpClient;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::wire::frame::decode;
use crate::wire::frame::encode;

/// Calls another instance; the reply must begin within `limit`, and may take as long as it goes on
/// coming.
///
/// # Errors
///
/// As for [`call_peer`].
pub async fn call_peer_in_progress<M: Serialize, R: DeserializeOwned>(
    http: &HttpClient,
    addr: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Result<R> {
    let call = HttpCall::post(addr, path, encode(message)?);
    let reply = http.send(call, limit).await.map_err(unreachable)?;
    let status = reply.status;
    let body = reply.read_body_in_progress().await.map_err(unreachable)?;
    decode_reply(path, status, &body)
}

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
        let reply = http.send(call, limit).await.map_err(unreachable)?;
        let status = reply.status;
        let body = reply.read_body().await.map_err(unreachable)?;
        decode_reply(path, status, &body)
    };
    let late = || Error::new(ErrorKind::PeerUnreachable, "no complete response in time");
    timeout(limit, exchange).await.unwrap_or_else(|_| Err(late()))
}

fn decode_reply<R: DeserializeOwned>(path: &str, status: StatusCode, body: &[u8]) -> Result<R> {
    if status == StatusCode::NOT_FOUND {
        return Err(Error::new(ErrorKind::NotFound, format!("{path} isn't known there")));
    }
    if !status.is_success() {
        return Err(Error::new(ErrorKind::PeerUnreachable, format!("status {status}")));
    }
    decode(body)
}

fn unreachable(failure: CallFailure) -> Error {
    failure.into_error(ErrorKind::PeerUnreachable)
}
