//! The members that one instance knows of, and its part of the protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Member;
use super::MembershipAction;
use super::limits::PAUSE_LIMIT;
use super::limits::SWEEP_INTERVAL;
use super::news_queue::NewsQueue;
use super::probes::Probes;
use super::push_budget::PushBudget;
use crate::names::DataCentre;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::gossip::ConfigId;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::GossipKind;
use crate::wire::gossip::GossipReply;
use crate::wire::gossip::LeavingBackend;
use crate::wire::gossip::MemberRecord;
use crate::wire::gossip::MemberStatus;
use crate::wire::gossip::TopicNews;
use crate::wire::listing::ListedEntry;
use crate::wire::listing::ListedState;

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub name: InstanceName,
    /// Address of its listener for peers.
    pub peer_addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// How far this instance has come in asking its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Started; an earlier incarnation may be known under its name.
    Joining,
    /// Was paused; another incarnation may have taken its name.
    Rejoining,
    /// Has asked its peers.
    Joined,
    /// Another process has its name.
    Superseded,
}

/// The entry instances that one instance knows of, itself left out.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: MemberRecord,
    pub(super) members: BTreeMap<InstanceName, Member>,
    pub(super) queue: NewsQueue,
    pub(super) push: PushBudget,
    pub(super) push_due: bool,
    pub(super) probes: Probes,
    pub(super) round: Vec<InstanceName>,
    pub(super) next_probe: Timestamp,
    pub(super) next_reconnect: Timestamp,
    pub(super) next_sweep: Timestamp,
    /// Call to the process that others know under this instance's name, and their news.
    pub(super) name_conflict: Option<(u64, MemberRecord)>,
    pub(super) phase: Phase,
    pub(super) phase_since: Timestamp,
    pub(super) listing_since: Option<Timestamp>,
    pub(super) last_event: Timestamp,
    pub(super) serial: u64,
    /// Number of the last call before the last pause; its answer and earlier ones are outdated.
    pub(super) calls_before_pause: u64,
    pub(super) rng: ChaCha8Rng,
}

impl Membership {
    /// A new instance that knows of nobody.
    pub fn new(now: Timestamp, identity: Identity, seed: u64) -> Self {
        let me = MemberRecord {
            name: identity.name,
            addr: identity.peer_addr,
            dc: identity.data_centre,
            inc: identity.incarnation,
            epoch: 0,
            status: MemberStatus::Alive,
            draining: false,
            config: None,
            reads: true,
        };
        Self {
            me,
            members: BTreeMap::new(),
            queue: NewsQueue::default(),
            push: PushBudget::new(now),
            push_due: false,
            probes: Probes::default(),
            round: Vec::new(),
            next_probe: now,
            next_reconnect: now,
            next_sweep: now,
            name_conflict: None,
            phase: Phase::Joining,
            phase_since: now,
            listing_since: None,
            last_event: now,
            serial: 0,
            calls_before_pause: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// This instance as others see it.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Whether the peers were asked since the start or the last pause.
    pub fn is_joined(&self) -> bool {
        self.phase == Phase::Joined
    }

    /// Whether another process has this instance's name.
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Superseded
    }

    /// Whether this process was paused and hasn't noticed until `now`.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now.since(self.last_event) >= PAUSE_LIMIT
    }

