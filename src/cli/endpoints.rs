//! Listener addresses of instances, and the key to present there.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Listener addresses of instances, and the key to present there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Addresses in the order in which they are tried.
    pub addrs: Vec<SocketAddr>,
    /// File of the bearer key; `None` sends none.
    pub key_file: Option<PathBuf>,
}
