//! Load balancing: which of the known replicas takes a request.
//!
//! For a service of model engines the choice is among the replicas that hold the adapter, by
//! the delay that is expected until the first token; if there are none, the adapter has to be
//! loaded first, by the first replicas in its rendezvous ranking. For any other request it is the
//! replica with the fewest requests per slot, where recent failures count as delay.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::AdapterKey;
use super::DeclaredVersions;
use super::EngineSpec;
use super::FormerReplica;
use super::PossibleOrigin;
use super::Replica;
use super::ReplicaChoice;
use super::ReplicaEntry;
use super::ReplicaHistory;
use super::ReplicaState;
use super::RequestNeeds;
use super::STREAM_MEMORY_TIME;
use super::TypicalPace;
use super::departed::Departed;
use super::departed::EarlierDeparture;
use super::former_replicas::FormerReplicas;
use super::replica_ranking::choose_for_plain_service;
use super::replica_ranking::choose_load_targets;
use super::replica_ranking::expected_delay_ms;
use super::replica_ranking::holds_current_version;
use super::replica_ranking::spread_target;
use crate::decide::reach::ServiceReach;
use crate::decide::rendezvous;
use crate::decide::send_limits::NamedLimits;
use crate::names::BackendName;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;
use crate::names::Timestamp;

/// Time after the end of an outage of the published state for which a replica is kept whose entry
/// may have expired meanwhile; one that lives publishes its entry again within that time.
const EXPIRY_GRACE: Duration = Duration::from_millis(1900);
/// Time for which a removed replica gets no requests after a restored copy of the published state
/// has listed it again; an entry that isn't renewed expires within that time.
const RESTORED_HOLD: Duration = Duration::from_secs(5);
/// Time for which other instances are told that a replica is leaving.
const LEAVING_SHARE_TIME: Duration = Duration::from_secs(3);
/// Expected delay at the best holder from which on another replica should hold the adapter
/// too, in ms.
const MIN_SPREAD_DELAY_MS: f64 = 250.0;

/// The replicas that one instance knows, by name.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    known: BTreeMap<BackendName, Replica>,
    departed: Departed,
    leaving: Vec<(BackendName, u64, Timestamp)>,
    former: FormerReplicas,
    reach: BTreeMap<ServiceName, ServiceReach>,
    typical_paces: BTreeMap<ServiceName, TypicalPace>,
}

impl Replicas {
    /// Whether peers need to know an entry: it is new, its removal was passed on, or it differs in more
    /// than its adapters, whose holders are asked for when needed.
    pub fn is_worth_sharing(&self, entry: &ReplicaEntry) -> bool {
        self.known.get(&entry.name).is_none_or(|known| {
            known.kept_until.is_some() || !known.entry.equals_except_adapters(entry)
        })
    }

    /// Applies an entry; returns whether the replica is new or has restarted since the last one.
    pub fn on_entry(&mut self, now: Timestamp, entry: ReplicaEntry) -> bool {
        self.apply_entry(now, entry, false)
    }

    /// Applies an entry that was listed by a store right after it was restored from a copy, so
    /// that the replica may be gone; returns the same as [`on_entry`](Self::on_entry).
    pub fn on_restored_entry(&mut self, now: Timestamp, entry: ReplicaEntry) -> bool {
        self.apply_entry(now, entry, true)
    }

    fn apply_entry(&mut self, now: Timestamp, mut entry: ReplicaEntry, is_copy: bool) -> bool {
        let departure = self.departed.check(&entry);
        match departure {
            EarlierDeparture::Outdated => return false,
            EarlierDeparture::Draining => entry.state = ReplicaState::Draining,
            EarlierDeparture::Removed | EarlierDeparture::None => {}
        }
        self.remember_replaced(now, &entry);
        match self.known.get_mut(&entry.name) {
            Some(known) if entry.started_ms < known.entry.started_ms => false,
            Some(known) if entry.started_ms == known.entry.started_ms => {
                known.update(now, entry);
                false
            }
            _ => {
                let mut replica = Replica::new(now, entry);
                if is_copy && departure == EarlierDeparture::Removed {
                    replica.held_back_until = Some(now + RESTORED_HOLD);
                }
                self.former.on_listed(&replica.entry.name, replica.entry.started_ms);
                self.known.insert(replica.entry.name.clone(), replica);
                true
            }
        }
    }

