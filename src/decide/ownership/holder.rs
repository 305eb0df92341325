//! The lease of one group, as its claimant sees it.

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

/// One attempt to get or renew the lease.
#[derive(Clone, Debug)]
struct Attempt {
    /// Taken before the first request was sent: the lease is counted from here.
    began: Timestamp,
    panel: Vec<InstanceName>,
    granted: BTreeSet<InstanceName>,
}

/// The lease of one group, as its claimant sees it.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    group: GroupId,
    claimant: Claimant,
    timing: LeaseTiming,
    round: u64,
    attempt: Option<Attempt>,
    until: Option<Timestamp>,
    fenced: Option<Timestamp>,
    yield_until: Timestamp,
}

impl LeaseHolder {
    /// A claimant that holds nothing.
    pub fn new(group: GroupId, claimant: Claimant, timing: LeaseTiming) -> Self {
        Self {
            group,
            claimant,
            timing,
            round: 0,
            attempt: None,
            until: None,
            fenced: None,
            yield_until: Timestamp::ZERO,
        }
    }

    /// Whether an order or dispatch may be sent at `now`, a time read just before the send.
    ///
    /// # Errors
    ///
    /// `NotOwner` if the lease could run out before the message arrives.
    pub fn may_act(&self, now: Timestamp) -> Result<()> {
        match self.until {
            Some(until) if now + self.timing.max_message_delay < until => Ok(()),
            _ => Err(Error::new(
                ErrorKind::NotOwner,
                format!("instance {} has no lease of group {}", self.claimant.name, self.group),
            )),
        }
    }

    /// Renews or gives up the lease; `wanted` says whether this instance is the preferred owner.
    pub fn on_tick(
        &mut self,
        now: Timestamp,
        wanted: bool,
        panel: &[InstanceName],
    ) -> Vec<LeaseAction> {
        let mut actions = self.expire(now);
        if !wanted {
            actions.extend(self.release(panel));
            return actions;
        }
        let renewal = self.timing.renewal();
        let due = self.attempt.as_ref().is_none_or(|attempt| now.since(attempt.began) >= renewal);
        if due && now >= self.yield_until {
            actions.extend(self.ask(now, panel));
        }
        actions
    }

    /// Takes the answer of one panel member.
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
        let until = attempt.began + self.timing.holder_term();
        if attempt.granted.len() < majority(attempt.panel.len()) || until <= now {
            return actions;
        }
        if self.until.is_none() {
            actions.push(LeaseAction::Acquired);
        }
        self.until = Some(until);
        actions
    }

    /// An engine refused this instance's fencing number: another instance took it over.
    ///
    /// A late fencing order of an earlier owner is answered by a new takeover. At the
    /// second time within a term another instance holds a lease too: this one
    /// yields, so that they don't fence each other in turn.
    pub fn on_fenced(&mut self, now: Timestamp, panel: &[InstanceName]) -> Vec<LeaseAction> {
        let term = self.timing.term;
        let again = self.fenced.replace(now).is_some_and(|fenced| now.since(fenced) < term);
        if again {
            self.yield_until = now + term;
            return self.release(panel);
        }
        match self.until {
            Some(_) => vec![LeaseAction::Acquired],
            None => Vec::new(),
        }
    }

    /// Gives the lease up: nothing more is sent to the group's engines.
    pub fn release(&mut self, panel: &[InstanceName]) -> Vec<LeaseAction> {
        let Some(attempt) = self.attempt.take() else { return Vec::new() };
        let mut actions = Vec::new();
        if self.until.take().is_some() {
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
        match self.until.take_if(|until| *until <= now) {
            Some(_) => vec![LeaseAction::Lost],
            None => Vec::new(),
        }
    }

    fn ask(&mut self, now: Timestamp, panel: &[InstanceName]) -> Vec<LeaseAction> {
        self.round += 1;
        let granted = BTreeSet::new();
        self.attempt = Some(Attempt { began: now, panel: panel.to_vec(), granted });
        let request = LeaseRequest {
            group: self.group.clone(),
            claimant: self.claimant.clone(),
            round: self.round,
        };
        let ask = |to: &InstanceName| LeaseAction::Ask { to: to.clone(), request: request.clone() };
        panel.iter().map(ask).collect()
    }
}
