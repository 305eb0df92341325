//! Clock that counts the time in which the machine or the process is suspended.
//!
//! The monotonic clock of the process doesn't count the time in which the machine is suspended, and
//! the time of day jumps.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

use super::log_event::record;
use super::process_event::ProcessEvent;
use crate::names::Timestamp;

static FAILURE_LOGGED: AtomicBool = AtomicBool::new(false);

/// Time since boot; `None` if it can't be read, which is logged once.
pub fn boot_time() -> Option<Duration> {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Some(Duration::from(time)),
        Err(e) => {
            if !FAILURE_LOGGED.swap(true, Ordering::Relaxed) {
                record(&ProcessEvent::ClockFailed { detail: &e.to_string() });
            }
            None
        }
    }
}

/// The same as a point in time, which can't be compared with those of other clocks.
pub fn boot_timestamp() -> Option<Timestamp> {
    boot_time().map(|time| Timestamp::ZERO + time)
}
