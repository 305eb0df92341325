//! Client of the platform's list of live and leaving instances.

use std::net::SocketAddr;
use std::time::Duration;

use super::HttpCall;
use super::HttpClient;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::wire::listing::Listing;

/// Time limit for reading the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's list.
#[derive(Clone, Debug)]
pub struct ListingClient {
    http: HttpClient,
    addr: SocketAddr,
}

impl ListingClient {
    /// Creates a client of the platform at `addr`.
    pub fn new(http: HttpClient, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the platform doesn't return a list, `Malformed` if the list can't be
    /// parsed.
    pub async fn read(&self) -> Result<Listing> {
        let unreachable = ErrorKind::PeerUnreachable;
        let call = HttpCall::get(self.addr, "/v1/instances");
        let reply = self
            .http
            .send(call, READ_TIMEOUT)
            .await
            .map_err(|failure| failure.into_error(unreachable))?;
        if !reply.status.is_success() {
            return Err(Error::new(unreachable, format!("instance list: status {}", reply.status)));
        }
        let body = reply
            .read_body_within(READ_TIMEOUT)
            .await
            .map_err(|failure| failure.into_error(unreachable))?;
        serde_json::from_slice(&body).map_err(|e| {
            Error::new(ErrorKind::Malformed, format!("instance list can't be parsed: {e}"))
        })
    }
}
