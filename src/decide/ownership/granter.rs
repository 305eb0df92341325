//! The promises of one panel member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Claimant;
use super::GroupId;
use super::LeaseRelease;
use super::LeaseReply;
use super::LeaseRequest;
use super::LeaseTiming;
use crate::names::Timestamp;

/// The seat of this instance on the panel of one group.
#[derive(Clone, Debug)]
struct Seat {
    since: Timestamp,
    promise: Option<Promise>,
}

/// What a panel member promised: no other claimant gets a grant until then.
#[derive(Clone, Debug)]
struct Promise {
    claimant: Claimant,
    round: u64,
    until: Timestamp,
}

/// The promises of this instance, for every panel that it is a member of.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    timing: LeaseTiming,
    seats: BTreeMap<GroupId, Seat>,
    active: Timestamp,
}

impl LeaseGranter {
    /// A member of no panel.
    pub fn new(timing: LeaseTiming) -> Self {
        Self { timing, seats: BTreeMap::new(), active: Timestamp::ZERO }
    }

    /// Time passed; to be called several times a second.
    ///
    /// After a pause of the process its list may be too old to grant by, so every
    /// seat counts as new. A list reaches a running process within the other half
    /// of the lag.
    pub fn on_tick(&mut self, now: Timestamp) {
        if now.since(self.active) > self.timing.max_list_delay / 2 {
            self.seats.values_mut().for_each(|seat| seat.since = now);
        }
        self.active = now;
    }

    /// Takes the groups whose panels this instance is a member of, by its newest list.
    pub fn on_panels(&mut self, now: Timestamp, groups: &BTreeSet<GroupId>) {
        self.on_tick(now);
        self.seats.retain(|group, _| groups.contains(group));
        for group in groups {
            let seat = || Seat { since: now, promise: None };
            self.seats.entry(group.clone()).or_insert_with(seat);
        }
    }

    /// Grants a lease unless another claimant may hold it.
    pub fn on_request(&mut self, now: Timestamp, request: &LeaseRequest) -> LeaseReply {
        self.on_tick(now);
        let granted = self.grant(now, request);
        LeaseReply { group: request.group.clone(), round: request.round, granted }
    }

    /// Forgets a promise that its claimant gave up.
    pub fn on_release(&mut self, release: &LeaseRelease) {
        let Some(seat) = self.seats.get_mut(&release.group) else { return };
        seat.promise.take_if(|promise| {
            promise.claimant == release.claimant && promise.round <= release.round
        });
    }

    fn grant(&mut self, now: Timestamp, request: &LeaseRequest) -> bool {
        let Some(seat) = self.seats.get_mut(&request.group) else { return false };
        if now < seat.since + self.timing.abstention(request.group.fencing) {
            return false;
        }
        let until = now + self.timing.term;
        match &mut seat.promise {
            Some(promise) if promise.claimant == request.claimant => {
                promise.round = promise.round.max(request.round);
                promise.until = promise.until.max(until);
                true
            }
            Some(promise) if now < promise.until => false,
            vacant => {
                let claimant = request.claimant.clone();
                *vacant = Some(Promise { claimant, round: request.round, until });
                true
            }
        }
    }
}
