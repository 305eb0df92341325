//! Decides for which account a request runs, if it may run.

use std::sync::Arc;

use super::Account;
use super::Accounts;
use super::Credential;
use crate::decide::config_freshness::ConfigTrust;

/// For which account a request runs.
#[derive(Clone, Debug, PartialEq)]
pub enum AuthVerdict {
    /// For none: its deployment has no accounts, or its route is public.
    Anonymous,
    /// For the account that holds its key.
    Account(Arc<Account>),
    /// It must not run, as it has no valid key.
    Unauthorized,
    /// It must not run, as the configuration is too old to tell whether its key is valid.
    Undecided,
}

/// Decides by the accounts in effect, `None` if the deployment has none, and how far they are trusted.
///
/// A key that isn't listed may be a new one, unless the configuration is current; one that is listed
/// may have been revoked if the configuration is stale.
pub fn authenticate(
    accounts: Option<&Accounts>,
    is_public: bool,
    credential: &Credential,
    trust: ConfigTrust,
) -> AuthVerdict {
    let Some(accounts) = accounts else { return AuthVerdict::Anonymous };
    let verdict = match credential {
        Credential::Absent | Credential::Invalid => AuthVerdict::Unauthorized,
        Credential::Key(key) => match (accounts.holder(key), trust) {
            (_, ConfigTrust::Stale) | (None, ConfigTrust::Known) => AuthVerdict::Undecided,
            (None, ConfigTrust::Current) => AuthVerdict::Unauthorized,
            (Some(account), ConfigTrust::Current | ConfigTrust::Known) => {
                AuthVerdict::Account(Arc::clone(account))
            }
        },
    };
    match verdict {
        AuthVerdict::Unauthorized | AuthVerdict::Undecided if is_public => AuthVerdict::Anonymous,
        verdict => verdict,
    }
}
