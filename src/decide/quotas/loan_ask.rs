//! What an instance asks the counting instance of an account.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AccountName;

/// Ask for a loan from the quota of an account, in units of that quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAsk {
    /// The account.
    pub account: AccountName,
    /// Cost of the request that waits, less the balance; 0 if none waits.
    pub needed: u64,
    /// What this instance expects to use soon, `needed` included.
    pub wanted: u64,
}
