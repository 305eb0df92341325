//! Which records change what is known of a member.
//!
//! A record with a higher epoch takes precedence. At equal epochs the incarnation known
//! first stays, so a restarted process raises its epoch above that of its
//! predecessor. Within one epoch and incarnation, dead overrides suspect and
//! suspect overrides alive, so only the member itself can refute, with a higher epoch.

use rand::Rng;

use super::Member;
use super::Membership;
use super::MembershipAction;
use super::core::JoinPhase;
use super::limits::DEAD_MEMBER_RETENTION;
use super::limits::SUSPICION_TIMEOUT;
use super::limits::UNLISTED_MEMBER_RETENTION;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::GossipKind;
use crate::wire::gossip::GossipUpdate;
use crate::wire::gossip::MemberRecord;
use crate::wire::gossip::MemberStatus;

/// Largest random step by which an epoch is raised above that of another process with the same
/// name, so that the two don't stay level.
const MAX_EPOCH_STEP: u64 = 4;

impl Membership {
    /// Records the time of an event; after a pause, drops every status and starts to rejoin.
    pub(super) fn detect_pause(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let paused = self.is_paused(now);
        self.last_event = self.last_event.max(now);
        if !paused || self.phase == JoinPhase::Superseded {
            return Vec::new();
        }
        self.probes.clear();
        self.name_conflict = None;
        self.last_call_before_pause = self.last_call;
        self.phase = JoinPhase::Rejoining;
        self.phase_since = now;
        self.next_probe = now;
        for member in self.members.values_mut() {
            member.set_status(now, None);
            member.join_asked_at = None;
            member.join_answered = false;
            member.unreachable = false;
        }
        vec![MembershipAction::PauseDetected]
    }

    /// Applies a member's report of its own state, received directly.
    pub(super) fn apply_own_report(
        &mut self,
        now: Timestamp,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.name == self.me.name {
            self.on_name_conflict(record, actions);
            return;
        }
        let known = self.members.entry(record.name.clone());
        let member = known.or_insert_with(|| Member::from_record(now, record));
        let same = member.incarnation == Some(record.inc) && member.epoch == record.epoch;
        let newer = member.incarnation.is_none() || record.epoch > member.epoch;
        let refutable = matches!(member.status, None | Some(MemberStatus::Alive));
        let is_current = newer || (same && refutable);
        if !is_current {
            return;
        }
        let returned = !member.is_responding();
        if member.incarnation != Some(record.inc) {
            member.leaving = false;
            member.config = None;
        }
        member.incarnation = Some(record.inc);
        member.epoch = record.epoch;
        member.peer_addr = record.addr;
        member.data_centre = record.dc.clone();
        member.leaving |= record.draining;
        member.config = member.config.max(record.config);
        member.config_service_reachable = record.reads;
        member.last_heard = Some(now);
        member.unreachable = false;
        member.set_status(now, Some(MemberStatus::Alive));
        let (peer, config) = (member.name.clone(), member.config);
        actions.push(MembershipAction::PeerConfig { peer, config });
        if returned {
            self.queue.push_member(now, record.clone());
        }
    }

    /// Applies the updates that a message carried and queues those that are new.
    pub(super) fn apply_updates(
        &mut self,
        now: Timestamp,
        updates: Vec<GossipUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for update in updates {
            match update {
                GossipUpdate::Member(record) => self.apply_member_record(now, &record, actions),
                GossipUpdate::Backend { leaving, age_s } => {
                    if self.queue.push_backend(now, leaving.clone(), age_s) {
                        self.push_due = true;
                        actions.push(MembershipAction::LeavingBackend(leaving));
                    }
                }
                GossipUpdate::Topic { news, age_s } => {
                    if self.queue.push_topic(now, news.clone(), age_s) {
                        self.push_due = true;
                        actions.push(MembershipAction::Topic(news));
                    }
                }
            }
        }
    }

    /// This instance's record of a sender, for it to refute, if it differs from the sender's own
    /// report.
    pub(super) fn record_to_refute(&self, from: &MemberRecord) -> Vec<GossipUpdate> {
        let Some(member) = self.members.get(&from.name) else { return Vec::new() };
        let agrees = member.incarnation == Some(from.inc)
            && member.epoch == from.epoch
            && member.status == Some(MemberStatus::Alive);
        let known = if agrees { None } else { member.record() };
        known.map(GossipUpdate::Member).into_iter().collect()
    }

    /// Handles the result of an indirect probe: another member reached the target.
    pub(super) fn on_reached(&mut self, now: Timestamp, target: &InstanceName, inc: Incarnation) {
        if !self.probes.on_reached_by_other(target) {
            return;
        }
        let Some(member) = self.members.get_mut(target) else { return };
        if member.incarnation == Some(inc) && member.is_responding() {
            member.last_heard = Some(now);
        }
    }

    /// Suspects the members that nobody reached before the probe timed out.
    pub(super) fn suspect_unreached(&mut self, now: Timestamp) {
        for target in self.probes.take_unreached(now) {
            let Some(member) = self.members.get_mut(&target) else { continue };
            match member.status {
                Some(MemberStatus::Alive) => {
                    member.set_status(now, Some(MemberStatus::Suspect));
                    if let Some(record) = member.record() {
                        self.queue.push_member(now, record);
                    }
                }
                None => member.unreachable = true,
                Some(MemberStatus::Suspect | MemberStatus::Dead) => {}
            }
        }
    }

