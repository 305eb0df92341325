//! Groups of accounts, each counted by one instance.

use xxhash_rust::xxh3::xxh3_64;

use crate::names::AccountName;

/// Number of groups: an instance sends at most as many asks at a time, however many accounts there are.
const GROUPS: u8 = 4;

/// A group of accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QuotaGroup(u8);

impl QuotaGroup {
    /// The group of an account, by a hash of its name.
    pub fn of(account: &AccountName) -> Self {
        Self((xxh3_64(account.as_str().as_bytes()) % u64::from(GROUPS)) as u8)
    }

    /// All groups.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUPS).map(Self)
    }

    /// Key under which instances are ranked to count the group.
    pub fn ranking_key(self) -> String {
        format!("quota-{}", self.0)
    }
}
