//! Membership of the entry instances, by heartbeat gossip.
//!
//! Every instance increases its own heartbeat; instances exchange all records that they know,
//! so a heartbeat reaches everybody within a few exchanges. An instance whose heartbeat stands
//! still counts as gone. There is no member list to start from but a few seeds, which may be
//! out of date.
//!
//! From the live instances follow the preferred owner of each replica and the readers of the
//! published state, both by rendezvous hashing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::PeerGossip;
use super::PeerRecord;
use super::Receiver;
use super::StreamKey;
use super::gossip_targets;
use super::known_peer::KnownPeer;
use super::live_beats::LiveBeats;
use super::owner_election;
use super::owner_election::OwnerElection;
use super::peer_gossip::Beats;
use super::peer_gossip::advance_heartbeat;
use crate::decide::listening::FleetRole;
use crate::decide::reach::PassOnCandidate;
use crate::decide::rendezvous;
use crate::names::InstanceName;
use crate::names::ServiceName;
use crate::names::Timestamp;

/// Number of instances that read the published state for all.
const READER_COUNT: usize = 5;
/// Key under which instances are ranked as readers.
const READER_KEY: &str = "reader";
/// Live instances up to which a fleet is small: each hears of every other one in most rounds, so
/// data centres don't matter, and an instance can tell all others what it does.
const SMALL_FLEET: usize = 16;
/// In a large fleet, an instance that isn't live is called once in so many rounds.
const OFFLINE_CALL_ROUNDS: u64 = 3;
/// Least time between two increases of the heartbeat, so that its lowest byte is enough.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Most changed records that one message has, unless all are asked for.
const MAX_CHANGED_RECORDS: usize = 24;
/// Instances that are told where a stream began.
pub const ORIGIN_WITNESSES: usize = 3;
/// Instances that are asked where a stream began: one more, as the one that began it isn't in its
/// own ranking.
pub const ORIGIN_LOOKUPS: usize = 4;
/// Least share of the recent fleet, itself included, that must be live for an instance to give
/// orders.
const MIN_LIVE_SHARE: f64 = 0.25;

/// The instances that one instance knows.
#[derive(Clone, Debug)]
pub struct Peers {
    me: PeerRecord,
    role: FleetRole,
    is_stopping: bool,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<InstanceName, KnownPeer>,
    /// Names of instances by the tags of their records.
    tags: HashMap<u32, InstanceName>,
    needs_all_records: bool,
    round: u64,
    election: OwnerElection,
    last_heartbeat: Option<Timestamp>,
    live_beats: LiveBeats,
    /// When the candidates of the election were checked last; `None` if a record changed since.
    candidates_checked_at: Option<Timestamp>,
}

