//! TCP stream of an accepted connection, which notes what is read from it and written to it.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::connection_activity::ConnectionActivity;
use crate::edge::FairStream;

/// Time for which input is still read after the last response.
const LINGER_TIME: Duration = Duration::from_secs(2);
const DISCARD_BUF_BYTES: usize = 4096;
/// Bytes that are discarded before a pause, and its length; a client that sends without an end takes little
/// of the processor so.
const DISCARDED_IN_TURN: usize = 64 * 1024;
const DISCARD_PAUSE: Duration = Duration::from_millis(20);

/// Accepted stream with the activity of its connection.
pub struct AcceptedStream {
    stream: FairStream,
    activity: Arc<ConnectionActivity>,
    /// Whether the system resets the connection if it ends now, as when the process is killed.
    is_reset_at_end: bool,
}

impl AcceptedStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: FairStream, activity: Arc<ConnectionActivity>) -> Self {
        Self { stream, activity, is_reset_at_end: false }
    }

    /// Closes the connection by a reset.
    pub fn reset(mut self) {
        self.set_reset_at_end(true);
    }

    /// Sets whether the system resets the connection at its end, if that changes.
    fn set_reset_at_end(&mut self, is_reset: bool) {
        if self.is_reset_at_end == is_reset {
            return;
        }
        let linger = is_reset.then_some(Duration::ZERO);
        match SockRef::from(self.stream.stream()).set_linger(linger) {
            Ok(()) => self.is_reset_at_end = is_reset,
            Err(e) => log::debug!("the end of a connection can't be set: {e}"),
        }
    }

    /// Ends the connection and discards what its client still sends: unread input would make the
    /// system reset it and drop what the client hasn't received yet.
    pub async fn close(self) {
        self.activity.on_ended();
        match timeout(LINGER_TIME, discard_input(self.stream.stream())).await {
            Ok(Ok(())) | Err(_) => {}
            Ok(Err(e)) => log::debug!("connection ended before its client closed it: {e}"),
        }
    }
}

/// Sends the end of the connection and reads until its client has closed it too.
async fn discard_input(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)?;
    let mut buf = [0; DISCARD_BUF_BYTES];
    let mut discarded = 0;
    loop {
        stream.readable().await?;
        match stream.try_read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(count) => {
                discarded += count;
                if discarded >= DISCARDED_IN_TURN {
                    discarded = 0;
                    sleep(DISCARD_PAUSE).await;
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

impl AsyncRead for AcceptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if count > 0 && !self.activity.on_read(count) {
            return Poll::Ready(Err(io::Error::other("there is no room for the head")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AcceptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_reset = self.activity.would_look_complete();
        self.set_reset_at_end(is_reset);
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.on_write(written.is_pending());
        written
    }

    // The HTTP server flushes the stream only after it has written all that it has buffered.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.activity.on_flushed();
        let is_reset = self.activity.would_look_complete();
        self.set_reset_at_end(is_reset);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let is_reset = self.activity.would_look_complete();
        self.set_reset_at_end(is_reset);
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.on_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
