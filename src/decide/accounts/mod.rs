//! Client accounts of a deployment: who holds an API key, and what an account may use.
//!
//! The published configuration names the accounts. A deployment without any is served without keys.

mod account;
mod cost_unit;
mod quota;

pub use account::Account;
pub use cost_unit::CostUnit;
pub use quota::Quota;
