//! The process's clock and randomness, read at its edge.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::decide::replay_window::Nonce;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::WallTime;

/// The time of day.
pub fn wall_clock() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// A nonce from the system's randomness.
///
/// # Errors
///
/// `Internal` if the system gives no randomness.
pub fn random_nonce() -> Result<Nonce> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("no randomness: {e}")))?;
    Ok(Nonce(u128::from_be_bytes(bytes)))
}
