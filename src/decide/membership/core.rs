//! The membership state of one instance and the events that change it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Member;
use super::MembershipAction;
use super::limits::PAUSE_LIMIT;
use super::limits::SWEEP_INTERVAL;
use super::probes::Probes;
use super::push_budget::PushBudget;
use super::update_queue::UpdateQueue;
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

/// Identity that this instance announces to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Instance name.
    pub name: InstanceName,
    /// Address of its peer listener.
    pub peer_addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Progress of joining: whether the peers were asked since the start or the last pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JoinPhase {
    /// Started; peers may still know an earlier incarnation under this name.
    Joining,
    /// Was paused; another incarnation may have taken this name meanwhile.
    Rejoining,
    /// All peers have answered, or the deadline has passed.
    Joined,
    /// Another process has this name; this one must stop.
    Superseded,
}

/// The other entry instances that one instance knows of, and its own state in the protocol.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: MemberRecord,
    pub(super) members: BTreeMap<InstanceName, Member>,
    pub(super) queue: UpdateQueue,
    pub(super) push_budget: PushBudget,
    pub(super) push_due: bool,
    pub(super) probes: Probes,
    pub(super) probe_round: Vec<InstanceName>,
    pub(super) next_probe: Timestamp,
    pub(super) next_reconnect: Timestamp,
    pub(super) next_sweep: Timestamp,
    /// Call to another process that peers know under this instance's name, and its record.
    pub(super) name_conflict: Option<(u64, MemberRecord)>,
    pub(super) phase: JoinPhase,
    pub(super) phase_since: Timestamp,
    pub(super) first_listing: Option<Timestamp>,
    pub(super) last_event: Timestamp,
    pub(super) last_call: u64,
    /// Number of the last call before the last pause; replies to it and earlier calls are ignored.
    pub(super) last_call_before_pause: u64,
    pub(super) rng: ChaCha8Rng,
}

impl Membership {
    /// Creates the state of a new instance that knows no other one.
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
            queue: UpdateQueue::default(),
            push_budget: PushBudget::new(now),
            push_due: false,
            probes: Probes::default(),
            probe_round: Vec::new(),
            next_probe: now,
            next_reconnect: now,
            next_sweep: now,
            name_conflict: None,
            phase: JoinPhase::Joining,
            phase_since: now,
            first_listing: None,
            last_event: now,
            last_call: 0,
            last_call_before_pause: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// This instance's own state as it announces it.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Whether joining has ended since the start or the last pause.
    pub fn is_joined(&self) -> bool {
        self.phase == JoinPhase::Joined
    }

    /// Whether another process has taken over this instance's name.
    pub fn is_superseded(&self) -> bool {
        self.phase == JoinPhase::Superseded
    }

