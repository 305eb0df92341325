//! Client accounts of a deployment: who holds an API key, and what an account may use.
//!
//! The published configuration names the accounts. A deployment without any is served without keys.

mod account;
mod account_error;
mod account_list;
mod authenticate;
mod cost_unit;
mod credential;
mod key_digest;
mod quota;

pub use account::Account;
pub use account_error::AccountError;
pub use account_list::Accounts;
pub use authenticate::AuthVerdict;
pub use authenticate::authenticate;
pub use cost_unit::CostUnit;
pub use credential::Credential;
pub use key_digest::KeyDigest;
pub use quota::Quota;
