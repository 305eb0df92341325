//! Which instances watch the configuration service.
//!
//! A small fleet watches as a whole. Past that a few instances of each data
//! centre watch, and the others learn from peers. The readers are the first by
//! rendezvous among the members that are live and whose own reads succeed, so
//! that a stand-in takes over when a reader goes quiet.

use crate::decide::rendezvous;
use crate::wire::gossip::MemberRecord;

/// Largest fleet in which every instance watches.
pub const SMALL_FLEET: usize = 9;
/// Instances of one data centre that watch in a larger fleet.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// How many instances watch the service in all.
pub fn reader_count(instances: usize, data_centres: usize) -> usize {
    if instances <= SMALL_FLEET {
        return instances;
    }
    instances.min(data_centres * READERS_PER_DATA_CENTRE)
}

/// Whether `me` watches the service, given the live members besides it.
pub fn is_reader<'a>(me: &MemberRecord, live: impl Iterator<Item = &'a MemberRecord>) -> bool {
    let others: Vec<&MemberRecord> = live.collect();
    if others.len() < SMALL_FLEET {
        return true;
    }
    let key = format!("config-readers/{}", me.dc);
    let near = others.into_iter().filter(|member| member.dc == me.dc);
    let mut ranked: Vec<&MemberRecord> = near.chain([me]).collect();
    ranked = rendezvous::rank(&key, ranked, |member| member.name.as_str());
    // The sort is stable, so members whose reads succeed keep their rank and go first.
    ranked.sort_by_key(|member| !member.reads);
    ranked.iter().take(READERS_PER_DATA_CENTRE).any(|member| member.name == me.name)
}
