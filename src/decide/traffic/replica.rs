//! What one instance knows about one replica: what it holds, its workload and its health.
//!
//! Sources are the replica's published entry, its owner, other instances, and requests and
//! loads of this instance. Since other instances change what the replica holds and does, what
//! is known of adapters and of their workload expires.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::AdapterKey;
use super::HeldModel;
use super::PrefixTracker;
use super::ReplicaEntry;
use super::ReplicaPause;
use super::ReplicaState;
use super::Workload;
use super::held_version::HELD_TTL;
use super::held_version::HeldVersion;
use super::held_version::believed_held;
use super::is_hot;
use crate::decide::send_limits::LimitKnowledge;
use crate::names::InstanceName;
use crate::names::SoftwareVersion;
use crate::names::Timestamp;

/// Time for which an update of the replica's owner overrides published entries.
const OWNER_UPDATE_TTL: Duration = Duration::from_secs(4);
/// The same for a replica that is busy with the adapter, so that others are considered soon.
const BUSY_HELD_TTL: Duration = Duration::from_millis(50);
/// Time for which a replica counts as not holding an adapter or model after it refused a request
/// for that reason.
const MISSING_TTL: Duration = Duration::from_millis(1500);
/// Time for which another instance's work counts without an update.
const PEER_WORK_TTL: Duration = Duration::from_secs(2);
/// Time without a byte, while requests have no response, after which a replica counts as
/// unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(900);
/// Interval at which an unresponsive replica gets a request all the same: its next response shows
/// that it is sound, while those that it owes may take as long as their requests have.
const UNRESPONSIVE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a byte, while responses are in progress, after which a replica counts as having
/// stopped sending.
const STOPPED_SENDING_AFTER: Duration = Duration::from_secs(2);
/// Time added to [`UNRESPONSIVE_AFTER`] for each prompt token that the replica has yet to read.
const UNRESPONSIVE_PER_TOKEN: Duration = Duration::from_micros(60);
/// Time for which the owner's word on unread prompts counts.
const BACKLOG_TTL: Duration = Duration::from_secs(4);
/// Time for which what the owner said of a replica's pace counts.
const PACE_TTL: Duration = Duration::from_secs(20);
/// Time for which a replica that couldn't be connected to gets no requests.
const UNREACHABLE_TIME: Duration = Duration::from_millis(400);
/// Time for which a replica keeps a copy of an adapter that it held.
const WARM_COPY_TIME: Duration = Duration::from_secs(60);
/// Half-life of the failure score.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Work that another instance has in progress at the replica.
#[derive(Clone, Debug)]
struct PeerWork {
    workload: Workload,
    in_use: Vec<(AdapterKey, u32)>,
    updated_at: Timestamp,
}

/// What one instance knows about one replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Its last published entry; once draining, it stays so until a restart.
    pub entry: ReplicaEntry,
    /// Prompt parts that are likely to be in its prefix cache.
    pub prefixes: PrefixTracker,
    /// Work that this instance has in progress there.
    pub own_workload: Workload,
    /// Until when it is kept although its entry has expired; `None` if it hasn't.
    pub kept_until: Option<Timestamp>,
    /// Until when it gets no requests, since its entry may be outdated; `None` if it isn't.
    pub held_back_until: Option<Timestamp>,
    /// Pause that it asked for.
    pub pause: ReplicaPause,
    /// Limits that it names for all instances together.
    pub limits: LimitKnowledge,
    held: HashMap<AdapterKey, HeldVersion>,
    owner_updated_at: Option<Timestamp>,
    missing: HashMap<AdapterKey, Timestamp>,
    last_held: HashMap<AdapterKey, Timestamp>,
    peer_work: BTreeMap<InstanceName, PeerWork>,
    unreachable_until: Timestamp,
    failures: (f64, Timestamp),
    last_byte_at: Timestamp,
    unanswered: u32,
    unanswered_since: Timestamp,
    last_sent: Timestamp,
    in_use: HashMap<AdapterKey, u32>,
    is_replaced: bool,
    /// Tokens of long prompts that the owner said are yet to be read, and when.
    owner_backlog: (u64, Timestamp),
    /// Time between events of a stream, as the owner said, and when.
    owner_pace: Option<(Duration, Timestamp)>,
    /// Time between events of this instance's last stream, of which the owner isn't told yet.
    untold_pace: Option<Duration>,
}

