//! Calls to entry instances.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use super::Access;
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

/// Time within which an instance must answer a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Entry instances, tried in the order given.
pub(super) struct Instances {
    http: HttpClient,
    addrs: Vec<SocketAddr>,
    key: Option<Key>,
}

impl Instances {
    /// Reads the key file.
    pub(super) fn new(access: &Access) -> Result<Self, Failure> {
        let key = access.key_file.as_deref().map(Key::from_file).transpose().map_err(|reason| {
            Failure::new(Exit::Usage, Error::new(ErrorKind::Malformed, reason))
        })?;
        Ok(Self { http: HttpClient::new(), addrs: access.addrs.clone(), key })
    }

    /// The address to use for the attempt with this number, counted from 0.
    pub(super) fn addr(&self, attempt: usize) -> SocketAddr {
        self.addrs[attempt % self.addrs.len()]
    }

    /// Adds the key to a call.
    pub(super) fn authorize(&self, call: HttpCall) -> HttpCall {
        match &self.key {
            Some(key) => {
                let key = String::from_utf8_lossy(key.as_bytes());
                call.header("authorization", format!("Bearer {key}"))
            }
            None => call,
        }
    }

    /// Sends a call that may be repeated to the first instance that can be reached.
    pub(super) async fn send(
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
        Err(last.map_or_else(no_address, Failure::from))
    }

    /// Sends a call at most once, to one instance.
    pub(super) async fn send_once(
        &self,
        call: HttpCall,
        wait: Duration,
    ) -> Result<HttpReply, CallFailure> {
        self.http.send_once(self.authorize(call), wait).await
    }

    /// Asks a question and reads its answer.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let reply = self.send(|addr| HttpCall::get(addr, path), ANSWER_TIMEOUT).await?;
        Ok(read_answer(reply).await??)
    }
}

/// Reads a whole answer: the message, or the error that the instance gave.
pub(super) async fn read_answer<T: DeserializeOwned>(
    reply: HttpReply,
) -> Result<Result<T, Error>, CallFailure> {
    let status = reply.status;
    let body = reply.read_body().await?;
    if !status.is_success() {
        return Ok(Err(read_problem(status.as_u16(), &body)));
    }
    let message = serde_json::from_slice(&body);
    Ok(message.map_err(|e| Error::new(ErrorKind::Internal, format!("answer can't be read: {e}"))))
}

/// The error that an instance answered with.
pub(super) fn read_problem(status: u16, body: &[u8]) -> Error {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => problem.into(),
        Err(_) => Error::new(ErrorKind::Internal, format!("answer with status {status}")),
    }
}

fn no_address() -> Failure {
    Failure::new(Exit::Usage, Error::new(ErrorKind::Malformed, "no address was given"))
}
