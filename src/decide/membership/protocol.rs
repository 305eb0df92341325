//! Outgoing messages: which members get a join, probe or push message, and when.

use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use super::Member;
use super::Membership;
use super::MembershipAction;
use super::core::JoinPhase;
use super::limits::INDIRECT_PROBES;
use super::limits::JOIN_FANOUT;
use super::limits::JOIN_RETRY;
use super::limits::JOIN_WAIT;
use super::limits::LISTING_WAIT;
use super::limits::MAX_JOIN_REPLY_BYTES;
use super::limits::MAX_PULL_REPLY_BYTES;
use super::limits::MAX_QUEUED_UPDATES;
use super::limits::PROBE_INTERVAL;
use super::limits::PUSH_FANOUT;
use super::limits::RECONNECT_INTERVAL;
use super::limits::REJOIN_WAIT;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::GossipKind;
use crate::wire::gossip::GossipUpdate;
use crate::wire::gossip::MemberStatus;

impl Membership {
    /// Sends join messages after a start or a pause, until all peers answered or a deadline passed.
    pub(super) fn send_joins(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if self.phase == JoinPhase::Joined {
            return;
        }
        let unanswered = |member: &&Member| !member.join_answered;
        let due =
            |member: &&Member| member.join_asked_at.is_none_or(|at| now.since(at) >= JOIN_RETRY);
        let targets: Vec<InstanceName> = self
            .members
            .values()
            .filter(unanswered)
            .filter(due)
            .take(JOIN_FANOUT)
            .map(|member| member.name.clone())
            .collect();
        for target in targets {
            if let Some(member) = self.members.get_mut(&target) {
                member.join_asked_at = Some(now);
            }
            self.probe(now, &target, GossipKind::Join, actions);
        }
        let all_answered = self.members.values().all(|member| member.join_answered);
        if (self.first_listing.is_some() && all_answered) || now >= self.join_deadline() {
            self.phase = JoinPhase::Joined;
        }
    }

    /// Probes the next member of the shuffled round.
    pub(super) fn probe_next(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        if self.probe_round.is_empty() {
            let names = self.members.values().filter(|member| !member.is_unresponsive());
            self.probe_round = names.map(|member| member.name.clone()).collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        while let Some(target) = self.probe_round.pop() {
            let known = self.members.get(&target).is_some_and(|member| !member.is_unresponsive());
            if known && !self.probes.is_probing(&target) {
                self.probe(now, &target, GossipKind::Probe, actions);
                return;
            }
        }
    }

    /// Probes one random unresponsive member, so that a healed partition is noticed.
    pub(super) fn probe_unresponsive(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_reconnect {
            return;
        }
        self.next_reconnect = now + RECONNECT_INTERVAL;
        let unresponsive = self.members.values().filter(|member| member.is_unresponsive());
        let target = unresponsive.map(|member| member.name.clone()).choose(&mut self.rng);
        if let Some(target) = target {
            self.probe(now, &target, GossipKind::Probe, actions);
        }
    }

    /// Asks other members to probe those whose direct probe failed or timed out.
    pub(super) fn request_indirect_probes(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        for target in self.probes.take_overdue(now) {
            let alive = self.members.get(&target).is_some_and(Member::is_responding);
            if !alive {
                continue;
            }
            for relay in self.pick_responding(INDIRECT_PROBES, &target) {
                let kind = GossipKind::ProbeFor { target: target.clone() };
                self.send(now, &relay, kind, actions);
            }
        }
    }

    /// Pushes urgent updates to a few random members, as far as the push budget allows.
    pub(super) fn push_updates(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if !self.push_due {
            return;
        }
        let wanted = PUSH_FANOUT.min(self.members.len());
        let allowed = self.push_budget.take(now, wanted);
        if allowed == 0 && wanted > 0 {
            return;
        }
        self.push_due = false;
        let me = self.me.name.clone();
        for target in self.pick_responding(allowed, &me) {
            self.send(now, &target, GossipKind::Push, actions);
        }
    }

    /// Probes `target` on behalf of `origin`.
    pub(super) fn probe_on_behalf(
        &mut self,
        now: Timestamp,
        origin: InstanceName,
        target: InstanceName,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(call) = self.send(now, &target, GossipKind::Probe, actions) {
            self.probes.record_relayed(call, target, origin);
        }
    }

    /// Sends a message with the updates that are due; returns its call number, or `None` if `to` is
    /// unknown. A suspect or dead member is sent its own record, so that it can refute.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        to: &InstanceName,
        kind: GossipKind,
        actions: &mut Vec<MembershipAction>,
    ) -> Option<u64> {
        let member = self.members.get(to)?;
        let addr = member.peer_addr;
        let is_doubted = matches!(member.status, Some(MemberStatus::Suspect | MemberStatus::Dead));
        let correction = if is_doubted { member.record() } else { None };
        let mut news: Vec<GossipUpdate> =
            correction.map(GossipUpdate::Member).into_iter().collect();
        if kind != GossipKind::Join {
            news.extend(self.queue.take_due(now, self.members.len()));
        }
        self.last_call += 1;
        let call = self.last_call;
        let message = Gossip { from: self.me.clone(), kind, digest: self.queue.digest(), news };
        actions.push(MembershipAction::Send { to: to.clone(), addr, call, message });
        Some(call)
    }

    /// The updates for a reply: retained ones if the sender joins or its digest differs, else those
    /// that are due.
    pub(super) fn updates_for_reply(
        &mut self,
        now: Timestamp,
        joining: bool,
        digest: u64,
    ) -> Vec<GossipUpdate> {
        let differs = digest != self.queue.digest();
        if joining {
            return self.queue.retained(now, MAX_JOIN_REPLY_BYTES, 0);
        }
        if differs {
            let start = self.rng.random_range(0..MAX_QUEUED_UPDATES);
            return self.queue.retained(now, MAX_PULL_REPLY_BYTES, start);
        }
        self.queue.take_due(now, self.members.len())
    }

    fn probe(
        &mut self,
        now: Timestamp,
        to: &InstanceName,
        kind: GossipKind,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(call) = self.send(now, to, kind, actions) {
            self.probes.record_sent(now, to, call);
        }
    }

    fn pick_responding(&mut self, count: usize, excluded: &InstanceName) -> Vec<InstanceName> {
        let alive = self
            .members
            .values()
            .filter(|member| member.is_responding() && &member.name != excluded);
        alive.map(|member| member.name.clone()).choose_multiple(&mut self.rng, count)
    }

    fn join_deadline(&self) -> Timestamp {
        match (self.phase, self.first_listing) {
            (JoinPhase::Rejoining, Some(_)) => self.phase_since + REJOIN_WAIT,
            (_, Some(since)) => since.max(self.phase_since) + JOIN_WAIT,
            (_, None) => self.phase_since + LISTING_WAIT,
        }
    }
}