    /// Every known instance.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One instance by name.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Instances that answer and take new work; none if this process was paused just now.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let paused = self.is_paused(now);
        self.members.values().filter(move |member| !paused && member.is_live())
    }

    /// The instance with this incarnation, if it is known.
    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.values().find(|member| member.incarnation == Some(incarnation))
    }

    /// Tells the others which configuration is in effect here.
    pub fn set_config(&mut self, config: Option<ConfigId>) {
        self.push_due |= self.me.config != config;
        self.me.config = config;
    }

    /// Tells the others whether reads of the configuration service succeed here.
    pub fn set_reads(&mut self, reads: bool) {
        self.me.reads = reads;
    }

    /// Tells all others at once that this instance takes no new work.
    pub fn set_draining(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if self.me.draining {
            return actions;
        }
        self.me.draining = true;
        // Once in the life of a process, so the bytes don't matter.
        let alive = self.members.values().filter(|member| member.is_alive());
        let targets: Vec<InstanceName> = alive.map(|member| member.name.clone()).collect();
        for target in targets {
            self.send(now, &target, GossipKind::Push, &mut actions);
        }
        actions
    }

    /// Spreads that a backend server leaves.
    pub fn spread_leaving(&mut self, now: Timestamp, news: LeavingBackend) {
        self.push_due |= self.queue.push_backend(now, news, 0);
    }

    /// Spreads news of another module.
    pub fn spread_topic(&mut self, now: Timestamp, news: TopicNews) {
        self.push_due |= self.queue.push_topic(now, news, 0);
    }

    /// Takes the platform's list; this instance's own entry is left out.
    pub fn on_listing(&mut self, now: Timestamp, listed: &[ListedEntry]) {
        self.listing_since.get_or_insert(now);
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for entry in listed.iter().filter(|entry| entry.name != self.me.name) {
            let known = self.members.entry(entry.name.clone());
            let member = known.or_insert_with(|| Member::from_listing(now, entry));
            member.listed = true;
            member.last_listed = now;
            member.leaving |= entry.state == ListedState::Leaving;
            if !member.is_alive() {
                member.peer_addr = entry.peer_addr;
                member.data_centre = entry.data_centre.clone();
            }
        }
    }

    /// Makes the probes, pushes and changes of belief that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = self.observe(now);
        if self.is_superseded() {
            return actions;
        }
        self.ask_peers(now, &mut actions);
        self.probe_next(now, &mut actions);
        self.probe_lost(now, &mut actions);
        self.probe_indirectly(now, &mut actions);
        self.suspect_silent(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.expire_suspects(now, &mut actions);
            self.forget_old(now);
        }
        self.push_news(now, &mut actions);
        actions
    }

    /// Takes a message and returns its answer.
    pub fn on_gossip(
        &mut self,
        now: Timestamp,
        message: Gossip,
    ) -> (GossipReply, Vec<MembershipAction>) {
        let mut actions = self.observe(now);
        let sender = message.from.name.clone();
        let joining = message.kind == GossipKind::Join;
        let digest = message.digest;
        self.take_direct(now, &message.from, &mut actions);
        self.take_news(now, message.news, &mut actions);
        match message.kind {
            GossipKind::Probe | GossipKind::Join | GossipKind::Push => {}
            GossipKind::ProbeFor { target } => self.probe_for(now, sender, target, &mut actions),
            GossipKind::Reached { target, inc } => self.on_reached(now, &target, inc),
        }
        let mut news = self.correction(&message.from);
        news.extend(self.news_for(now, joining, digest));
        self.push_news(now, &mut actions);
        (GossipReply { from: self.me.clone(), news }, actions)
    }

    /// Takes the answer to a message, or `None` if the call failed.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        to: &InstanceName,
        call: u64,
        answer: Option<GossipReply>,
    ) -> Vec<MembershipAction> {
        let mut actions = self.observe(now);
        if call <= self.calls_before_pause {
            return actions;
        }
        let answer = answer.filter(|answer| &answer.from.name == to);
        let relay = self.probes.end_relay(call);
        let Some(answer) = answer else {
            self.probes.call_failed(to, call);
            self.on_conflict_silent(call);
            return actions;
        };
        if self.probes.answered(to, call)
            && let Some(member) = self.members.get_mut(to)
        {
            member.answered = true;
        }
        self.name_conflict.take_if(|(asked, _)| *asked == call);
        let inc = answer.from.inc;
        self.take_direct(now, &answer.from, &mut actions);
        self.take_news(now, answer.news, &mut actions);
        if let Some((target, origin)) = relay {
            self.send(now, &origin, GossipKind::Reached { target, inc }, &mut actions);
        }
        self.push_news(now, &mut actions);
        actions
    }
}