    /// Whether this process was paused until `now` and hasn't handled an event since.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now.since(self.last_event) >= PAUSE_LIMIT
    }

    /// Every known instance but this one, whatever its status.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Looks up an instance by name; `None` for this one.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Instances that are alive and take new work; none while a pause is unhandled.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let paused = self.is_paused(now);
        self.members.values().filter(move |member| !paused && member.is_live())
    }

    /// Looks up an instance by the incarnation of its process.
    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.values().find(|member| member.incarnation == Some(incarnation))
    }

    /// Announces the configuration in effect here; a change is pushed.
    pub fn set_config(&mut self, config: Option<ConfigId>) {
        self.push_due |= self.me.config != config;
        self.me.config = config;
    }

    /// Announces whether this instance can reach the configuration service.
    pub fn set_config_service_reachable(&mut self, reachable: bool) {
        self.me.reads = reachable;
    }

    /// Announces to every member that is alive, at once, that this instance takes no new work.
    pub fn set_draining(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if self.me.draining {
            return actions;
        }
        self.me.draining = true;
        // Bypasses the push budget: it happens once in a process's life, so the bytes don't matter.
        let alive = self.members.values().filter(|member| member.is_responding());
        let targets: Vec<InstanceName> = alive.map(|member| member.name.clone()).collect();
        for target in targets {
            self.send(now, &target, GossipKind::Push, &mut actions);
        }
        actions
    }

    /// Gossips that a backend server is leaving; pushed if that is new.
    pub fn spread_leaving(&mut self, now: Timestamp, leaving: LeavingBackend) {
        self.push_due |= self.queue.push_backend(now, leaving, 0);
    }

    /// Gossips an update of another module; pushed if it is new.
    pub fn spread_topic(&mut self, now: Timestamp, update: TopicNews) {
        self.push_due |= self.queue.push_topic(now, update, 0);
    }

    /// Handles a new platform list; this instance's own entry is ignored.
    pub fn on_listing(&mut self, now: Timestamp, listed: &[ListedEntry]) {
        self.first_listing.get_or_insert(now);
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for entry in listed.iter().filter(|entry| entry.name != self.me.name) {
            let known = self.members.entry(entry.name.clone());
            let member = known.or_insert_with(|| Member::from_listing(now, entry));
            member.listed = true;
            member.last_listed = now;
            member.leaving |= entry.state == ListedState::Leaving;
            if !member.is_responding() {
                member.peer_addr = entry.peer_addr;
                member.data_centre = entry.data_centre.clone();
            }
        }
    }

    /// Sends the probes and pushes and makes the status changes that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = self.detect_pause(now);
        if self.is_superseded() {
            return actions;
        }
        self.send_joins(now, &mut actions);
        self.probe_next(now, &mut actions);
        self.probe_unresponsive(now, &mut actions);
        self.request_indirect_probes(now, &mut actions);
        self.suspect_unreached(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.declare_dead(now, &mut actions);
            self.forget_stale(now);
        }
        self.push_updates(now, &mut actions);
        actions
    }

    /// Handles a peer's message and returns the reply to it.
    pub fn on_gossip(
        &mut self,
        now: Timestamp,
        message: Gossip,
    ) -> (GossipReply, Vec<MembershipAction>) {
        let mut actions = self.detect_pause(now);
        let sender = message.from.name.clone();
        let joining = message.kind == GossipKind::Join;
        let digest = message.digest;
        self.apply_own_report(now, &message.from, &mut actions);
        self.apply_updates(now, message.news, &mut actions);
        match message.kind {
            GossipKind::Probe | GossipKind::Join | GossipKind::Push => {}
            GossipKind::ProbeFor { target } => {
                self.probe_on_behalf(now, sender, target, &mut actions)
            }
            GossipKind::Reached { target, inc } => self.on_reached(now, &target, inc),
        }
        let mut news = self.record_to_refute(&message.from);
        news.extend(self.updates_for_reply(now, joining, digest));
        self.push_updates(now, &mut actions);
        (GossipReply { from: self.me.clone(), news }, actions)
    }

    /// Handles the reply to a message; `None` if the call failed.
    pub fn on_reply(
        &mut self,
        now: Timestamp,
        to: &InstanceName,
        call: u64,
        reply: Option<GossipReply>,
    ) -> Vec<MembershipAction> {
        let mut actions = self.detect_pause(now);
        if call <= self.last_call_before_pause {
            return actions;
        }
        let reply = reply.filter(|reply| &reply.from.name == to);
        let relay = self.probes.take_relayed(call);
        let Some(reply) = reply else {
            self.probes.on_call_failed(to, call);
            self.on_conflict_probe_failed(call);
            return actions;
        };
        if self.probes.on_answered(to, call)
            && let Some(member) = self.members.get_mut(to)
        {
            member.join_answered = true;
        }
        self.name_conflict.take_if(|(asked, _)| *asked == call);
        let inc = reply.from.inc;
        self.apply_own_report(now, &reply.from, &mut actions);
        self.apply_updates(now, reply.news, &mut actions);
        if let Some((target, origin)) = relay {
            self.send(now, &origin, GossipKind::Reached { target, inc }, &mut actions);
        }
        self.push_updates(now, &mut actions);
        actions
    }
}
