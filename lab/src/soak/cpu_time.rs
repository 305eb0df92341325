//! Processor time of a process.

use std::fs;
use std::time::Duration;

/// Processor time that a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct CpuTime {
    pid: u32,
    used: Duration,
}

impl CpuTime {
    /// That of all threads of a process; `None` if it has ended.
    pub fn of(pid: u32) -> Option<Self> {
        let tasks = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
        let used = tasks.filter_map(|task| {
            let text = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        });
        Some(Self { pid, used: Duration::from_nanos(used.sum()) })
    }

    /// Share of a processor that the process used in a time, which ends now; `None` if it isn't the one of
    /// the beginning.
    pub fn share_since(self, before: Self, time: Duration) -> Option<f64> {
        let is_same = self.pid == before.pid;
        is_same.then(|| self.used.saturating_sub(before.used).div_duration_f64(time))
    }
}