    /// Applies the removal of an entry. If an outage of the published state ended at
    /// `outage_ended`, the entry may have expired meanwhile, and the replica is kept until a
    /// living one would have published its entry again.
    pub fn on_removed(
        &mut self,
        now: Timestamp,
        name: &BackendName,
        outage_ended: Option<Timestamp>,
    ) {
        let kept_until = outage_ended.map(|at| at + EXPIRY_GRACE).filter(|until| *until > now);
        match (kept_until, self.known.get_mut(name)) {
            (Some(until), Some(replica)) => replica.kept_until = Some(until),
            _ => self.remove(now, name),
        }
    }

    /// Drops replicas whose expired entries haven't come back in time.
    pub fn drop_expired(&mut self, now: Timestamp) {
        let is_expired = |replica: &&Replica| replica.kept_until.is_some_and(|until| now >= until);
        let expired: Vec<BackendName> =
            self.known.values().filter(is_expired).map(|r| r.entry.name.clone()).collect();
        for name in expired {
            self.remove(now, &name);
        }
    }

    fn remove(&mut self, now: Timestamp, name: &BackendName) {
        if let Some(replica) = self.known.remove(name) {
            let was_draining = replica.entry.state == ReplicaState::Draining;
            self.departed.on_departed(now, name, replica.entry.started_ms, was_draining);
            self.former.on_left(now, FormerReplica::removed(&replica.entry));
        }
    }

    /// Records the start of a replica that a newer entry shows to have ended.
    fn remember_replaced(&mut self, now: Timestamp, newer: &ReplicaEntry) {
        let Some(known) = self.known.get(&newer.name) else { return };
        let is_other = known.entry.started_ms < newer.started_ms
            || known.entry.service != newer.service
            || known.entry.software != newer.software;
        if is_other && known.entry.started_ms <= newer.started_ms {
            self.former.on_left(now, FormerReplica::replaced(&known.entry));
        }
    }

    /// Records the replicas that left before this process followed them.
    pub fn on_history(&mut self, now: Timestamp, history: &ReplicaHistory) {
        for former in &history.departed {
            let listed = self.known.get(&former.name);
            if listed.is_none_or(|replica| replica.entry.started_ms != former.started_ms) {
                self.former.on_left(now, former.clone());
            }
        }
    }

    /// Software versions of a service's replicas, and of those that were there lately.
    pub fn software_versions(&self, now: Timestamp, service: &ServiceName) -> Vec<SoftwareVersion> {
        let present = self.of_service(service).map(|r| &r.entry.software);
        let former = self.former.of_service(now, service, STREAM_MEMORY_TIME);
        let all: BTreeSet<&SoftwareVersion> =
            present.chain(former.map(|former| &former.software)).collect();
        all.into_iter().cloned().collect()
    }

    /// Replicas of a service that were seen to leave less than `within` ago.
    pub fn former(
        &self,
        now: Timestamp,
        service: &ServiceName,
        within: Duration,
    ) -> Vec<FormerReplica> {
        self.former.of_service(now, service, within).cloned().collect()
    }

    /// The listed replicas of a service whose KV caches may hold a request's prompt, at most `count`:
    /// the first in its adapter's rendezvous ranking, which are the homes of the adapter.
    pub fn cache_candidates(
        &self,
        service: &ServiceName,
        key: &AdapterKey,
        count: usize,
    ) -> Vec<PossibleOrigin> {
        let entries = self.of_service(service).map(|replica| &replica.entry).collect();
        let ranked = rendezvous::rank(&key.label(), entries, |entry| entry.name.as_str());
        ranked.into_iter().take(count).map(PossibleOrigin::from).collect()
    }

