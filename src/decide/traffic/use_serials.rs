//! Serial numbers of adapter uses and turns, which grow also over restarts of an instance.
//!
//! Owners of replicas know an instance by its name, which it keeps when it restarts, and ignore
//! updates with lower numbers than the last one. So each process begins above all numbers that an
//! earlier one can have drawn.

/// Serial numbers set apart for each millisecond that a process runs; more than it draws.
const SERIALS_PER_MS: u64 = 1024;

/// Serial number after which a process draws its own; `started_ms` is its start time in Unix
/// milliseconds.
pub fn serial_at_start(started_ms: u64) -> u64 {
    started_ms.saturating_mul(SERIALS_PER_MS)
}
