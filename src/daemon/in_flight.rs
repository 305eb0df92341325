//! Count of the work in progress, which a graceful shutdown waits for.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counter of requests, dispatches and submissions in progress.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    count: Arc<AtomicUsize>,
}

impl InFlight {
    /// Adds one until the returned guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { count: Arc::clone(&self.count) }
    }

    /// Number of guards that haven't been dropped.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// Holds one place in the count of [`InFlight`].
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