    /// Records that the replica itself, in the start `started_ms`, said that it is leaving;
    /// returns whether that is news. It gets no new requests until it restarts.
    pub fn on_leaving(&mut self, now: Timestamp, name: &BackendName, started_ms: u64) -> bool {
        self.leaving.retain(|(_, _, at)| now.since(*at) < LEAVING_SHARE_TIME);
        match self.known.get_mut(name) {
            Some(known) if known.entry.started_ms != started_ms => return false,
            Some(known) if known.entry.state == ReplicaState::Draining => return false,
            Some(known) => known.entry.state = ReplicaState::Draining,
            None => return false,
        }
        self.departed.on_departed(now, name, started_ms, true);
        self.leaving.push((name.clone(), started_ms, now));
        true
    }

    /// Replicas that said lately that they are leaving, with their start times; for peers.
    pub fn recently_leaving(&self, now: Timestamp) -> Vec<(BackendName, u64)> {
        let recent = self.leaving.iter().filter(|(_, _, at)| now.since(*at) < LEAVING_SHARE_TIME);
        recent.map(|(name, started_ms, _)| (name.clone(), *started_ms)).collect()
    }

    /// Records a connection to a replica; returns its service if a cut from that has ended.
    pub fn on_connected(&mut self, name: &BackendName) -> Option<ServiceName> {
        let service = &self.known.get(name)?.entry.service;
        let has_ended = self.reach.get_mut(service)?.on_connected();
        has_ended.then(|| service.clone())
    }

    /// Records that no connection to a replica could be made; returns its service if this
    /// instance is cut off from that from now on.
    pub fn on_unreachable(&mut self, now: Timestamp, name: &BackendName) -> Option<ServiceName> {
        let replica = self.known.get_mut(name)?;
        replica.on_unreachable(now);
        let service = replica.entry.service.clone();
        let accepting = self.of_service(&service).filter(|r| r.accepts_orders()).count();
        let reach = self.reach.entry(service.clone()).or_default();
        reach.on_unreachable(now, name, accepting).then_some(service)
    }

    /// Whether a connection to a replica couldn't be made lately, and none to its service since.
    pub fn is_out_of_reach(&self, name: &BackendName) -> bool {
        let service = self.known.get(name).map(|replica| &replica.entry.service);
        let reach = service.and_then(|service| self.reach.get(service));
        reach.is_some_and(|reach| reach.failed_at(name).is_some())
    }

    /// Services that this instance is cut off from.
    pub fn services_out_of_reach(&self) -> Vec<ServiceName> {
        let cut = self.reach.iter().filter(|(_, reach)| reach.is_cut());
        cut.map(|(service, _)| service.clone()).collect()
    }

    /// Replicas to which trial connections are due, at most `count` of each service; those whose
    /// last failure is longest ago go first.
    pub fn to_try(&mut self, now: Timestamp, count: usize) -> Vec<(BackendName, SocketAddr)> {
        let known = &self.known;
        self.reach.retain(|service, _| known.values().any(|r| r.entry.service == *service));
        let mut chosen = Vec::new();
        for (service, reach) in &mut self.reach {
            if !reach.should_try(now) {
                continue;
            }
            let of_service = known.values().filter(|r| r.entry.service == *service);
            let mut replicas: Vec<&Replica> = of_service.filter(|r| r.accepts_orders()).collect();
            replicas.sort_by_key(|r| reach.failed_at(&r.entry.name));
            let first = replicas.iter().take(count);
            chosen.extend(first.map(|r| (r.entry.name.clone(), r.entry.addr)));
        }
        chosen
    }

    fn of_service<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Replica> {
        self.known.values().filter(|r| r.entry.service == *service)
    }

    /// Tells the other replicas of a service what one of them, `name`, says of its limits.
    pub fn on_limits_of_sibling(
        &mut self,
        now: Timestamp,
        name: &BackendName,
        limits: NamedLimits,
    ) {
        let Some(service) = self.known.get(name).map(|r| r.entry.service.clone()) else { return };
        let siblings = self.known.values_mut().filter(|r| r.entry.service == service);
        siblings.for_each(|sibling| sibling.limits.on_sibling(now, limits));
    }

    /// Records the time between events of a replica's streams, as its owner says.
    pub fn on_owner_pace(
        &mut self,
        now: Timestamp,
        name: &BackendName,
        event_gap: Option<Duration>,
    ) {
        let Some(known) = self.known.get_mut(name) else { return };
        known.on_owner_pace(now, event_gap);
        if let Some(gap) = event_gap {
            self.typical_paces.entry(known.entry.service.clone()).or_default().on_replica(gap);
        }
    }

