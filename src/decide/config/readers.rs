//! Which instances are readers, which watch the configuration service by long polling.
//!
//! In a small fleet every instance is one. In a larger fleet a few instances of each
//! data centre are, and the others learn of changes from peers. The readers are the
//! first in rendezvous order among the live members of their data centre whose own
//! reads succeed, so that another member takes over from a reader that fails.

use crate::decide::rendezvous;
use crate::wire::gossip::MemberRecord;

/// Largest fleet in which every instance is a reader.
pub const ALL_READERS_MAX_INSTANCES: usize = 9;
/// Readers in each data centre of a larger fleet.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// Number of readers in a fleet.
pub fn reader_count(instances: usize, data_centres: usize) -> usize {
    if instances <= ALL_READERS_MAX_INSTANCES {
        return instances;
    }
    instances.min(data_centres * READERS_PER_DATA_CENTRE)
}

/// Whether `me` is a reader, given the other live members.
pub fn is_reader<'a>(me: &MemberRecord, live: impl Iterator<Item = &'a MemberRecord>) -> bool {
    let others: Vec<&MemberRecord> = live.collect();
    if others.len() < ALL_READERS_MAX_INSTANCES {
        return true;
    }
    let key = format!("config-readers/{}", me.dc);
    let near = others.into_iter().filter(|member| member.dc == me.dc);
    let mut ranked: Vec<&MemberRecord> = near.chain([me]).collect();
    ranked = rendezvous::rank(&key, ranked, |member| member.name.as_str());
    // The sort is stable: members whose reads succeed go first and keep their rendezvous order.
    ranked.sort_by_key(|member| !member.reads);
    ranked.iter().take(READERS_PER_DATA_CENTRE).any(|member| member.name == me.name)
}
