//! Kinds of clients, each with a listener of its own.

use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;

/// Timeout for the head of a call of a peer, a readiness check or a scrape, from the end of the one
/// before it; longer than these keep idle connections.
const OTHER_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes that are read or written at a time on a caller's connection, and the longest head; far more
/// than the configurations of deployments allow. Long heads have room in the budget of the process.
const MAX_CALLER_BUF_BYTES: usize = 128 * 1024;
/// The same on a connection of others.
const MAX_OTHER_BUF_BYTES: usize = 64 * 1024;

/// Kind of client that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Callers, whose requests are forwarded.
    Callers,
    /// Other entry instances.
    Peers,
    /// Readiness checks.
    Ready,
    /// Scrapers of metrics.
    Metrics,
}

impl Audience {
    /// Limits of its connections, but for the timeouts of callers, which follow the configuration.
    pub fn connection_builder(self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        match self {
            Self::Callers => {
                builder.max_buf_size(MAX_CALLER_BUF_BYTES);
            }
            Self::Peers | Self::Ready | Self::Metrics => {
                builder.max_buf_size(MAX_OTHER_BUF_BYTES);
                builder.timer(TokioTimer::new()).header_read_timeout(OTHER_HEAD_TIMEOUT);
            }
        }
        builder
    }
}
