//! What an instance asks the counting instance of an account.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AccountName;

/// Ask for a loan from the quota of an account, in units of that quota.
///
/// Encoded as an array, since field names would take much of so small a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(AccountName, u64, u64)", into = "(AccountName, u64, u64)")]
pub struct LoanAsk {
    /// The account.
    pub account: AccountName,
    /// Cost of the request that waits, less the balance; 0 if none waits.
    pub needed: u64,
    /// What this instance expects to use soon, `needed` included.
    pub wanted: u64,
}

impl From<(AccountName, u64, u64)> for LoanAsk {
    fn from((account, needed, wanted): (AccountName, u64, u64)) -> Self {
        Self { account, needed, wanted }
    }
}

impl From<LoanAsk> for (AccountName, u64, u64) {
    fn from(ask: LoanAsk) -> Self {
        (ask.account, ask.needed, ask.wanted)
    }
}
