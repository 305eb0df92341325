//! Time and memory limits of the submission table.

use std::time::Duration;

/// Time within which a ticket may be used; no send to a desk starts later.
///
/// A caller that was told "outcome unknown" must wait this long before a desk
/// that doesn't know the submission proves that it never ran.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(120);

/// Time after a ticket's expiry for which its outcome is remembered.
pub const OUTCOME_MEMORY: Duration = Duration::from_secs(600);

/// Longest receipt that is kept, in bytes; receipts are numbers or ids.
pub const MAX_RECEIPT_BYTES: usize = 256;

/// Memory of one ticket without its receipt, in bytes: two ordered indexes and the entry.
pub const ENTRY_BYTES: usize = 256;

/// Memory of the whole table, in bytes: a quarter of an instance's 32 MB.
const TABLE_BYTES: usize = 8 * 1024 * 1024;

/// Limits of one [`super::SubmissionTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmissionTableLimits {
    /// Time within which a ticket may be used.
    pub lifetime: Duration,
    /// Time after a ticket's expiry for which its outcome is remembered.
    pub memory: Duration,
    /// Memory for tickets and their receipts, in bytes.
    pub bytes: usize,
}

impl SubmissionTableLimits {
    /// Most tickets that may be remembered at once.
    ///
    /// Room for the longest receipt is reserved when a ticket is issued, so that a
    /// receipt can always be kept.
    pub fn max_tickets(&self) -> usize {
        self.bytes / (ENTRY_BYTES + MAX_RECEIPT_BYTES)
    }
}

impl Default for SubmissionTableLimits {
    fn default() -> Self {
        Self { lifetime: TICKET_LIFETIME, memory: OUTCOME_MEMORY, bytes: TABLE_BYTES }
    }
}
