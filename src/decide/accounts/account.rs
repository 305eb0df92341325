//! One client account of the published configuration.

use super::Quota;
use crate::names::AccountName;

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name that replicas get with its requests.
    pub name: AccountName,
    /// Priority of its requests, which goes before that of their route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit over all instances; `None` if there is none.
    pub quota: Option<Quota>,
}
