//! TCP stream that lets other tasks run after some bytes, however quickly more arrive, and that is read
//! slowly while it brings no content.
//!
//! A parser that skips what it reads, such as interim responses or the zeros before a chunk's
//! length, goes on for as long as its peer sends. Without a pause nothing else on the same thread
//! would run, not even the timeout of the call, and the peer would decide how much of the processor it takes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Sleep;
use tokio::time::sleep;

use super::ContentMeter;

/// Bytes read after which other tasks run.
const BYTES_PER_TURN: usize = 64 * 1024;

/// TCP stream that is read in turns with other tasks.
#[derive(Debug)]
pub struct FairStream {
    stream: TcpStream,
    read_in_turn: usize,
    meter: ContentMeter,
    /// Set while nothing is read.
    pause: Option<Pin<Box<Sleep>>>,
}

impl FairStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self::with_meter(stream, ContentMeter::default())
    }

    /// Wraps a connected stream whose content this meter counts.
    pub fn with_meter(stream: TcpStream, meter: ContentMeter) -> Self {
        Self { stream, read_in_turn: 0, meter, pause: None }
    }

    /// Meter of the content that is read from it.
    pub fn meter(&self) -> &ContentMeter {
        &self.meter
    }

    /// The wrapped stream.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Ready when the connection may be read.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
            }
            self.pause = self.meter.pause().map(|time| Box::pin(sleep(time)));
            if self.pause.is_none() {
                return Poll::Ready(());
            }
        }
    }
}

/// Reads at most `max` bytes.
fn poll_read_up_to(
    stream: Pin<&mut TcpStream>,
    max: usize,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    if max >= buf.remaining() {
        return stream.poll_read(cx, buf);
    }
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(max));
    ready!(stream.poll_read(cx, &mut part))?;
    let count = part.filled().len();
    buf.advance(count);
    Poll::Ready(Ok(()))
}

/// Continues only after other tasks, timers and sockets have had their turn.
fn yield_turn<T>(cx: &mut Context<'_>) -> Poll<T> {
    let _ = pin!(yield_now()).poll(cx);
    Poll::Pending
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_pause(cx));
        if self.read_in_turn >= BYTES_PER_TURN {
            self.read_in_turn = 0;
            return yield_turn(cx);
        }
        let before = buf.filled().len();
        let max = self.meter.room().unwrap_or(usize::MAX);
        let read = poll_read_up_to(Pin::new(&mut self.stream), max, cx, buf);
        match read {
            Poll::Ready(_) => {
                let count = buf.filled().len() - before;
                self.read_in_turn += count;
                self.meter.on_read(count);
            }
            Poll::Pending => self.read_in_turn = 0,
        }
        read
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Connection for FairStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.meter.clone())
    }
}
