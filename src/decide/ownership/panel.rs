//! The panel of a group: the instances whose majority grants its lease.

use super::Candidate;
use super::GroupId;
use crate::decide::rendezvous;
use crate::names::InstanceName;

/// Most members of a panel: with two lost, the other three are still a majority.
pub const PANEL_SIZE: usize = 5;

/// The panel of a group: the listed instances that rank highest, those of its data centre first.
pub fn panel(group: &GroupId, listed: &[Candidate]) -> Vec<InstanceName> {
    let ranked = rendezvous::rank(&group.to_string(), listed.iter().collect(), |candidate| {
        candidate.name.as_str()
    });
    let (near, far): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|candidate| candidate.data_centre == group.data_centre);
    near.into_iter().chain(far).take(PANEL_SIZE).map(|candidate| candidate.name.clone()).collect()
}

/// How many grants make a lease, of a panel of `panel_size` members.
pub fn majority(panel_size: usize) -> usize {
    panel_size / 2 + 1
}
