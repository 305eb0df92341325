//! HTTP calls of the lab.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tamaracklead::edge::HttpCall;
use tamaracklead::edge::HttpClient;
use tamaracklead::edge::HttpReply;

/// Time within which everything must answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Client for callers', operators' and the lab's own paths.
#[derive(Clone, Debug, Default)]
pub struct LabClient {
    http: HttpClient,
}

impl LabClient {
    /// Sends a call and returns its answer.
    ///
    /// # Errors
    ///
    /// What was seen.
    pub async fn send(&self, call: HttpCall) -> Result<HttpReply, String> {
        self.http.send(call, TIMEOUT).await.map_err(|failure| failure.detail)
    }

    /// Reads a JSON value.
    ///
    /// # Errors
    ///
    /// What was seen instead.
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

    /// Sets a value of a stand-in.
    ///
    /// # Errors
    ///
    /// What was seen.
    pub async fn put(&self, addr: SocketAddr, path: &str, body: Bytes) -> Result<(), String> {
        let mut call = HttpCall::post(addr, path, body);
        call.method = Method::PUT;
        let reply = self.send(call).await?;
        match reply.status.is_success() {
            true => Ok(()),
            false => Err(format!("{path}: {}", reply.status)),
        }
    }

    /// Sets a JSON value of a stand-in.
    ///
    /// # Errors
    ///
    /// What was seen.
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
