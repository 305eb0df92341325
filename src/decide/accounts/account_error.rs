//! Faults of a list of accounts.

use std::fmt;

use crate::names::AccountName;

/// Why a list of accounts is refused; no variant holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccountError {
    /// An account has an empty name.
    EmptyName,
    /// Two accounts have this name.
    DuplicateName(AccountName),
    /// This account has an empty key.
    EmptyKey(AccountName),
    /// Two accounts have the same key.
    SharedKey(AccountName, AccountName),
    /// The rate of this account's quota isn't a positive number, or its burst is negative.
    InvalidQuota(AccountName),
}

impl fmt::Display for AccountError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EmptyName => f.write_str("an account has an empty name"),
            Self::DuplicateName(name) => write!(f, "two accounts are named \"{name}\""),
            Self::EmptyKey(name) => write!(f, "account \"{name}\" has an empty key"),
            Self::SharedKey(one, other) => {
                write!(f, "accounts \"{one}\" and \"{other}\" have a key in common")
            }
            Self::InvalidQuota(name) => write!(f, "the quota of account \"{name}\" is invalid"),
        }
    }
}

impl std::error::Error for AccountError {}
