//! Why a value wasn't received.

use std::fmt;
use std::net::SocketAddr;

/// Why a value wasn't received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferFailure {
    /// What was observed.
    pub detail: &'static str,
    /// An instance that has a newer value than this one, but not the one that was asked for.
    pub next: Option<SocketAddr>,
}

impl fmt::Display for TransferFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.detail)
    }
}
