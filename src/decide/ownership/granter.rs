//! Leases that one panel member has granted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Claimant;
use super::GroupId;
use super::LeaseRelease;
use super::LeaseReply;
use super::LeaseRequest;
use super::LeaseTiming;
use crate::names::Timestamp;

/// Membership of this instance in the panel of one group.
#[derive(Clone, Debug)]
struct Membership {
    since: Timestamp,
    grant: Option<Grant>,
}

/// A granted lease: no other claimant gets a grant until `until`.
#[derive(Clone, Debug)]
struct Grant {
    claimant: Claimant,
    round: u64,
    until: Timestamp,
}

/// Grants leases for every panel that this instance is a member of.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    timing: LeaseTiming,
    memberships: BTreeMap<GroupId, Membership>,
    last_tick: Timestamp,
}

impl LeaseGranter {
    /// A member of no panel.
    pub fn new(timing: LeaseTiming) -> Self {
        Self { timing, memberships: BTreeMap::new(), last_tick: Timestamp::ZERO }
    }

    /// Detects pauses of the process; to be called several times a second.
    ///
    /// After a pause of more than half of `max_list_delay` the list of instances may be
    /// too old to grant by, so every membership counts as new. A list reaches a running
    /// process within the other half.
    pub fn on_tick(&mut self, now: Timestamp) {
        if now.since(self.last_tick) > self.timing.max_list_delay / 2 {
            self.memberships.values_mut().for_each(|membership| membership.since = now);
        }
        self.last_tick = now;
    }

    /// Replaces the groups whose panels this instance is a member of, by its newest list.
    pub fn on_panels(&mut self, now: Timestamp, groups: &BTreeSet<GroupId>) {
        self.on_tick(now);
        self.memberships.retain(|group, _| groups.contains(group));
        for group in groups {
            let membership = || Membership { since: now, grant: None };
            self.memberships.entry(group.clone()).or_insert_with(membership);
        }
    }

    /// Grants or renews a lease unless another claimant may hold it.
    pub fn on_request(&mut self, now: Timestamp, request: &LeaseRequest) -> LeaseReply {
        self.on_tick(now);
        let granted = self.grant(now, request);
        LeaseReply { group: request.group.clone(), round: request.round, granted }
    }

    /// Forgets a grant that its claimant gave up.
    pub fn on_release(&mut self, release: &LeaseRelease) {
        let Some(membership) = self.memberships.get_mut(&release.group) else { return };
        membership
            .grant
            .take_if(|grant| grant.claimant == release.claimant && grant.round <= release.round);
    }

    fn grant(&mut self, now: Timestamp, request: &LeaseRequest) -> bool {
        let Some(membership) = self.memberships.get_mut(&request.group) else { return false };
        if now < membership.since + self.timing.abstention(request.group.fencing) {
            return false;
        }
        let until = now + self.timing.term;
        match &mut membership.grant {
            Some(grant) if grant.claimant == request.claimant => {
                grant.round = grant.round.max(request.round);
                grant.until = grant.until.max(until);
                true
            }
            Some(grant) if now < grant.until => false,
            vacant => {
                let claimant = request.claimant.clone();
                *vacant = Some(Grant { claimant, round: request.round, until });
                true
            }
        }
    }
}