impl Replica {
    /// A replica whose entry was just published.
    pub fn new(now: Timestamp, entry: ReplicaEntry) -> Self {
        let held = believed_held(now, &entry.models);
        Self {
            entry,
            prefixes: PrefixTracker::default(),
            own_workload: Workload::default(),
            kept_until: None,
            held_back_until: None,
            pause: ReplicaPause::default(),
            limits: LimitKnowledge::default(),
            held,
            owner_updated_at: None,
            missing: HashMap::new(),
            last_held: HashMap::new(),
            peer_work: BTreeMap::new(),
            unreachable_until: now,
            failures: (0.0, now),
            last_byte_at: now,
            unanswered: 0,
            unanswered_since: now,
            last_sent: now,
            in_use: HashMap::new(),
            is_replaced: false,
            owner_backlog: (0, now),
            owner_pace: None,
            untold_pace: None,
        }
    }

    /// Replaces the entry by a newer one of the same start; the adapters and models in it count
    /// only without a recent update of the owner.
    pub fn update(&mut self, now: Timestamp, entry: ReplicaEntry) {
        let owner_update_counts =
            self.owner_updated_at.is_some_and(|at| now.since(at) < OWNER_UPDATE_TTL);
        if !owner_update_counts {
            self.set_held(now, believed_held(now, &entry.models));
        }
        self.kept_until = None;
        let was_draining = self.entry.state == ReplicaState::Draining;
        self.entry = entry;
        if was_draining {
            self.entry.state = ReplicaState::Draining;
        }
    }

    /// Replaces all that the replica holds by what its owner says.
    pub fn on_owner_update(&mut self, now: Timestamp, models: &[HeldModel]) {
        self.set_held(now, believed_held(now, models));
        self.owner_updated_at = Some(now);
    }

    /// Records how many tokens of long prompts it has yet to read, as its owner says.
    pub fn on_owner_backlog(&mut self, now: Timestamp, tokens: u64) {
        self.owner_backlog = (tokens, now);
    }

    /// Records the time between events of its streams, as its owner says.
    pub fn on_owner_pace(&mut self, now: Timestamp, event_gap: Option<Duration>) {
        self.owner_pace = event_gap.map(|gap| (gap, now));
    }

    /// Time between events of its streams; `None` if its owner hasn't told lately.
    pub fn event_gap(&self, now: Timestamp) -> Option<Duration> {
        let (gap, told_at) = self.owner_pace?;
        (now.since(told_at) < PACE_TTL).then_some(gap)
    }

    /// Records the mean time between the events of a stream of this instance.
    pub fn on_stream_pace(&mut self, event_gap: Duration) {
        self.untold_pace = Some(event_gap);
    }

    /// Takes the pace of which the owner is to be told.
    pub fn take_untold_pace(&mut self) -> Option<Duration> {
        self.untold_pace.take()
    }

    /// Records that the replica holds an adapter or model now.
    pub fn on_loaded(&mut self, now: Timestamp, key: AdapterKey, version: u64) {
        self.on_held(now, key, HeldVersion { version, confirmed_at: now, valid_for: HELD_TTL });
    }

    /// Records that the replica holds an adapter but is busy with it: the next request should ask
    /// again where to go.
    pub fn on_loaded_but_busy(&mut self, now: Timestamp, key: AdapterKey, version: u64) {
        self.on_held(
            now,
            key,
            HeldVersion { version, confirmed_at: now, valid_for: BUSY_HELD_TTL },
        );
    }

    fn on_held(&mut self, now: Timestamp, key: AdapterKey, held: HeldVersion) {
        self.missing.remove(&key);
        self.last_held.insert(key.clone(), now);
        self.held.insert(key, held);
    }

    /// Records that the replica is about to unload an adapter.
    pub fn on_unloaded(&mut self, key: &AdapterKey) {
        self.held.remove(key);
        self.prefixes.forget(key);
    }

