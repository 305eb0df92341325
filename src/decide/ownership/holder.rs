//! Acquires, renews and gives up the lease of one group.

use std::collections::BTreeSet;

use super::Claimant;
use super::GroupId;
use super::LeaseAction;
use super::LeaseRelease;
use super::LeaseReply;
use super::LeaseRequest;
use super::LeaseTiming;
use super::majority;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// One round of requests to get or renew the lease.
#[derive(Clone, Debug)]
struct LeaseAttempt {
    /// Read before the first request was sent: the lease is counted from here.
    began: Timestamp,
    panel: Vec<InstanceName>,
    granted: BTreeSet<InstanceName>,
}

/// The lease of one group at the instance that claims it.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    group: GroupId,
    claimant: Claimant,
    timing: LeaseTiming,
    round: u64,
    attempt: Option<LeaseAttempt>,
    held_until: Option<Timestamp>,
    last_fenced: Option<Timestamp>,
    yield_until: Timestamp,
}

impl LeaseHolder {
    /// A claimant that holds no lease yet.
    pub fn new(group: GroupId, claimant: Claimant, timing: LeaseTiming) -> Self {
        Self {
            group,
            claimant,
            timing,
            round: 0,
            attempt: None,
            held_until: None,
            last_fenced: None,
            yield_until: Timestamp::ZERO,
        }
    }

    /// Whether an order or dispatch may be sent at `now`, a time read just before the send.
    ///
    /// # Errors
    ///
    /// `NotOwner` if the lease could run out before the message arrives, or isn't held.
    pub fn may_act(&self, now: Timestamp) -> Result<()> {
        match self.held_until {
            Some(held_until) if now + self.timing.max_message_delay < held_until => Ok(()),
            _ => Err(Error::new(
                ErrorKind::NotOwner,
                format!(
                    "instance {} has no lease of group {} that outlasts a message to its engines",
                    self.claimant.name, self.group
                ),
            )),
        }
    }

    /// Acquires, renews or gives up the lease.
    ///
    /// `should_own` says whether this instance is the preferred owner of the group's listed
    /// engines, `panel` who is asked.
    pub fn on_tick(
        &mut self,
        now: Timestamp,
        should_own: bool,
        panel: &[InstanceName],
    ) -> Vec<LeaseAction> {
        let mut actions = self.expire(now);
        if !should_own {
            actions.extend(self.release(panel));
            return actions;
        }
        let renewal = self.timing.renewal();
        let due = self.attempt.as_ref().is_none_or(|attempt| now.since(attempt.began) >= renewal);
        if due && now >= self.yield_until {
            actions.extend(self.request_lease(now, panel));
        }
        actions
    }

    /// Handles the reply of one panel member; a majority of grants makes or renews the lease.
    pub fn on_reply(
        &mut self,
        now: Timestamp,
        from: &InstanceName,
        reply: &LeaseReply,
    ) -> Vec<LeaseAction> {
        let mut actions = self.expire(now);
        let Some(attempt) = &mut self.attempt else { return actions };
        if reply.round != self.round || !reply.granted || !attempt.panel.contains(from) {
            return actions;
        }
        attempt.granted.insert(from.clone());
        let held_until = attempt.began + self.timing.holder_term();
        if attempt.granted.len() < majority(attempt.panel.len()) || held_until <= now {
            return actions;
        }
        if self.held_until.is_none() {
            actions.push(LeaseAction::Acquired);
        }
        self.held_until = Some(held_until);
        actions
    }

    /// Handles an engine's refusal of this instance's fencing number: another one took it over.
    ///
    /// The first time it may be a late fencing order of an earlier owner, so the
    /// engines are taken over anew. The second time within a term another instance
    /// holds a lease too: this one yields for a term, so that they don't fence each
    /// other in turn.
    pub fn on_fenced(&mut self, now: Timestamp, panel: &[InstanceName]) -> Vec<LeaseAction> {
        let term = self.timing.term;
        let again =
            self.last_fenced.replace(now).is_some_and(|last_fenced| now.since(last_fenced) < term);
        if again {
            self.yield_until = now + term;
            return self.release(panel);
        }
        match self.held_until {
            Some(_) => vec![LeaseAction::Acquired],
            None => Vec::new(),
        }
    }

    /// Gives the lease up and tells the panel; nothing more may be sent to the group's engines.
    pub fn release(&mut self, panel: &[InstanceName]) -> Vec<LeaseAction> {
        let Some(attempt) = self.attempt.take() else { return Vec::new() };
        let mut actions = Vec::new();
        if self.held_until.take().is_some() {
            actions.push(LeaseAction::Lost);
        }
        let release = LeaseRelease {
            group: self.group.clone(),
            claimant: self.claimant.clone(),
            round: self.round,
        };
        let members: BTreeSet<&InstanceName> = attempt.panel.iter().chain(panel).collect();
        actions.extend(
            members
                .into_iter()
                .map(|to| LeaseAction::Release { to: to.clone(), release: release.clone() }),
        );
        actions
    }

    fn expire(&mut self, now: Timestamp) -> Vec<LeaseAction> {
        match self.held_until.take_if(|held_until| *held_until <= now) {
            Some(_) => vec![LeaseAction::Lost],
            None => Vec::new(),
        }
    }

    fn request_lease(&mut self, now: Timestamp, panel: &[InstanceName]) -> Vec<LeaseAction> {
        self.round += 1;
        let granted = BTreeSet::new();
        self.attempt = Some(LeaseAttempt { began: now, panel: panel.to_vec(), granted });
        let request = LeaseRequest {
            group: self.group.clone(),
            claimant: self.claimant.clone(),
            round: self.round,
        };
        let ask = |to: &InstanceName| LeaseAction::Ask { to: to.clone(), request: request.clone() };
        panel.iter().map(ask).collect()
    }
}
