//! The counting instance's reply to an ask.

use serde::Deserialize;
use serde::Serialize;

/// Loan from the quota of an account, in units of that quota.
///
/// Encoded as an array, since field names would take much of so small a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, f32)", into = "(u64, u64, f32)")]
pub struct LoanReply {
    /// What may be used; at least what was needed, or 0.
    pub granted: u64,
    /// If nothing is granted: time until another ask may succeed, in ms.
    pub wait_ms: u64,
    /// Share of the quota that the account uses, over all instances; above 1 if it asks for more.
    pub utilisation: f32,
}

impl From<(u64, u64, f32)> for LoanReply {
    fn from((granted, wait_ms, utilisation): (u64, u64, f32)) -> Self {
        Self { granted, wait_ms, utilisation }
    }
}

impl From<LoanReply> for (u64, u64, f32) {
    fn from(reply: LoanReply) -> Self {
        (reply.granted, reply.wait_ms, reply.utilisation)
    }
}
