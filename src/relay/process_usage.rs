//! What the process uses of its machine, as the system tells it.

use std::fs;

/// Memory and descriptors in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory, in bytes; `None` if the system doesn't tell.
    pub memory_bytes: Option<usize>,
    /// Open descriptors; `None` if the system doesn't tell.
    pub descriptors: Option<usize>,
}

impl ProcessUsage {
    /// Present use.
    pub fn read() -> Self {
        Self { memory_bytes: resident_bytes(), descriptors: open_descriptors() }
    }
}

fn resident_bytes() -> Option<usize> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}

fn open_descriptors() -> Option<usize> {
    Some(fs::read_dir("/proc/self/fd").ok()?.count())
}
