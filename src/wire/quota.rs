//! Messages by which instances borrow from the quotas of client accounts.

use serde::Deserialize;
use serde::Serialize;

use crate::decide::quotas::LoanAsk;
use crate::decide::quotas::LoanReply;
use crate::names::InstanceName;

/// Path of [`QuotaRequest`].
pub const QUOTA_PATH: &str = "/relay/v1/quota";

/// Asks the instance that counts a group of accounts for loans; older processes answer that they
/// don't know the path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The instance that asks.
    pub user: InstanceName,
    /// What it asks for, at most once for each account.
    pub asks: Vec<LoanAsk>,
}

/// Reply to a [`QuotaRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// A reply to each ask, in the same order; `None` where the instance doesn't count the account.
    pub replies: Vec<Option<LoanReply>>,
}
