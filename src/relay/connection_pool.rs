//! Connections to replicas, with a pool of idle ones.
//!
//! A replica may be closing an idle connection, or an unsolicited response may be on its way, so
//! only requests that may be repeated are sent on one. It may be a copy of the response to an
//! earlier request, whose id tells it from the others; so none with the same id follows on the
//! connection.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::edge;
use crate::edge::ContentMeter;
use crate::edge::FairStream;
use crate::edge::MeteredBody;
use crate::names::BackendName;
use crate::names::Timestamp;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged before the connection fails. A replica that
/// reads nothing for a while is none that has gone; its requests have time limits of their own.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that are read at a time, and the longest head of a response.
const MAX_BUF_BYTES: usize = 64 * 1024;
/// Longest time for which an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Idle connections kept to one replica; further ones are closed.
const MAX_IDLE_PER_REPLICA: usize = 8;

/// Requests sent on one connection, whose ids are remembered; then it is closed.
const MAX_REQUESTS: usize = 64;

/// An HTTP/1.1 connection that is closed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    meter: ContentMeter,
    /// Hashes of the ids of the requests that were sent on it.
    sent_ids: Vec<u64>,
}

impl Connection {
    /// Notes that the request `id` is sent on it.
    pub fn on_send(&mut self, id: &str) {
        self.sent_ids.push(xxh3_64(id.as_bytes()));
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// There is none; the error holds the request if nothing of it was sent.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, TrySendError<Request<Full<Bytes>>>> {
        let response = self.sender.try_send_request(req).await?;
        Ok(response.map(|body| MeteredBody::new(body, self.meter.clone())))
    }

    fn has_sent(&self, id: &str) -> bool {
        self.sent_ids.contains(&xxh3_64(id.as_bytes()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Timestamp,
}

/// Idle connections, by replica and address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<(BackendName, SocketAddr), Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is still open and had no request `id` yet; `None` if there is
    /// none.
    pub fn take_idle(
        &self,
        now: Timestamp,
        replica: &BackendName,
        addr: SocketAddr,
        id: &str,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&(replica.clone(), addr))?;
        list.retain(|entry| entry.expires > now && entry.connection.sender.is_ready());
        let last = list.iter().rposition(|entry| !entry.connection.has_sent(id))?;
        Some(list.swap_remove(last).connection)
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// The connection was refused or not made in time; nothing was sent.
    pub async fn connect(addr: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, edge::connect(addr)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let stream = FairStream::new(stream);
        let meter = stream.meter().clone();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUF_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {addr} ended: {e}");
            }
        });
        Ok(Connection { sender, driver: driver.abort_handle(), meter, sent_ids: Vec::new() })
    }

    /// Keeps a connection whose response was read to its end; `limit` is the time for which the
    /// replica keeps it.
    pub fn put_idle(
        &self,
        now: Timestamp,
        replica: &BackendName,
        addr: SocketAddr,
        connection: Connection,
        limit: Option<Duration>,
    ) {
        let time = limit.map_or(MAX_IDLE_TIME, |limit| limit.min(MAX_IDLE_TIME));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry((replica.clone(), addr)).or_default();
        if list.len() < MAX_IDLE_PER_REPLICA && connection.sent_ids.len() < MAX_REQUESTS {
            list.push(IdleConnection { connection, expires: now + time });
        }
    }

    /// Drops connections that were idle for too long or have been closed.
    pub fn close_expired(&self, now: Timestamp) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain(|entry| entry.expires > now && !entry.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}
