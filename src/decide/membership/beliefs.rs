//! What is believed of the members, and by which news it changes.
//!
//! News counts by epoch first. Of equal epochs the incarnation known first
//! counts, so a restarted process raises its epoch above that of the one before
//! it. Within one epoch and incarnation, dead counts above suspect and suspect
//! above alive, so only the member itself can refute, with a higher epoch.

use rand::Rng;

use super::Member;
use super::Membership;
use super::MembershipAction;
use super::core::Phase;
use super::limits::DEAD_KEEP;
use super::limits::SUSPICION;
use super::limits::UNLISTED_KEEP;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::GossipKind;
use crate::wire::gossip::GossipUpdate;
use crate::wire::gossip::MemberRecord;
use crate::wire::gossip::MemberStatus;

/// Widest random step of an epoch, so that two processes of one name part ways.
const MAX_EPOCH_STEP: u64 = 4;

impl Membership {
    /// Notes the time; after a pause everything known counts as outdated.
    pub(super) fn observe(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let paused = self.is_paused(now);
        self.last_event = self.last_event.max(now);
        if !paused || self.phase == Phase::Superseded {
            return Vec::new();
        }
        self.probes.clear();
        self.name_conflict = None;
        self.calls_before_pause = self.serial;
        self.phase = Phase::Rejoining;
        self.phase_since = now;
        self.next_probe = now;
        for member in self.members.values_mut() {
            member.set_status(now, None);
            member.asked = None;
            member.answered = false;
            member.unreachable = false;
        }
        vec![MembershipAction::PauseDetected]
    }

    /// Takes what a member says of itself.
    pub(super) fn take_direct(
        &mut self,
        now: Timestamp,
        news: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if news.name == self.me.name {
            self.on_name_conflict(news, actions);
            return;
        }
        let known = self.members.entry(news.name.clone());
        let member = known.or_insert_with(|| Member::from_news(now, news));
        let same = member.incarnation == Some(news.inc) && member.epoch == news.epoch;
        let newer = member.incarnation.is_none() || news.epoch > member.epoch;
        let refutable = matches!(member.status, None | Some(MemberStatus::Alive));
        let believed = newer || (same && refutable);
        if !believed {
            return;
        }
        let returned = !member.is_alive();
        if member.incarnation != Some(news.inc) {
            member.leaving = false;
            member.config = None;
        }
        member.incarnation = Some(news.inc);
        member.epoch = news.epoch;
        member.peer_addr = news.addr;
        member.data_centre = news.dc.clone();
        member.leaving |= news.draining;
        member.config = member.config.max(news.config);
        member.reads = news.reads;
        member.heard = Some(now);
        member.unreachable = false;
        member.set_status(now, Some(MemberStatus::Alive));
        let (peer, config) = (member.name.clone(), member.config);
        actions.push(MembershipAction::PeerConfig { peer, config });
        if returned {
            self.queue.push_member(now, news.clone());
        }
    }

