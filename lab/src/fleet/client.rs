//! HTTP client of the lab.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tamaracklead::edge::HttpCall;
use tamaracklead::edge::HttpClient;
use tamaracklead::edge::HttpReply;

/// Response timeout of every call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Client for the callers' and operators' APIs and for the stand-ins' `/lab/` paths.
#[derive(Clone, Debug, Default)]
pub struct LabClient {
    http: HttpClient,
}

impl LabClient {
    /// Sends a call and returns its response, whatever its status.
    ///
    /// # Errors
    ///
    /// Why there is no response.
    pub async fn send(&self, call: HttpCall) -> Result<HttpReply, String> {
        self.http.send(call, RESPONSE_TIMEOUT).await.map_err(|failure| failure.detail)
    }

    /// Reads a JSON value.
    ///
    /// # Errors
    ///
    /// The failure of the call, its status if not a success, or why the body can't be decoded.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let reply = self.send(HttpCall::get(addr, path)).await?;
        let status = reply.status;
        let body = reply.read_body().await.map_err(|failure| failure.detail)?;
        if !status.is_success() {
            return Err(format!("{path}: {status}"));
        }
        serde_json::from_slice(&body).map_err(|e| format!("{path}: {e}"))
    }

    /// Sets a value of a stand-in by `PUT`.
    ///
    /// # Errors
    ///
    /// The failure of the call, or its status if not a success.
    pub async fn put(&self, addr: SocketAddr, path: &str, body: Bytes) -> Result<(), String> {
        let mut call = HttpCall::post(addr, path, body);
        call.method = Method::PUT;
        let reply = self.send(call).await?;
        match reply.status.is_success() {
            true => Ok(()),
            false => Err(format!("{path}: {}", reply.status)),
        }
    }

    /// Sets a JSON value of a stand-in by `PUT`.
    ///
    /// # Errors
    ///
    /// The failure of the call, or its status if not a success.
    pub async fn put_json<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), String> {
        let body = serde_json::to_vec(value).map_err(|e| e.to_string())?;
        self.put(addr, path, Bytes::from(body)).await
    }
}
