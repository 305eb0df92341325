//! Event counts of the configuration's distribution.

/// Event counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigCounters {
    /// Generations applied.
    pub applied: u64,
    /// Configurations refused: an invalid root or page set, or a conflicting content.
    pub refused: u64,
    /// Distinct contents seen that differ from the one in effect under the same generation.
    pub conflicts: u64,
    /// Roots that the service returned below the generation in effect.
    pub stale_roots: u64,
    /// Reads of the service's root, long polls included.
    pub service_root_reads: u64,
    /// Reads of pages from the service.
    pub service_page_reads: u64,
    /// Failed reads from any source; a page with the wrong hash counts.
    pub failed_reads: u64,
}