    /// Declares the members dead that didn't refute a suspicion in time.
    pub(super) fn declare_dead(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        for member in self.members.values_mut() {
            let suspected = member.status == Some(MemberStatus::Suspect);
            if !suspected || now.since(member.status_since) < SUSPICION_TIMEOUT {
                continue;
            }
            member.set_status(now, Some(MemberStatus::Dead));
            actions.push(MembershipAction::PeerGone { peer: member.name.clone() });
            if let Some(record) = member.record() {
                self.queue.push_member(now, record);
            }
        }
    }

    /// Forgets unlisted members after their retention time, and expired updates.
    pub(super) fn forget_stale(&mut self, now: Timestamp) {
        self.members.retain(|_, member| {
            let last_sign =
                member.last_heard.unwrap_or(member.last_listed).max(member.status_since);
            let long_dead =
                !member.is_responding() && now.since(last_sign) >= DEAD_MEMBER_RETENTION;
            let long_unlisted = now.since(member.last_listed) >= UNLISTED_MEMBER_RETENTION;
            member.listed || !(long_dead || long_unlisted)
        });
        self.queue.expire(now, self.members.len());
    }

    fn apply_member_record(
        &mut self,
        now: Timestamp,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.name == self.me.name {
            self.on_record_of_own_name(record, actions);
            return;
        }
        let Some(member) = self.members.get_mut(&record.name) else {
            // The record of an unknown member is a reason to probe it, not to count it as alive.
            if record.status != MemberStatus::Dead {
                self.members.insert(record.name.clone(), Member::from_record(now, record));
            }
            return;
        };
        let same = member.incarnation == Some(record.inc) && member.epoch == record.epoch;
        if same {
            member.leaving |= record.draining;
            if member.status.is_some() && Some(record.status) > member.status {
                member.set_status(now, Some(record.status));
                self.queue.push_member(now, record.clone());
                if record.status == MemberStatus::Dead {
                    actions.push(MembershipAction::PeerGone { peer: record.name.clone() });
                }
            }
            return;
        }
        if member.incarnation.is_some() && record.epoch <= member.epoch {
            return;
        }
        let refuted = member.incarnation == Some(record.inc)
            && member.status.is_some()
            && record.status == MemberStatus::Alive;
        if member.incarnation != Some(record.inc) {
            member.leaving = false;
            member.config = None;
        }
        member.incarnation = Some(record.inc);
        member.epoch = record.epoch;
        member.peer_addr = record.addr;
        member.leaving |= record.draining;
        member.unreachable = false;
        let status = match record.status {
            MemberStatus::Alive => refuted.then_some(MemberStatus::Alive),
            MemberStatus::Suspect | MemberStatus::Dead => Some(record.status),
        };
        member.set_status(now, status);
        self.queue.push_member(now, record.clone());
    }

    /// Handles a record under this instance's own name that came through another member.
    fn on_record_of_own_name(
        &mut self,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_own_process = record.inc == self.me.inc;
        if is_own_process && record.status == MemberStatus::Alive {
            self.me.epoch = self.me.epoch.max(record.epoch);
            return;
        }
        if record.epoch < self.me.epoch {
            return;
        }
        // The record may be of a process that ended long ago. One at this instance's own address
        // has ended; an instance that is still joining assumes so too.
        let has_ended = self.phase == JoinPhase::Joining || record.addr == self.me.addr;
        if is_own_process || has_ended {
            self.raise_epoch_above(record);
        } else if self.name_conflict.is_none() {
            self.probe_conflicting(record, actions);
        }
    }

    /// Handles a report from another process that runs under this instance's name.
    fn on_name_conflict(&mut self, record: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        if record.inc == self.me.inc || record.epoch < self.me.epoch {
            return;
        }
        if self.phase == JoinPhase::Joining || record.epoch == self.me.epoch {
            self.raise_epoch_above(record);
            return;
        }
        self.phase = JoinPhase::Superseded;
        actions.push(MembershipAction::Superseded);
    }

    /// Probes the process that peers know under this instance's name.
    fn probe_conflicting(&mut self, record: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        self.last_call += 1;
        self.name_conflict = Some((self.last_call, record.clone()));
        actions.push(MembershipAction::Send {
            to: record.name.clone(),
            addr: record.addr,
            call: self.last_call,
            message: Gossip {
                from: self.me.clone(),
                kind: GossipKind::Probe,
                digest: self.queue.digest(),
                news: Vec::new(),
            },
        });
    }

    /// Raises the epoch above that of the process which was probed and didn't answer.
    pub(super) fn on_conflict_probe_failed(&mut self, call: u64) {
        if let Some((_, record)) = self.name_conflict.take_if(|(asked, _)| *asked == call) {
            self.raise_epoch_above(&record);
        }
    }

    /// Raises this instance's epoch above that of a record under its name.
    fn raise_epoch_above(&mut self, record: &MemberRecord) {
        // Steps of equal size would keep two processes with the same name level.
        let is_own_process = record.inc == self.me.inc;
        let step = if is_own_process { 1 } else { self.rng.random_range(1..=MAX_EPOCH_STEP) };
        self.me.epoch = self.me.epoch.max(record.epoch + step);
        self.push_due = true;
    }
}