    /// Takes news that came by others.
    pub(super) fn take_news(
        &mut self,
        now: Timestamp,
        news: Vec<GossipUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for item in news {
            match item {
                GossipUpdate::Member(news) => self.take_member(now, &news, actions),
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

    /// What is believed of a sender, if it must refute that.
    pub(super) fn correction(&self, from: &MemberRecord) -> Vec<GossipUpdate> {
        let Some(member) = self.members.get(&from.name) else { return Vec::new() };
        let agrees = member.incarnation == Some(from.inc)
            && member.epoch == from.epoch
            && member.status == Some(MemberStatus::Alive);
        let known = if agrees { None } else { member.news() };
        known.map(GossipUpdate::Member).into_iter().collect()
    }

    /// Takes word that another member reached the target.
    pub(super) fn on_reached(&mut self, now: Timestamp, target: &InstanceName, inc: Incarnation) {
        if !self.probes.reached(target) {
            return;
        }
        let Some(member) = self.members.get_mut(target) else { return };
        if member.incarnation == Some(inc) && member.is_alive() {
            member.heard = Some(now);
        }
    }

    /// Suspects the members that nobody reached in time.
    pub(super) fn suspect_silent(&mut self, now: Timestamp) {
        for target in self.probes.take_lost(now) {
            let Some(member) = self.members.get_mut(&target) else { continue };
            match member.status {
                Some(MemberStatus::Alive) => {
                    member.set_status(now, Some(MemberStatus::Suspect));
                    if let Some(news) = member.news() {
                        self.queue.push_member(now, news);
                    }
                }
                None => member.unreachable = true,
                Some(MemberStatus::Suspect | MemberStatus::Dead) => {}
            }
        }
    }

    /// Gives up the members that didn't refute a suspicion in time.
    pub(super) fn expire_suspects(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        for member in self.members.values_mut() {
            let suspected = member.status == Some(MemberStatus::Suspect);
            if !suspected || now.since(member.since) < SUSPICION {
                continue;
            }
            member.set_status(now, Some(MemberStatus::Dead));
            actions.push(MembershipAction::PeerGone { peer: member.name.clone() });
            if let Some(news) = member.news() {
                self.queue.push_member(now, news);
            }
        }
    }

    /// Forgets members that are neither listed nor of use any more.
    pub(super) fn forget_old(&mut self, now: Timestamp) {
        self.members.retain(|_, member| {
            let quiet = member.heard.unwrap_or(member.last_listed).max(member.since);
            let dead = !member.is_alive() && now.since(quiet) >= DEAD_KEEP;
            let forgotten = now.since(member.last_listed) >= UNLISTED_KEEP;
            member.listed || !(dead || forgotten)
        });
        self.queue.expire(now, self.members.len());
    }

    fn take_member(
        &mut self,
        now: Timestamp,
        news: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if news.name == self.me.name {
            self.on_own_name(news, actions);
            return;
        }
        let Some(member) = self.members.get_mut(&news.name) else {
            // Word of a member is a reason to probe it, not to believe in it.
            if news.status != MemberStatus::Dead {
                self.members.insert(news.name.clone(), Member::from_news(now, news));
            }
            return;
        };
        let same = member.incarnation == Some(news.inc) && member.epoch == news.epoch;
        if same {
            member.leaving |= news.draining;
            if member.status.is_some() && Some(news.status) > member.status {
                member.set_status(now, Some(news.status));
                self.queue.push_member(now, news.clone());
                if news.status == MemberStatus::Dead {
                    actions.push(MembershipAction::PeerGone { peer: news.name.clone() });
                }
            }
            return;
        }
        if member.incarnation.is_some() && news.epoch <= member.epoch {
            return;
        }
        let refuted = member.incarnation == Some(news.inc)
            && member.status.is_some()
            && news.status == MemberStatus::Alive;
        if member.incarnation != Some(news.inc) {
            member.leaving = false;
            member.config = None;
        }
        member.incarnation = Some(news.inc);
        member.epoch = news.epoch;
        member.peer_addr = news.addr;
        member.leaving |= news.draining;
        member.unreachable = false;
        let status = match news.status {
            MemberStatus::Alive => refuted.then_some(MemberStatus::Alive),
            MemberStatus::Suspect | MemberStatus::Dead => Some(news.status),
        };
        member.set_status(now, status);
        self.queue.push_member(now, news.clone());
    }

    /// Takes word of this instance's own name.
    fn on_own_name(&mut self, news: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        let mine = news.inc == self.me.inc;
        if mine && news.status == MemberStatus::Alive {
            self.me.epoch = self.me.epoch.max(news.epoch);
            return;
        }
        if news.epoch < self.me.epoch {
            return;
        }
        // Word may be about a process that is long gone; one at this instance's own address is.
        let gone = self.phase == Phase::Joining || news.addr == self.me.addr;
        if mine || gone {
            self.outrank(news);
        } else if self.name_conflict.is_none() {
            self.ask_conflicting(news, actions);
        }
    }

    /// Takes what another process of this instance's name says itself.
    fn on_name_conflict(&mut self, news: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        if news.inc == self.me.inc || news.epoch < self.me.epoch {
            return;
        }
        if self.phase == Phase::Joining || news.epoch == self.me.epoch {
            self.outrank(news);
            return;
        }
        self.phase = Phase::Superseded;
        actions.push(MembershipAction::Superseded);
    }

    /// Asks the process that others know under this instance's name.
    fn ask_conflicting(&mut self, news: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        self.serial += 1;
        self.name_conflict = Some((self.serial, news.clone()));
        actions.push(MembershipAction::Send {
            to: news.name.clone(),
            addr: news.addr,
            call: self.serial,
            message: Gossip {
                from: self.me.clone(),
                kind: GossipKind::Probe,
                digest: self.queue.digest(),
                news: Vec::new(),
            },
        });
    }

    /// Takes the silence of the process that was asked.
    pub(super) fn on_conflict_silent(&mut self, call: u64) {
        if let Some((_, news)) = self.name_conflict.take_if(|(asked, _)| *asked == call) {
            self.outrank(&news);
        }
    }

    /// Raises this instance's epoch above that of other news of its name.
    fn outrank(&mut self, news: &MemberRecord) {
        // Steps of equal width would keep two processes of one name level.
        let mine = news.inc == self.me.inc;
        let step = if mine { 1 } else { self.rng.random_range(1..=MAX_EPOCH_STEP) };
        self.me.epoch = self.me.epoch.max(news.epoch + step);
        self.push_due = true;
    }
}
