//! Count of the work in progress, which a graceful shutdown waits for.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Count of the work in progress.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    count: Arc<AtomicUsize>,
}

impl InFlight {
    /// Counts one piece of work until the guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { count: Arc::clone(&self.count) }
    }

    /// How much is in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// One piece of work in progress.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
