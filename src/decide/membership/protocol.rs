//! Whom an instance asks, and when.

use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use super::Member;
use super::Membership;
use super::MembershipAction;
use super::core::Phase;
use super::limits::INDIRECT_PROBES;
use super::limits::JOIN_FANOUT;
use super::limits::JOIN_RETRY;
use super::limits::JOIN_WAIT;
use super::limits::LISTING_WAIT;
use super::limits::MAX_JOIN_BYTES;
use super::limits::MAX_PULL_BYTES;
use super::limits::MAX_QUEUED;
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
    /// Asks every peer once after a start or a pause, and ends the phase when all answered.
    pub(super) fn ask_peers(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if self.phase == Phase::Joined {
            return;
        }
        let open = |member: &&Member| !member.answered;
        let due = |member: &&Member| member.asked.is_none_or(|at| now.since(at) >= JOIN_RETRY);
        let targets: Vec<InstanceName> = self
            .members
            .values()
            .filter(open)
            .filter(due)
            .take(JOIN_FANOUT)
            .map(|member| member.name.clone())
            .collect();
        for target in targets {
            if let Some(member) = self.members.get_mut(&target) {
                member.asked = Some(now);
            }
            self.probe(now, &target, GossipKind::Join, actions);
        }
        let all_answered = self.members.values().all(|member| member.answered);
        if (self.listing_since.is_some() && all_answered) || now >= self.join_deadline() {
            self.phase = Phase::Joined;
        }
    }

    /// Probes the next member of the round.
    pub(super) fn probe_next(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        if self.round.is_empty() {
            let names = self.members.values().filter(|member| !member.is_lost());
            self.round = names.map(|member| member.name.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        while let Some(target) = self.round.pop() {
            let known = self.members.get(&target).is_some_and(|member| !member.is_lost());
            if known && !self.probes.waits_for(&target) {
                self.probe(now, &target, GossipKind::Probe, actions);
                return;
            }
        }
    }

    /// Probes one of the members that don't answer, so that a healed partition is noticed.
    pub(super) fn probe_lost(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if now < self.next_reconnect {
            return;
        }
        self.next_reconnect = now + RECONNECT_INTERVAL;
        let lost = self.members.values().filter(|member| member.is_lost());
        let target = lost.map(|member| member.name.clone()).choose(&mut self.rng);
        if let Some(target) = target {
            self.probe(now, &target, GossipKind::Probe, actions);
        }
    }

    /// Asks others to probe the members that are silent.
    pub(super) fn probe_indirectly(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        for target in self.probes.take_silent(now) {
            let alive = self.members.get(&target).is_some_and(Member::is_alive);
            if !alive {
                continue;
            }
            for relay in self.pick_alive(INDIRECT_PROBES, &target) {
                let kind = GossipKind::ProbeFor { target: target.clone() };
                self.send(now, &relay, kind, actions);
            }
        }
    }

    /// Pushes urgent news to a few members, as far as the budget allows.
    pub(super) fn push_news(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if !self.push_due {
            return;
        }
        let wanted = PUSH_FANOUT.min(self.members.len());
        let allowed = self.push.take(now, wanted);
        if allowed == 0 && wanted > 0 {
            return;
        }
        self.push_due = false;
        let me = self.me.name.clone();
        for target in self.pick_alive(allowed, &me) {
            self.send(now, &target, GossipKind::Push, actions);
        }
    }

    /// Probes a member for another one.
    pub(super) fn probe_for(
        &mut self,
        now: Timestamp,
        origin: InstanceName,
        target: InstanceName,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(call) = self.send(now, &target, GossipKind::Probe, actions) {
            self.probes.relay(call, target, origin);
        }
    }

    /// Sends one message to a known member; returns the number of the call.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        to: &InstanceName,
        kind: GossipKind,
        actions: &mut Vec<MembershipAction>,
    ) -> Option<u64> {
        let member = self.members.get(to)?;
        let addr = member.peer_addr;
        let doubted = matches!(member.status, Some(MemberStatus::Suspect | MemberStatus::Dead));
        let told = if doubted { member.news() } else { None };
        let mut news: Vec<GossipUpdate> = told.map(GossipUpdate::Member).into_iter().collect();
        if kind != GossipKind::Join {
            news.extend(self.queue.take(now, self.members.len()));
        }
        self.serial += 1;
        let call = self.serial;
        let message = Gossip { from: self.me.clone(), kind, digest: self.queue.digest(), news };
        actions.push(MembershipAction::Send { to: to.clone(), addr, call, message });
        Some(call)
    }

    /// The news for an answer: what the sender misses, else what is due.
    pub(super) fn news_for(
        &mut self,
        now: Timestamp,
        joining: bool,
        digest: u64,
    ) -> Vec<GossipUpdate> {
        let differs = digest != self.queue.digest();
        if joining {
            return self.queue.lasting(now, MAX_JOIN_BYTES, 0);
        }
        if differs {
            let start = self.rng.random_range(0..MAX_QUEUED);
            return self.queue.lasting(now, MAX_PULL_BYTES, start);
        }
        self.queue.take(now, self.members.len())
    }

    fn probe(
        &mut self,
        now: Timestamp,
        to: &InstanceName,
        kind: GossipKind,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(call) = self.send(now, to, kind, actions) {
            self.probes.sent(now, to, call);
        }
    }

    fn pick_alive(&mut self, count: usize, but: &InstanceName) -> Vec<InstanceName> {
        let alive = self.members.values().filter(|member| member.is_alive() && &member.name != but);
        alive.map(|member| member.name.clone()).choose_multiple(&mut self.rng, count)
    }

    fn join_deadline(&self) -> Timestamp {
        match (self.phase, self.listing_since) {
            (Phase::Rejoining, Some(_)) => self.phase_since + REJOIN_WAIT,
            (_, Some(since)) => since.max(self.phase_since) + JOIN_WAIT,
            (_, None) => self.phase_since + LISTING_WAIT,
        }
    }
}
