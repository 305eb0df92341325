//! Whom an instance calls in a round of gossip.

use std::net::SocketAddr;

use super::PeerRecord;
use crate::decide::rendezvous::Ranking;

/// Live instances that are called in one round of gossip.
const FANOUT: usize = 3;
/// Of these, in a large fleet, those in other data centres.
const REMOTE_FANOUT: usize = 1;
/// Calls of all instances of a data centre to others in one round from which on each instance makes
/// one in some rounds only.
const REMOTE_CALLS_PER_ROUND: usize = 40;

/// Addresses of the `live` instances that `me` calls in a round: in a small fleet any, in a large one
/// mostly those of the same data centre.
pub fn of_round(
    round: u64,
    me: &PeerRecord,
    mut live: Vec<&PeerRecord>,
    is_small: bool,
) -> Vec<SocketAddr> {
    let ranking = Ranking::new(&format!("{round} {}", me.name));
    live.sort_by_cached_key(|record| ranking.score(record.name.as_str()));
    if is_small || me.data_centre.is_none() {
        return live.iter().take(FANOUT).map(|record| record.addr).collect();
    }
    let (near, far): (Vec<&PeerRecord>, Vec<&PeerRecord>) =
        live.into_iter().partition(|record| record.data_centre == me.data_centre);
    let near_count = (FANOUT - REMOTE_FANOUT).min(near.len());
    let calls_far = calls_other_data_centres(&ranking, near.len() + 1);
    let far_count = FANOUT - near_count - usize::from(!calls_far) * REMOTE_FANOUT;
    let chosen = near.iter().take(near_count).chain(far.iter().take(far_count));
    chosen.map(|record| record.addr).collect()
}

/// Whether this instance calls another data centre in this round: with many instances in its own,
/// only some do.
fn calls_other_data_centres(ranking: &Ranking, own_count: usize) -> bool {
    let draw = ranking.score("far") as usize % own_count.max(1);
    draw < REMOTE_CALLS_PER_ROUND
}
