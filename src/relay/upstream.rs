//! Connections to replicas.
//!
//! A kept connection may be closing or have an unasked answer on its way, so only
//! requests that may run again are put on one.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::names::BackendName;
use crate::names::Timestamp;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a connection is kept without use.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Unused connections that are kept to one replica.
const MAX_IDLE: usize = 8;

/// One connection, closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Timestamp,
}

/// Connections to replicas that are kept for the next request.
#[derive(Debug, Default)]
pub struct Upstream {
    idle: Mutex<HashMap<(BackendName, SocketAddr), Vec<Idle>>>,
}

impl Upstream {
    /// A kept connection that is still open.
    pub fn kept(
        &self,
        now: Timestamp,
        replica: &BackendName,
        addr: SocketAddr,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&(replica.clone(), addr))?;
        list.retain(|kept| kept.until > now && kept.connection.sender.is_ready());
        list.pop().map(|kept| kept.connection)
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// The connection was refused or not made in time; nothing was sent.
    pub async fn connect(addr: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {addr} ended: {e}");
            }
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(
        &self,
        now: Timestamp,
        replica: &BackendName,
        addr: SocketAddr,
        connection: Connection,
        limit: Option<Duration>,
    ) {
        let time = limit.map_or(IDLE_TIME, |limit| limit.min(IDLE_TIME));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry((replica.clone(), addr)).or_default();
        if list.len() < MAX_IDLE {
            list.push(Idle { connection, until: now + time });
        }
    }

    /// Closes connections that were unused for too long.
    pub fn close_expired(&self, now: Timestamp) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}
