//! Quotas of accounts: the decisions, and a model of instances and callers in virtual time.

mod account_load;
mod decisions;
mod failures;
mod fair_rank;
mod instance;
mod judge;
mod loads;
mod plan;
mod view;
mod world;
