//! The account that a request runs for, as its API key or another instance names it.

use std::sync::Arc;

use serde::Serialize;

use super::AccountHeader;
use super::node::Node;
use super::response::LocalResponse;
use crate::decide::accounts::Account;
use crate::decide::accounts::AuthVerdict;
use crate::decide::accounts::Credential;
use crate::decide::accounts::authenticate;
use crate::decide::traffic::Route;
use crate::decide::traffic::TrafficConfig;
use crate::wire::pass_on::PassedOnAccount;

/// Why a request is refused for its API key, as the log tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedKey {
    /// Form of the credential: `absent`, `invalid` or `key`.
    pub credential: &'static str,
    /// Time since the configuration was known to be the newest one, in ms; `None` if it never was.
    pub config_age_ms: Option<u64>,
}

impl RefusedKey {
    /// The cause of a refusal; `None` if it has another one than the key.
    pub fn of(node: &Node, credential: &Credential, response: LocalResponse) -> Option<Self> {
        let is_about_key =
            matches!(response, LocalResponse::Unauthorized | LocalResponse::Undecided);
        let credential = credential.name();
        is_about_key.then(|| Self { credential, config_age_ms: node.config_age_ms() })
    }
}

/// The account that a request runs for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAccount {
    /// The deployment has no accounts.
    Unused,
    /// None, as the route of the request is public.
    Anonymous,
    /// This one.
    Account(Arc<Account>),
}

impl CallerAccount {
    /// Checks the API key of a request to `route` under `config`.
    ///
    /// # Errors
    ///
    /// The relay's own response, if the request must not run.
    pub fn check(
        node: &Node,
        config: &TrafficConfig,
        route: &Route,
        credential: &Credential,
    ) -> Result<Self, LocalResponse> {
        let Some(accounts) = config.accounts.as_deref() else { return Ok(Self::Unused) };
        let trust = node.config_trust();
        match authenticate(Some(accounts), route.is_public, credential, trust) {
            AuthVerdict::Anonymous => Ok(Self::Anonymous),
            AuthVerdict::Account(account) => Ok(Self::Account(account)),
            AuthVerdict::Unauthorized => Err(LocalResponse::Unauthorized),
            AuthVerdict::Undecided => Err(LocalResponse::Undecided),
        }
    }

    /// Takes over what the instance that passes a request on found out; its quota has been charged
    /// there.
    pub fn of_passed_on(account: PassedOnAccount) -> Self {
        match account {
            PassedOnAccount::Anonymous => Self::Anonymous,
            PassedOnAccount::Named { name, priority, .. } => {
                Self::Account(Arc::new(Account { name, priority, quota: None }))
            }
        }
    }

    /// What the instance is told that the request is passed on to, with the share of its quota that
    /// the account uses; `None` in a deployment without accounts.
    pub fn to_passed_on(&self, utilisation: f32) -> Option<PassedOnAccount> {
        match self {
            Self::Unused => None,
            Self::Anonymous => Some(PassedOnAccount::Anonymous),
            Self::Account(account) => {
                let Account { name, priority, .. } = &**account;
                let utilisation_percent = (utilisation * 100.0) as u16;
                Some(PassedOnAccount::Named {
                    name: name.clone(),
                    priority: *priority,
                    utilisation_percent,
                })
            }
        }
    }

    /// The account, if it runs for one.
    pub fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Unused | Self::Anonymous => None,
            Self::Account(account) => Some(account),
        }
    }

    /// What the request's headers say of it.
    pub fn header(&self) -> AccountHeader<'_> {
        match self {
            Self::Unused => AccountHeader::Unused,
            Self::Anonymous => AccountHeader::Anonymous,
            Self::Account(account) => AccountHeader::Account(&account.name),
        }
    }
}
