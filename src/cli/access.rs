//! Which instances to ask.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Which instances to ask, and with which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Addresses, tried in this order.
    pub addrs: Vec<SocketAddr>,
    /// File of the bearer key, if one is needed.
    pub key_file: Option<PathBuf>,
}