    /// Records that the replica refused a request since it doesn't hold the adapter or model.
    pub fn on_missing(&mut self, now: Timestamp, key: &AdapterKey) {
        self.missing.insert(key.clone(), now);
        self.prefixes.forget(key);
    }

    fn set_held(&mut self, now: Timestamp, held: HashMap<AdapterKey, HeldVersion>) {
        for key in held.keys() {
            self.last_held.insert(key.clone(), now);
        }
        self.last_held.retain(|_, at| now.since(*at) < WARM_COPY_TIME);
        self.held = held;
    }

    /// Version of an adapter or model that the replica holds; `None` if it isn't taken to hold
    /// it.
    ///
    /// Adapters are loaded and unloaded all the time, so a confirmation counts for a limited
    /// time, unless requests of this instance keep the adapter there.
    pub fn held_version(&self, now: Timestamp, key: &AdapterKey) -> Option<u64> {
        let missing = self.missing.get(key).is_some_and(|at| now.since(*at) < MISSING_TTL);
        let held = self.held.get(key).filter(|_| !missing)?;
        let is_kept = held.valid_for == HELD_TTL && self.in_use.contains_key(key);
        let counts =
            key.adapter.is_none() || is_kept || now.since(held.confirmed_at) < held.valid_for;
        counts.then_some(held.version)
    }

