//! Quotas of client accounts, counted over all instances.
//!
//! One instance counts an account, with [`QuotaCounter`]. The others borrow from it what their callers
//! use; [`QuotaBalance`] is what one instance has borrowed for one account. A loan expires soon, so
//! that what instances hold unused can't add up to much. [`FairRank`] puts accounts that use little of
//! their quota before those that use much.

mod charge_step;
mod counter;
mod demand_estimate;
mod fair_rank;
mod loan_ask;
mod loan_reply;
mod loans;
mod quota_balance;
mod quota_bucket;
mod quota_group;

pub use charge_step::ChargeStep;
pub use counter::QuotaCounter;
pub use fair_rank::FairRank;
pub use loan_ask::LoanAsk;
pub use loan_reply::LoanReply;
pub use quota_balance::QuotaBalance;
pub use quota_group::QuotaGroup;
