//! HTTP client for entry instances, with failover over the addresses given.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use super::Endpoints;
use super::Exit;
use super::Failure;
use crate::edge::CallFailure;
use crate::edge::HttpCall;
use crate::edge::HttpClient;
use crate::edge::HttpReply;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Problem;
use crate::settings::Key;

/// Time within which the head of the response to a GET must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls entry instances at their addresses, in the order given, with a bearer key.
pub(super) struct InstanceClient {
    http: HttpClient,
    addrs: Vec<SocketAddr>,
    key: Option<Key>,
}

impl InstanceClient {
    /// Reads the key file; the addresses are not contacted yet.
    pub(super) fn new(endpoints: &Endpoints) -> Result<Self, Failure> {
        let key =
            endpoints.key_file.as_deref().map(Key::from_file).transpose().map_err(|reason| {
                Failure::new(Exit::Usage, Error::new(ErrorKind::Malformed, reason))
            })?;
        Ok(Self { http: HttpClient::new(), addrs: endpoints.addrs.clone(), key })
    }

    /// Address for the attempt with this number, counted from 0; round robin.
    pub(super) fn addr_of_attempt(&self, attempt: usize) -> SocketAddr {
        self.addrs[attempt % self.addrs.len()]
    }

    /// Adds the bearer key to a call, if there is one.
    pub(super) fn authorize(&self, call: HttpCall) -> HttpCall {
        match &self.key {
            Some(key) => {
                let key = String::from_utf8_lossy(key.as_bytes());
                call.header("authorization", format!("Bearer {key}"))
            }
            None => call,
        }
    }

    /// Sends a call that may be repeated to one address after the other until one responds.
    ///
    /// `wait` bounds the time to the response head at each address. An error response ends
    /// the failover, too.
    pub(super) async fn send_with_failover(
        &self,
        call: impl Fn(SocketAddr) -> HttpCall,
        wait: Duration,
    ) -> Result<HttpReply, Failure> {
        let mut last = None;
        for &addr in &self.addrs {
            match self.http.send(self.authorize(call(addr)), wait).await {
                Ok(reply) => return Ok(reply),
                Err(failure) => last = Some(failure),
            }
        }
        Err(last.map_or_else(no_address_error, Failure::from))
    }

    /// Sends a call at most once, to its one address.
    pub(super) async fn send_once(
        &self,
        call: HttpCall,
        wait: Duration,
    ) -> Result<HttpReply, CallFailure> {
        self.http.send_once(self.authorize(call), wait).await
    }

    /// Gets the JSON body at a path, with failover.
    pub(super) async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let reply =
            self.send_with_failover(|addr| HttpCall::get(addr, path), RESPONSE_TIMEOUT).await?;
        Ok(read_response(reply).await??)
    }
}

/// Reads a whole response: its message, or the instance's error if the status is no success.
pub(super) async fn read_response<T: DeserializeOwned>(
    reply: HttpReply,
) -> Result<Result<T, Error>, CallFailure> {
    let status = reply.status;
    let body = reply.read_body().await?;
    if !status.is_success() {
        return Ok(Err(parse_problem(status.as_u16(), &body)));
    }
    let message = serde_json::from_slice(&body);
    Ok(message.map_err(|e| {
        Error::new(ErrorKind::Internal, format!("response body of the instance is invalid: {e}"))
    }))
}

/// The error of a problem document; `Internal` if the body is none.
pub(super) fn parse_problem(status: u16, body: &[u8]) -> Error {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => problem.into(),
        Err(_) => Error::new(
            ErrorKind::Internal,
            format!("instance responded with status {status} and no problem document"),
        ),
    }
}

fn no_address_error() -> Failure {
    Failure::new(Exit::Usage, Error::new(ErrorKind::Malformed, "no instance address was given"))
}