    /// Whether the replica may get new requests.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.is_available(now) && self.pause.accepts(now) && self.limits.closed_for(now).is_zero()
    }

    /// Whether the replica would get calls if it hadn't asked for a pause.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        self.is_available(now) && !self.pause.left(now).is_zero()
    }

    /// Time until the replica gets requests again, if nothing but its pause or its limits keeps them
    /// away; otherwise `None`.
    pub fn held_back_for(&self, now: Timestamp) -> Option<Duration> {
        let wait = self.pause.left(now).max(self.limits.closed_for(now));
        (self.is_available(now) && !wait.is_zero()).then_some(wait)
    }

    /// Whether a request that was chosen for the replica may still be sent.
    pub fn may_send(&self, now: Timestamp) -> bool {
        self.accepts_orders() && self.pause.left(now).is_zero()
    }

    /// Whether it runs a software version; `None` stands for any.
    pub fn runs(&self, software: Option<&SoftwareVersion>) -> bool {
        software.is_none_or(|version| *version == self.entry.software)
    }

    fn is_available(&self, now: Timestamp) -> bool {
        let held_back = self.held_back_until.is_some_and(|until| now < until);
        self.accepts_orders()
            && !held_back
            && now >= self.unreachable_until
            && (!self.is_unresponsive(now)
                || now.since(self.last_sent) >= UNRESPONSIVE_RETRY_INTERVAL)
    }

    /// Whether the replica may get orders: it is ready and still has its address.
    pub fn accepts_orders(&self) -> bool {
        self.entry.state == ReplicaState::Ready && !self.is_replaced
    }

    /// Records that another replica has the address now.
    pub fn on_address_reused(&mut self) {
        self.is_replaced = true;
    }

    /// Records the work that another instance has in progress here.
    pub fn on_peer_workload(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        workload: Workload,
        in_use: Vec<(AdapterKey, u32)>,
    ) {
        self.peer_work.insert(peer.clone(), PeerWork { workload, in_use, updated_at: now });
    }

    /// Requests of all instances that use an adapter or model here, as far as is known.
    pub fn uses_of(&self, now: Timestamp, key: &AdapterKey) -> u32 {
        let own = self.in_use.get(key).copied().unwrap_or_default();
        let fresh =
            self.peer_work.values().filter(|work| now.since(work.updated_at) < PEER_WORK_TTL);
        let peer_work = fresh.flat_map(|work| &work.in_use).filter(|(used, _)| used == key);
        peer_work.map(|(_, count)| *count).fold(own, u32::saturating_add)
    }

    /// Whether an adapter has so large a share of the replica's requests that another replica
    /// should hold it too.
    pub fn is_hot(&self, now: Timestamp, key: &AdapterKey) -> bool {
        is_hot(self.uses_of(now, key), self.workload(now).requests)
    }

    /// Whether the replica held an adapter lately, so that it still has a copy and loads it fast.
    pub fn held_recently(&self, now: Timestamp, key: &AdapterKey) -> bool {
        self.last_held.get(key).is_some_and(|at| now.since(*at) < WARM_COPY_TIME)
    }

    /// Work in progress of all instances, as far as is known.
    pub fn workload(&self, now: Timestamp) -> Workload {
        let mut total = self.own_workload;
        for work in self.peer_work.values() {
            if now.since(work.updated_at) < PEER_WORK_TTL {
                total.add(work.workload);
            }
        }
        total
    }

    /// Records that a request was sent; returns how many of this instance use `key` now.
    pub fn on_sent(&mut self, now: Timestamp, workload: Workload, key: Option<&AdapterKey>) -> u32 {
        self.own_workload.add(workload);
        self.pause.on_sent(now);
        self.last_sent = now;
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
        key.map_or(0, |key| self.begin_use(key))
    }

    /// Records that a request of this instance uses `key` or is about to; returns how many do
    /// now.
    pub fn begin_use(&mut self, key: &AdapterKey) -> u32 {
        let count = self.in_use.entry(key.clone()).or_default();
        *count += 1;
        *count
    }

    /// Records that a use has ended; returns how many are left.
    pub fn end_use(&mut self, key: &AdapterKey) -> u32 {
        let Some(count) = self.in_use.get_mut(key) else { return 0 };
        *count -= 1;
        let left = *count;
        if left == 0 {
            self.in_use.remove(key);
        }
        left
    }

    /// Records that a request has ended, with the work that is still counted for it; returns how
    /// many of this instance use `key` now.
    pub fn on_request_ended(&mut self, workload: Workload, key: Option<&AdapterKey>) -> u32 {
        self.own_workload.remove(workload);
        key.map_or(0, |key| self.end_use(key))
    }

    /// Number of this instance's requests by the adapter or model that they use.
    pub fn in_use(&self) -> &HashMap<AdapterKey, u32> {
        &self.in_use
    }

    /// Records that the response to a request has begun.
    pub fn on_response_begun(&mut self, now: Timestamp) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.on_bytes_received(now);
    }

    /// Records that bytes came from the replica.
    pub fn on_bytes_received(&mut self, now: Timestamp) {
        self.last_byte_at = now;
    }

    /// Records that a request ended before its response began.
    pub fn on_ended_without_response(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Records that no connection could be made.
    pub fn on_unreachable(&mut self, now: Timestamp) {
        self.unreachable_until = now + UNREACHABLE_TIME;
        self.on_failure(now, 1.0);
    }

    /// Adds a failure to the score; `weight` 1 is a broken connection.
    pub fn on_failure(&mut self, now: Timestamp, weight: f64) {
        self.failures = (self.failure_score(now) + weight, now);
    }

    /// Sum of the weights of failures, decayed exponentially with their age.
    pub fn failure_score(&self, now: Timestamp) -> f64 {
        let (score, at) = self.failures;
        let half_lives = now.since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        score * (-half_lives).exp2()
    }

    /// Whether the replica has requests of this instance and has sent nothing for long.
    pub fn has_stopped_sending(&self, now: Timestamp) -> bool {
        self.own_workload.requests > 0 && now.since(self.last_byte_at) >= STOPPED_SENDING_AFTER
    }

    /// Whether requests have no response yet and the replica has sent nothing, for longer than
    /// reading their prompts explains.
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        if self.unanswered == 0 {
            return false;
        }
        let since = self.last_byte_at.max(self.unanswered_since);
        let (backlog, told_at) = self.owner_backlog;
        let backlog = if now.since(told_at) < BACKLOG_TTL { backlog } else { 0 };
        let as_told = backlog.saturating_add(self.own_workload.unread_tokens);
        let unread = self.workload(now).unread_tokens.max(as_told);
        let unread = u32::try_from(unread).unwrap_or(u32::MAX);
        now.since(since) >= UNRESPONSIVE_AFTER + UNRESPONSIVE_PER_TOKEN * unread
    }
}