impl Peers {
    /// An instance with the record `me` that knows only its seeds.
    pub fn new(me: PeerRecord, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            role: FleetRole::Full,
            is_stopping: false,
            seeds,
            known: BTreeMap::new(),
            tags: HashMap::new(),
            needs_all_records: true,
            round: 0,
            election: OwnerElection::default(),
            candidates_checked_at: None,
            last_heartbeat: None,
            live_beats: LiveBeats::default(),
        }
    }

    /// This instance's own record.
    pub fn me(&self) -> &PeerRecord {
        &self.me
    }

    /// Replaces the addresses that are called to find other instances.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Marks this instance as shutting down, for the others to know.
    pub fn set_draining(&mut self) {
        self.is_stopping = true;
        self.update_draining();
    }

    /// Sets what this instance does in the fleet, for the others to know.
    pub fn set_role(&mut self, role: FleetRole) {
        if self.role != role {
            self.role = role;
            self.update_draining();
        }
    }

    fn update_draining(&mut self) {
        self.me.draining = self.is_stopping || self.role != FleetRole::Full;
        self.live_beats.on_record_changed();
        self.candidates_checked_at = None;
    }

    /// Marks this instance as settled, for the others to know: it has learned the fleet.
    pub fn set_settled(&mut self) {
        self.me.settled = true;
        self.live_beats.on_record_changed();
        self.candidates_checked_at = None;
    }

    /// Tells the others which services this instance doesn't reach, and whether it gives orders.
    pub fn set_cut_from(&mut self, cut_from: Vec<ServiceName>, gives_no_orders: bool) {
        self.me.cut_from = cut_from;
        self.me.gives_no_orders = gives_no_orders;
        self.live_beats.on_record_changed();
        self.candidates_checked_at = None;
    }

    /// Live instances that may reach the replicas of a service.
    pub fn that_reach(&self, now: Timestamp, service: &ServiceName) -> Vec<PassOnCandidate> {
        let reaches = |peer: &&PeerRecord| !peer.draining && !peer.cut_from.contains(service);
        let candidate = |record: &PeerRecord| PassOnCandidate {
            name: record.name.clone(),
            addr: record.addr,
            is_near: self.is_near(record),
        };
        self.live(now).filter(reaches).map(candidate).collect()
    }

    /// Starts a round of gossip: increases the heartbeat and returns the addresses to call.
    pub fn next_round(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if self.last_heartbeat.is_none_or(|at| now.since(at) >= HEARTBEAT_INTERVAL) {
            self.me.heartbeat += 1;
            self.last_heartbeat = Some(now);
        }
        self.round += 1;
        self.known.retain(|_, known| !known.is_forgotten(now));
        self.tags.retain(|_, name| self.known.contains_key(name));
        let mut targets = self.live_targets(now);
        targets.extend(self.offline_target(now));
        targets
    }

    /// Whether every instance hears of every other one in most rounds.
    pub fn is_small_fleet(&self, now: Timestamp) -> bool {
        self.live(now).take(SMALL_FLEET).count() < SMALL_FLEET
    }

    /// What is known of the live instance that listens on `addr`.
    pub fn receiver_at(&self, now: Timestamp, addr: SocketAddr) -> Receiver {
        let known = self.live(now).find(|record| record.addr == addr);
        Receiver {
            reads_beats: known.is_some_and(|record| record.reads_beats),
            is_near: known.is_some_and(|record| self.is_near(record)),
            ..Receiver::default()
        }
    }

    /// The sender of a message, as the receiver of the reply.
    pub fn sender_of(&self, gossip: &PeerGossip) -> Receiver {
        let sender = gossip.records.first();
        Receiver {
            reads_beats: sender.is_some_and(|record| record.reads_beats),
            is_near: sender.is_some_and(|record| self.is_near(record)),
            roster: Some(gossip.roster).filter(|roster| *roster != 0),
            needs_all_records: gossip.needs_all_records,
        }
    }

    /// Whether an instance is told of this instance's work: in a small fleet each is, in a large
    /// one those in the same data centre, which hear of half of each other within two seconds.
    pub fn hears_work(&self, now: Timestamp, to: &Receiver) -> bool {
        to.is_near || self.is_small_fleet(now)
    }

    fn is_near(&self, record: &PeerRecord) -> bool {
        record.data_centre.is_some() && record.data_centre == self.me.data_centre
    }

    /// The message to another instance, in the form that it reads; with the whole records of all
    /// live instances if it needs them, otherwise of those that changed lately.
    pub fn gossip(&mut self, now: Timestamp, to: &Receiver) -> PeerGossip {
        let live = self.known.values().filter(|known| known.is_live(now));
        let mut full: Vec<&KnownPeer> =
            live.filter(|known| to.needs_all_records || known.has_changed_lately(now)).collect();
        if !to.needs_all_records && full.len() > MAX_CHANGED_RECORDS {
            full.sort_by_key(|known| std::cmp::Reverse(known.last_changed));
            full.truncate(MAX_CHANGED_RECORDS);
        }
        let records: Vec<PeerRecord> = full.iter().map(|known| known.record.clone()).collect();
        if self.role == FleetRole::Observer {
            return PeerGossip::without_sender(self.needs_all_records);
        }
        let mut gossip = PeerGossip {
            records: std::iter::once(self.me.clone()).chain(records).collect(),
            heartbeats: Vec::new(),
            needs_all_records: self.needs_all_records,
            roster: 0,
            beats: Beats::None,
        };
        self.collect_beats(now);
        let live = &self.live_beats;
        if to.reads_beats {
            gossip.roster = live.roster();
            gossip.beats = live.in_form_for(now, to);
        } else {
            let sent: Vec<u32> = gossip.records.iter().map(PeerRecord::tag).collect();
            let unsent = live.all().iter().filter(|(tag, _)| !sent.contains(tag));
            gossip.heartbeats = unsent.copied().collect();
        }
        gossip
    }

    /// Collects the heartbeats of the live instances anew if they are out of date.
    fn collect_beats(&mut self, now: Timestamp) {
        if !self.live_beats.are_outdated(now) {
            return;
        }
        let live = self.known.values().filter(|known| known.is_live(now));
        let mut beats: Vec<(u32, u64)> =
            live.map(|known| (known.tag, known.record.heartbeat)).collect();
        beats.push((self.me.tag(), self.me.heartbeat));
        beats.sort_unstable();
        self.live_beats.replace(now, beats);
    }

    /// Merges the message of another instance.
    pub fn on_gossip(&mut self, now: Timestamp, gossip: PeerGossip) {
        let beats = self.decode_beats(now, &gossip);
        for record in gossip.records {
            if record.name != self.me.name {
                self.on_record(now, record);
            }
        }
        self.candidates_checked_at = None;
        let own = self.me.tag();
        self.needs_all_records = false;
        for (tag, heartbeat) in gossip.heartbeats {
            if tag != own {
                self.needs_all_records |= !self.on_heartbeat(now, tag, |_| Some(heartbeat));
            }
        }
        for (tag, lowest) in beats {
            if tag != own {
                let advance = |known| advance_heartbeat(known, lowest);
                self.needs_all_records |= !self.on_heartbeat(now, tag, advance);
            }
        }
    }

    fn decode_beats(&mut self, now: Timestamp, gossip: &PeerGossip) -> Vec<(u32, u8)> {
        self.collect_beats(now);
        gossip.beats.decode(&self.live_beats.tags(), gossip.roster == self.live_beats.roster())
    }

    /// Counts all instances as heard now: this process was paused and heard nobody meanwhile.
    pub fn on_pause(&mut self, now: Timestamp) {
        for known in self.known.values_mut() {
            known.last_heard = now;
        }
        self.candidates_checked_at = None;
    }

    /// Address of an instance; `None` unless it is live.
    pub fn addr_of(&self, now: Timestamp, name: &InstanceName) -> Option<SocketAddr> {
        self.known.get(name).filter(|known| known.is_live(now)).map(|known| known.record.addr)
    }

    /// Whether another instance is live, by its heartbeat.
    pub fn is_live(&self, now: Timestamp, name: &InstanceName) -> bool {
        self.known.get(name).is_some_and(|known| known.is_live(now))
    }

    /// Whether another instance was known and is live no more. One that nobody has told of isn't gone.
    pub fn is_gone(&self, now: Timestamp, name: &InstanceName) -> bool {
        self.known.get(name).is_some_and(|known| !known.is_live(now))
    }

    /// Records of the live instances besides this one.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &PeerRecord> {
        self.known.values().filter(move |known| known.is_live(now)).map(|known| &known.record)
    }

    /// Addresses of the `count` live instances that rank first for a stream, which remember where
    /// it began; those that shut down rank last.
    pub fn witnesses(&self, now: Timestamp, key: StreamKey, count: usize) -> Vec<SocketAddr> {
        let live: Vec<&PeerRecord> = self.live(now).collect();
        let mut ranked = rendezvous::rank(&key.label(), live, |record| record.name.as_str());
        ranked.sort_by_key(|record| record.draining);
        ranked.iter().take(count).map(|record| record.addr).collect()
    }

    /// Number of instances that were part of the fleet lately, this one included.
    pub fn recent_count(&self, now: Timestamp) -> usize {
        1 + self.known.values().filter(|known| known.is_recent(now)).count()
    }

    /// Number of instances that aren't forgotten yet, this one included.
    pub fn remembered_count(&self) -> usize {
        1 + self.known.len()
    }

    /// The instance that should own a replica: the first in its rendezvous ranking of live ones.
    ///
    /// One that has just started is passed over while settled ones are there, since taking over
    /// takes time, unless it started together with them; so is one that is cut off from replicas while
    /// others aren't. `None` if all are draining, unless this one counts as such only since it can't be
    /// called.
    pub fn preferred_owner(&mut self, now: Timestamp, replica: &str) -> Option<InstanceName> {
        if self.candidates_checked_at != Some(now) {
            self.candidates_checked_at = Some(now);
            let candidates = self.owner_candidates(now);
            self.election.set_candidates(candidates);
        }
        self.election.owner(replica)
    }

    /// Number of instances, live or lost a moment ago, that rank above this one as owners of a
    /// replica.
    pub fn owner_rank(&self, replica: &str) -> usize {
        let others = self.known.values().map(|known| &known.record);
        owner_election::rank(others, &self.me, replica)
    }

    /// Instances that may own replicas, sorted by name.
    fn owner_candidates(&self, now: Timestamp) -> Vec<InstanceName> {
        let names = owner_election::candidates(self.live(now).chain([&self.me]));
        let is_only_one = names.is_empty() && self.role == FleetRole::Limited && !self.is_stopping;
        if is_only_one { vec![self.me.name.clone()] } else { names }
    }

    /// Whether this instance is one of the few readers of the published state: those with the
    /// fastest links.
    pub fn reads_published(&self, now: Timestamp) -> bool {
        let ranking = rendezvous::Ranking::new(READER_KEY);
        let rank = |record: &PeerRecord| (record.link_class(), ranking.score(record.name.as_str()));
        !self.leaves_to_others(now) && self.is_ranked_among(now, READER_COUNT, rank)
    }

    /// Whether this instance can't be called while another one can.
    fn leaves_to_others(&self, now: Timestamp) -> bool {
        self.role != FleetRole::Full && self.live(now).any(|record| !record.draining)
    }

    /// Whether this instance is one of the first `count` in the rendezvous ranking of `key`. One that
    /// can't be called leaves that to the others, which don't count it.
    pub fn is_among_first(&self, now: Timestamp, key: &str, count: usize) -> bool {
        let ranking = rendezvous::Ranking::new(key);
        let rank = |record: &PeerRecord| ranking.score(record.name.as_str());
        !self.leaves_to_others(now) && self.is_ranked_among(now, count, rank)
    }

    /// Whether fewer than `count` other instances rank above this one.
    fn is_ranked_among<R: Ord>(
        &self,
        now: Timestamp,
        count: usize,
        rank: impl Fn(&PeerRecord) -> R,
    ) -> bool {
        let own = rank(&self.me);
        let above = self.live(now).filter(|record| !record.draining && rank(record) > own);
        above.take(count).count() < count
    }

    /// Whether enough of the recent fleet is live for this instance to give orders.
    pub fn sees_enough_peers(&self, now: Timestamp) -> bool {
        let live = 1 + self.live(now).count();
        live as f64 >= MIN_LIVE_SHARE * self.recent_count(now) as f64
    }

    fn on_record(&mut self, now: Timestamp, mut record: PeerRecord) {
        let recency = |record: &PeerRecord| (record.started_ms, record.heartbeat);
        let known = self.known.get(&record.name);
        if known.is_some_and(|known| recency(&record) <= recency(&known.record)) {
            return;
        }
        let tag = record.tag();
        if let Some(known) = known.filter(|known| known.tag == tag) {
            // An older process that passes a record on leaves these out.
            record.reads_beats |= known.record.reads_beats;
            record.data_centre = record.data_centre.or_else(|| known.record.data_centre.clone());
            record.link_mbps = record.link_mbps.max(known.record.link_mbps);
        }
        let last_changed =
            known.filter(|known| known.tag == tag).map_or(now, |known| known.last_changed);
        if let Some(known) = known.filter(|known| known.tag != tag) {
            self.tags.remove(&known.tag);
        }
        self.live_beats.on_record_changed();
        self.tags.insert(tag, record.name.clone());
        self.known
            .insert(record.name.clone(), KnownPeer { record, tag, last_heard: now, last_changed });
    }

    /// Applies the heartbeat that `next` gives for the known one; returns whether the record that
    /// it belongs to is known.
    fn on_heartbeat(
        &mut self,
        now: Timestamp,
        tag: u32,
        next: impl Fn(u64) -> Option<u64>,
    ) -> bool {
        let Some(known) = self.tags.get(&tag).and_then(|name| self.known.get_mut(name)) else {
            return false;
        };
        if let Some(heartbeat) = next(known.record.heartbeat)
            && heartbeat > known.record.heartbeat
        {
            known.record.heartbeat = heartbeat;
            known.last_heard = now;
        }
        true
    }

    /// Live instances to call in this round.
    fn live_targets(&self, now: Timestamp) -> Vec<SocketAddr> {
        let is_small = self.is_small_fleet(now);
        gossip_targets::of_round(self.round, &self.me, self.live(now).collect(), is_small)
    }

    /// A seed or known instance that isn't live, in turn.
    fn offline_target(&self, now: Timestamp) -> Option<SocketAddr> {
        let rounds_between = if self.is_small_fleet(now) { 1 } else { OFFLINE_CALL_ROUNDS };
        if !self.round.is_multiple_of(rounds_between) {
            return None;
        }
        let live: HashSet<SocketAddr> = self.live(now).map(|record| record.addr).collect();
        let offline = self.known.values().map(|known| known.record.addr);
        let mut all: Vec<SocketAddr> = self.seeds.iter().copied().chain(offline).collect();
        all.retain(|addr| *addr != self.me.addr && !live.contains(addr));
        all.dedup();
        let turn = (self.round / rounds_between) as usize;
        if all.is_empty() { None } else { Some(all[turn % all.len()]) }
    }
}