    /// Factor by which work takes longer at a replica than at a typical one of its service.
    pub fn slowness(&self, now: Timestamp, replica: &Replica) -> f64 {
        let typical = self.typical_paces.get(&replica.entry.service);
        typical.map_or(1.0, |typical| typical.slowness(replica.event_gap(now)))
    }

    /// The replica of this name, if it is known.
    pub fn get(&self, name: &BackendName) -> Option<&Replica> {
        self.known.get(name)
    }

    /// The replica of this name, to record events about it.
    pub fn get_mut(&mut self, name: &BackendName) -> Option<&mut Replica> {
        self.known.get_mut(name)
    }

    /// All replicas, by name.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.known.values()
    }

    /// Chooses the replica for a request; `tried` are replicas that it must not go to again.
    pub fn choose(
        &self,
        now: Timestamp,
        service: &ServiceName,
        engine: Option<&EngineSpec>,
        needs: &RequestNeeds,
        tried: &[BackendName],
        versions: &DeclaredVersions,
    ) -> ReplicaChoice {
        if self.reach.get(service).is_some_and(ServiceReach::is_cut) {
            return ReplicaChoice::OutOfReach;
        }
        let usable: Vec<&Replica> = self
            .known
            .values()
            .filter(|r| serves(r, service, needs.software.as_ref()) && r.accepts_requests(now))
            .filter(|r| !tried.contains(&r.entry.name))
            .collect();
        if usable.is_empty() {
            if let Some((left, replica)) =
                self.shortest_pause(now, service, needs.software.as_ref())
            {
                return ReplicaChoice::Paused { left, may_wait: !tried.contains(replica) };
            }
            if self.is_version_gone(service, needs) {
                return ReplicaChoice::VersionGone;
            }
        }
        let (Some(engine), Some(key)) = (engine, &needs.key) else {
            return choose_for_plain_service(now, &usable);
        };
        let holders =
            usable.iter().copied().filter(|r| holds_current_version(now, r, key, versions));
        let delay =
            |r: &Replica| expected_delay_ms(now, r, engine, needs, key) * self.slowness(now, r);
        let best = holders.map(|r| (delay(r), r)).min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((best_delay, best)) = best else {
            return choose_load_targets(now, &usable, key);
        };
        let spread = if best_delay >= MIN_SPREAD_DELAY_MS && best.is_hot(now, key) {
            spread_target(now, &usable, key, best, &delay)
        } else {
            None
        };
        ReplicaChoice::Send { replica: best.entry.name.clone(), spread }
    }

    /// Time until a service has a replica that accepts requests, if pauses or
    /// limits hold back all that are there; otherwise `None`.
    pub fn service_pause(&self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let accepts = |r: &Replica| r.entry.service == *service && r.accepts_requests(now);
        if self.known.values().any(accepts) {
            return None;
        }
        self.shortest_pause(now, service, None).map(|(left, _)| left)
    }

    /// Whether a request needs a software version that no replica of the service runs which may
    /// come to accept requests.
    fn is_version_gone(&self, service: &ServiceName, needs: &RequestNeeds) -> bool {
        let Some(software) = &needs.software else { return false };
        !self.known.values().any(|r| serves(r, service, Some(software)) && r.accepts_orders())
    }

    /// Shortest time for which a pause or limit holds back a service's replicas, or those of one
    /// software version, and whose it is; `None` if none is held back.
    fn shortest_pause(
        &self,
        now: Timestamp,
        service: &ServiceName,
        software: Option<&SoftwareVersion>,
    ) -> Option<(Duration, &BackendName)> {
        let of_service = self.known.values().filter(|r| serves(r, service, software));
        of_service.filter_map(|r| Some((r.held_back_for(now)?, &r.entry.name))).min()
    }
}

fn serves(replica: &Replica, service: &ServiceName, software: Option<&SoftwareVersion>) -> bool {
    replica.entry.service == *service && replica.runs(software)
}
