//! Bound on log lines.

use std::time::Duration;

use crate::names::Timestamp;

/// Most lines at once.
const MAX_AT_ONCE: u32 = 8;
/// Time after which one more line may be written.
const INTERVAL: Duration = Duration::from_secs(10);

/// Lines that may be written: some at once, and then one in each interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    used: u32,
    freed_at: Timestamp,
}

impl LineBudget {
    /// Takes `count` lines; returns `false` and takes none if there are fewer.
    pub fn take(&mut self, now: Timestamp, count: u32) -> bool {
        self.free(now);
        let fits = self.used + count <= MAX_AT_ONCE;
        self.used += if fits { count } else { 0 };
        fits
    }

    fn free(&mut self, now: Timestamp) {
        let intervals = now.since(self.freed_at).as_micros() / INTERVAL.as_micros();
        let freed = u32::try_from(intervals).unwrap_or(u32::MAX);
        if freed >= self.used {
            self.used = 0;
            self.freed_at = now;
        } else {
            self.used -= freed;
            self.freed_at = self.freed_at + INTERVAL * freed;
        }
    }
}
