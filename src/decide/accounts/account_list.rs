//! All accounts of one version of the configuration, by key and by name.

use std::collections::HashMap;
use std::sync::Arc;

use super::Account;
use super::AccountError;
use super::KeyDigest;
use super::Quota;
use crate::names::AccountName;

/// The client accounts of a deployment.
///
/// A lookup takes the same time with any number of keys. It compares digests, so the time that it
/// takes tells nothing of a key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key: HashMap<KeyDigest, Arc<Account>>,
    by_name: HashMap<AccountName, Arc<Account>>,
}

impl Accounts {
    /// Indexes accounts, each with the digests of its keys.
    ///
    /// # Errors
    ///
    /// The first fault: names and keys must not be empty and belong to one account each; a quota's
    /// rate must be positive, its burst not negative, and both finite.
    pub fn new(all: Vec<(Account, Vec<KeyDigest>)>) -> Result<Self, AccountError> {
        let mut accounts = Self::default();
        let empty_key = KeyDigest::of(b"");
        for (account, keys) in all {
            let name = account.name.clone();
            if name.as_str().is_empty() {
                return Err(AccountError::EmptyName);
            }
            if account.quota.as_ref().is_some_and(|quota| !is_valid(quota)) {
                return Err(AccountError::InvalidQuota(name));
            }
            let account = Arc::new(account);
            for key in keys {
                if key == empty_key {
                    return Err(AccountError::EmptyKey(name));
                }
                let former = accounts.by_key.insert(key, Arc::clone(&account));
                if let Some(former) = former
                    && former.name != name
                {
                    return Err(AccountError::SharedKey(former.name.clone(), name));
                }
            }
            if accounts.by_name.insert(name.clone(), account).is_some() {
                return Err(AccountError::DuplicateName(name));
            }
        }
        Ok(accounts)
    }

    /// The account that holds a key; `None` if nobody does.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// The account of this name; `None` if there isn't one.
    pub fn get(&self, name: &AccountName) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }
}

fn is_valid(quota: &Quota) -> bool {
    let is_finite = quota.rate.is_finite() && quota.burst.is_finite();
    is_finite && quota.rate > 0.0 && quota.burst >= 0.0
}
