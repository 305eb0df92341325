//! What happens to a request that is to be charged.

use std::time::Duration;

use super::LoanAsk;

/// Next step of charging a request to the balance of its account.
#[derive(Clone, Debug, PartialEq)]
pub enum ChargeStep {
    /// The cost was taken from the balance.
    Charged,
    /// The counting instance is to be asked; the request is charged again after its reply.
    Ask(LoanAsk),
    /// An ask is under way; the request is charged again after its reply.
    AwaitReply,
    /// The account is over its quota for this time.
    Denied(Duration),
    /// Nobody can tell for this time whether the account is over its quota.
    Unavailable(Duration),
}
