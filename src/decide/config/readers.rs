//! Which instances watch the configuration service.
//!
//! In a small fleet every instance watches. In a larger one a few instances of each
//! data centre do, and the others learn of changes from peers. The readers are the
//! first in rendezvous order among the live members of their data centre whose own
//! reads succeed, so that another member takes over from a reader that fails.

use crate::decide::rendezvous;
use crate::wire::gossip::MemberRecord;

/// Largest fleet in which every instance watches.
pub const ALL_READERS_MAX_INSTANCES: usize = 9;
/// Instances of each data centre that watch in a larger fleet.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// Number of instances in the fleet that watch the service.
pub fn reader_count(instances: usize, data_centres: usize) -> usize {
    if instances <= ALL_READERS_MAX_INSTANCES {
        return instances;
    }
    instances.min(data_centres * READERS_PER_DATA_CENTRE)
}

/// Whether `me` watches the service, given the other live members.
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
