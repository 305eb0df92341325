//! Read-only client of the configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;

use super::HttpCall;
use super::HttpClient;
use super::path_segment::PathSegment;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::Generation;
use crate::names::PageName;

/// Time limit for a read that doesn't wait for a change.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the body of a response.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a watch may take beyond the wait that it asks for.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Client of the configuration service.
#[derive(Clone, Debug)]
pub struct ConfigClient {
    http: HttpClient,
    addr: SocketAddr,
}

impl ConfigClient {
    /// Creates a client of the service at `addr`.
    pub fn new(http: HttpClient, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Reads the current root.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the service doesn't respond, `NotFound` if nothing is published.
    pub async fn root(&self) -> Result<Bytes> {
        self.read("/v1/root".to_owned(), READ_TIMEOUT).await
    }

    /// Waits up to `wait` for a root with a generation above `after` (long poll); `None` if none
    /// was published in that time.
    ///
    /// # Errors
    ///
    /// As for [`Self::root`].
    pub async fn watch(&self, after: Generation, wait: Duration) -> Result<Option<Bytes>> {
        let path = format!("/v1/root?after={after}&wait_ms={}", wait.as_millis());
        match self.read(path, wait + WATCH_MARGIN).await {
            Ok(bytes) if bytes.is_empty() => Ok(None),
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) => Err(e),
        }
    }

    /// Reads one page.
    ///
    /// # Errors
    ///
    /// As for [`Self::root`].
    pub async fn page(&self, name: &PageName) -> Result<Bytes> {
        self.read(format!("/v1/pages/{}", PathSegment(name.as_str())), READ_TIMEOUT).await
    }

    async fn read(&self, path: String, wait: Duration) -> Result<Bytes> {
        let unreachable = ErrorKind::PeerUnreachable;
        let call = HttpCall::get(self.addr, path.clone());
        let reply =
            self.http.send(call, wait).await.map_err(|failure| failure.into_error(unreachable))?;
        match reply.status {
            StatusCode::OK | StatusCode::NO_CONTENT => reply
                .read_body_within(BODY_TIMEOUT)
                .await
                .map_err(|failure| failure.into_error(unreachable)),
            StatusCode::NOT_FOUND => {
                Err(Error::new(ErrorKind::NotFound, format!("configuration service has no {path}")))
            }
            status => Err(Error::new(
                unreachable,
                format!("configuration service: {path}: status {status}"),
            )),
        }
    }
}
