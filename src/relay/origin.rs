//! Where a response comes from.

use std::net::SocketAddr;
use std::time::Duration;

use crate::names::BackendName;
use crate::names::SoftwareVersion;

/// Replica that a response comes from.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Name of the replica.
    pub replica: BackendName,
    /// Address that it was reached at.
    pub addr: SocketAddr,
    /// When it started, in Unix milliseconds.
    pub started_ms: u64,
    /// Version of its software when the request was sent.
    pub software: SoftwareVersion,
    /// Time for which the connection may be reused; `None` if the replica closes it.
    pub keep_alive: Option<Duration>,
    /// Whether another instance sent the request to it, and takes note of its failures; the name is
    /// that instance's then.
    pub is_remote: bool,
}
