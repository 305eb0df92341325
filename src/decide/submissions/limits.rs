//! Bounds of the book of submissions.

use std::time::Duration;

/// Time within which a ticket may be used; no send starts later.
///
/// Callers who were told "outcome unknown" wait this long before a desk that
/// doesn't know the submission proves that it never ran.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(120);

/// Time for which an outcome is remembered after its ticket expired.
pub const OUTCOME_MEMORY: Duration = Duration::from_secs(600);

/// Longest receipt that is kept, in bytes; a receipt is a number or an id.
pub const MAX_RECEIPT_BYTES: usize = 256;

/// Memory of one ticket without its receipt, in bytes: two ordered indexes and the entry.
pub const ENTRY_BYTES: usize = 256;

/// Memory of the whole book, in bytes: a quarter of an instance's 32 MB.
const BOOK_BYTES: usize = 8 * 1024 * 1024;

/// Bounds of one book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmissionTableLimits {
    /// Time within which a ticket may be used.
    pub lifetime: Duration,
    /// Time for which an outcome is remembered after its ticket expired.
    pub memory: Duration,
    /// Most bytes that tickets and their receipts may take.
    pub bytes: usize,
}

impl SubmissionTableLimits {
    /// Most tickets that may be remembered at once.
    ///
    /// The longest receipt is reserved when a ticket is issued, so a receipt
    /// always finds room.
    pub fn max_tickets(&self) -> usize {
        self.bytes / (ENTRY_BYTES + MAX_RECEIPT_BYTES)
    }
}

impl Default for SubmissionTableLimits {
    fn default() -> Self {
        Self { lifetime: TICKET_LIFETIME, memory: OUTCOME_MEMORY, bytes: BOOK_BYTES }
    }
}
