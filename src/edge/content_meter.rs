//! Bytes of a connection that were no content, counted by its stream and by those who read from it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::daemon::Clock;
use crate::decide::connections::ContentAllowance;

/// Meter of one connection, which its clones share.
#[derive(Clone, Debug, Default)]
pub struct ContentMeter {
    clock: Clock,
    allowance: Arc<Mutex<ContentAllowance>>,
    /// Whether the server's last connection brought no head; all connections to it share this.
    brings_nothing: Arc<AtomicBool>,
}

impl ContentMeter {
    /// Meter of a connection to a server, of which all connections share what it brings.
    pub fn of_server(brings_nothing: Arc<AtomicBool>) -> Self {
        let allowance = match brings_nothing.load(Ordering::Relaxed) {
            true => ContentAllowance::repeated(),
            false => ContentAllowance::default(),
        };
        Self { allowance: Arc::new(Mutex::new(allowance)), brings_nothing, ..Self::default() }
    }

    /// Notes bytes that have arrived.
    pub fn on_read(&self, bytes: usize) {
        self.allowance().on_read(bytes);
    }

    /// Notes that a head is complete.
    pub fn on_head(&self) {
        self.allowance().on_head();
        self.brings_nothing.store(false, Ordering::Relaxed);
    }

    /// Notes bytes of a body that somebody has taken.
    pub fn on_content(&self, bytes: usize) {
        self.allowance().on_content(bytes);
    }

    /// Time until the connection may be read again; `None` if that is now.
    pub fn pause(&self) -> Option<Duration> {
        let mut allowance = self.allowance();
        // The clock is read only where it decides.
        if !allowance.is_used_up() {
            return None;
        }
        if allowance.lacks_head() {
            self.brings_nothing.store(true, Ordering::Relaxed);
        }
        allowance.pause(self.clock.now())
    }

    /// Bytes that may be read at a time; `None` if their number doesn't matter.
    pub fn room(&self) -> Option<usize> {
        self.allowance().room().map(|room| usize::try_from(room).unwrap_or(usize::MAX))
    }

    fn allowance(&self) -> MutexGuard<'_, ContentAllowance> {
        self.allowance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
