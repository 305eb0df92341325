//! Rank of a request at a replica, among those of all accounts.

/// Share of the quota above which an account's requests wait behind others of the same priority.
const HEAVY_UTILISATION: f32 = 0.75;
/// Highest rank that replicas know.
const MAX_RANK: u8 = 9;

/// Priority that a replica gets in a deployment with accounts; 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FairRank(u8);

impl FairRank {
    /// Rank of a request with this priority (of its account or route), whose account uses this
    /// share of its quota.
    pub fn new(priority: u8, utilisation: f32) -> Self {
        let is_heavy = utilisation > HEAVY_UTILISATION;
        Self(priority.saturating_mul(2).saturating_add(u8::from(is_heavy)).min(MAX_RANK))
    }

    /// The rank as a number, at most 9.
    pub fn get(self) -> u8 {
        self.0
    }
}
