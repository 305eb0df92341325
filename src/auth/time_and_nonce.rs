//! Time of day and random nonces for signing and for replay checks.
//!
//! These are read from the operating system here and passed as arguments to the decisions,
//! which read no clock and draw no random numbers.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::decide::replay_window::Nonce;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::WallTime;

/// The time of day by the system clock; 0 if it stands before 1970.
pub fn wall_clock_now() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// A nonce from the system's random number generator.
///
/// # Errors
///
/// `Internal` if the system returns no random bytes.
pub fn random_nonce() -> Result<Nonce> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|e| {
        Error::new(ErrorKind::Internal, format!("system returned no random bytes for a nonce: {e}"))
    })?;
    Ok(Nonce(u128::from_be_bytes(bytes)))
}
