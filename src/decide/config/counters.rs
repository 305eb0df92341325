//! Counters of the configuration in effect.

/// How often each thing happened since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigCounters {
    /// Generations applied.
    pub applied: u64,
    /// Roots or pages that were refused.
    pub refused: u64,
    /// Contents seen that differ from the one in effect under the same generation.
    pub conflicts: u64,
    /// Roots of the service below the generation in effect.
    pub stale_roots: u64,
    /// Reads of the service's root, watches included.
    pub service_root_reads: u64,
    /// Reads of the service's pages.
    pub service_page_reads: u64,
    /// Reads that failed, of any source.
    pub failed_reads: u64,
}
