//! Bytes of a connection that were no content, counted by its stream and by those who read from it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::daemon::Clock;
use crate::decide::connections::ContentAllowance;

/// Meter of one connection, which its clones share.
#[derive(Clone, Debug, Default)]
pub struct ContentMeter {
    clock: Clock,
    allowance: Arc<Mutex<ContentAllowance>>,
}

impl ContentMeter {
    /// Notes bytes that have arrived.
    pub fn on_read(&self, bytes: usize) {
        self.allowance().on_read(bytes);
    }

    /// Notes that a head is complete.
    pub fn on_head(&self) {
        self.allowance().on_head();
    }

    /// Notes bytes of a body that somebody has taken.
    pub fn on_content(&self, bytes: usize) {
        self.allowance().on_content(bytes);
    }

    /// Time until the connection may be read again; `None` if that is now.
    pub fn pause(&self) -> Option<Duration> {
        let mut allowance = self.allowance();
        // The clock is read only where it decides.
        if allowance.is_used_up() { allowance.pause(self.clock.now()) } else { None }
    }

    fn allowance(&self) -> MutexGuard<'_, ContentAllowance> {
        self.allowance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
