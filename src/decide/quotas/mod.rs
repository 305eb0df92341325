//! Quotas of client accounts, counted over all instances.
//!
//! One instance counts an account. The others borrow from it what their callers use.

mod charge_step;
mod counter;
mod loan_ask;
mod loan_reply;
mod quota_balance;
mod quota_group;

pub use charge_step::ChargeStep;
pub use counter::QuotaCounter;
pub use loan_ask::LoanAsk;
pub use loan_reply::LoanReply;
pub use quota_balance::QuotaBalance;
pub use quota_group::QuotaGroup;
