//! What happens in one run.

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    /// Instances with links of 200 Mbit/s; the others have 10 Mbit/s.
    pub fast_links: usize,
    /// Size of the item, in bytes.
    pub bytes: usize,
    /// Part of it that differs from the version before, in bytes.
    pub changed_bytes: usize,
    pub changes: usize,
    pub interval_ms: u64,
    /// Part of the calls that are lost.
    pub loss: f64,
    /// Instances that are cut off from all others and the store for two seconds from the change on.
    pub cut: usize,
    /// Instances with a tenth of the processor time.
    pub slow: usize,
    /// When all instances restart, from the first change on.
    pub restart_at_ms: Option<u64>,
}

impl Plan {
    /// One change of the whole item, and nothing that fails.
    pub fn new(seed: u64, instances: usize, bytes: usize) -> Self {
        Self {
            seed,
            instances,
            fast_links: instances.div_ceil(12),
            bytes,
            changed_bytes: bytes,
            changes: 1,
            interval_ms: 0,
            loss: 0.0,
            cut: 0,
            slow: 0,
            restart_at_ms: None,
        }
    }
}
