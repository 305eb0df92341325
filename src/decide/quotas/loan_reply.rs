//! The counting instance's reply to an ask.

use serde::Deserialize;
use serde::Serialize;

/// Loan from the quota of an account, in units of that quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoanReply {
    /// What may be used; at least what was needed, or 0.
    pub granted: u64,
    /// If nothing is granted: time until another ask may succeed, in ms.
    pub wait_ms: u64,
    /// Share of the quota that the account uses, over all instances; above 1 if it asks for more.
    pub utilisation: f32,
}
