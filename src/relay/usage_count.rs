//! Counter of things in use, which they leave when their guard is dropped.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Number of guards that exist.
#[derive(Clone, Debug, Default)]
pub struct UsageCount(Arc<AtomicUsize>);

impl UsageCount {
    /// Adds one until the guard is dropped.
    pub fn enter(&self) -> UsageGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        UsageGuard(self.clone())
    }

    /// Present number.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one until it is dropped.
#[derive(Debug)]
pub struct UsageGuard(UsageCount);

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
