//! The state that the tasks of one relay share; each part has its own lock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;

use super::Protocol;
use super::PublishedTopic;
use super::RelaySettings;
use super::addresses::Addresses;
use super::connection_pool::ConnectionPool;
use super::freshness_tracker::FreshnessTracker;
use super::log_event::LogEvent;
use super::log_event::record;
use super::metrics::Metrics;
use super::origin_datagrams::OriginDatagrams;
use super::pressure::Pressure;
use super::quotas::Quotas;
use super::replica_ownership::ReplicaOwnership;
use super::start_step::StartStep;
use super::usage_count::UsageCount;
use crate::daemon::Clock;
use crate::decide::config_freshness::ConfigProof;
use crate::decide::config_freshness::ConfigTrust;
use crate::decide::listening::ListenAddress;
use crate::decide::reach::PassOnPeers;
use crate::decide::readiness::AcceptHealth;
use crate::decide::readiness::Missing;
use crate::decide::readiness::Readiness;
use crate::decide::readiness::ReadinessReport;
use crate::decide::rendezvous;
use crate::decide::traffic::AdapterHomes;
use crate::decide::traffic::CacheListings;
use crate::decide::traffic::CrashGuard;
use crate::decide::traffic::DeclaredVersions;
use crate::decide::traffic::HistoryKnowledge;
use crate::decide::traffic::HolderHistory;
use crate::decide::traffic::OrderLease;
use crate::decide::traffic::PeerRecord;
use crate::decide::traffic::Peers;
use crate::decide::traffic::PromptGuard;
use crate::decide::traffic::PublishedItem;
use crate::decide::traffic::PublishedView;
use crate::decide::traffic::Replicas;
use crate::decide::traffic::RetryShare;
use crate::decide::traffic::Shutdown;
use crate::decide::traffic::StreamOrigins;
use crate::decide::traffic::TrafficConfig;
use crate::decide::traffic::serial_at_start;
use crate::decide::transfer::FetchTurn;
use crate::decide::transfer::Lag;
use crate::edge::HttpClient;
use crate::names::BackendName;
use crate::names::Timestamp;
use crate::replica_history::HistoryReader;
use crate::send_permits::SendPermits;
use crate::transfer::ValueTransfers;

/// Time without a successful read of the published state after which an instance that hears
/// none of its peers counts as isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);
/// Time for which an idle connection for control calls is kept. In a large fleet each instance calls
/// hundreds of others in turn, and a connection takes memory at both ends.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Fencing numbers in one millisecond; an instance draws the one that its name hashes to, so
/// that instances draw different ones.
const FENCES_PER_MS: u64 = 1024;

/// Time by which an earlier process of this instance may outlast its shutdown.
const PREDECESSOR_MARGIN: Duration = Duration::from_secs(2);
/// Time by which the clock of another instance is ahead at most, in ms.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 60 * 60 * 1000;

/// Shared state of one relay.
pub struct Node {
    /// Settings as read at the start.
    pub settings: RelaySettings,
    /// Addresses that it listens on.
    pub addresses: Addresses,
    /// Header names, body formats and control calls of the deployment.
    pub protocol: Arc<dyn Protocol>,
    /// Client for peers, the published state, and the replicas' reports and orders.
    pub http: HttpClient,
    /// Idle connections to replicas for forwarded requests.
    pub connection_pool: ConnectionPool,
    /// Traffic configuration in effect; `None` until one is known.
    pub config: watch::Sender<Option<Arc<TrafficConfig>>>,
    /// Published item that it was decoded from.
    pub config_item: watch::Sender<Option<PublishedItem>>,
    /// How fresh it is.
    pub freshness: FreshnessTracker,
    /// What it keeps for others.
    pub pressure: Pressure,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes the task that gives orders.
    pub order_wake: Notify,
    /// Wakes the exchange task after changes of the published state that peers need.
    pub exchange_wake: Notify,
    /// Counter that grows whenever the plan of an owned replica changes.
    pub plan_changes: watch::Sender<u64>,
    /// Counter that grows whenever a turn of a long prompt ends.
    pub turn_changes: watch::Sender<u64>,
    /// Tells other instances where streams of this one began.
    pub origin_datagrams: OriginDatagrams,
    /// Reads which replicas left before this process followed them.
    pub history: HistoryReader,
    /// Held while replicas are asked for listings of their KV caches.
    pub cache_listing_turn: tokio::sync::Mutex<()>,
    /// Permits to send to replicas that name a limit.
    pub permits: Arc<SendPermits>,
    /// Large values of the published state.
    pub transfers: ValueTransfers,
    /// Quotas of client accounts.
    pub quotas: Quotas,
    /// Requests of callers in progress.
    pub in_flight: AtomicUsize,
    /// Responses to callers, and to instances that pass requests on, that aren't written yet to
    /// their connections.
    pub unfinished_responses: UsageCount,
    /// Requests of callers whose heads have begun to arrive.
    pub arriving_heads: UsageCount,
    clock: Clock,
    shutdown: watch::Sender<Option<Shutdown>>,
    accepts_callers: watch::Sender<bool>,
    last_accepted: Mutex<Timestamp>,
    accept_health: Mutex<AcceptHealth>,
    readiness: Mutex<Readiness>,
    joined: AtomicBool,
    highest_fence: AtomicU64,
    use_serial: AtomicU64,
    replicas: Mutex<Replicas>,
    versions: Mutex<DeclaredVersions>,
    peers: Mutex<Peers>,
    retry_share: Mutex<RetryShare>,
    crash_guard: Mutex<CrashGuard>,
    prompt_guard: Mutex<PromptGuard>,
    stream_origins: Mutex<StreamOrigins>,
    cache_listings: Mutex<CacheListings>,
    homes: Mutex<AdapterHomes>,
    pass_on_peers: Mutex<PassOnPeers>,
    holder_history: Mutex<HolderHistory>,
    owned: Mutex<HashMap<BackendName, ReplicaOwnership>>,
    operator_turn: Mutex<FetchTurn>,
    replica_turn: Mutex<FetchTurn>,
    operator_view: Mutex<PublishedView>,
    replica_view: Mutex<PublishedView>,
}

impl Node {
    /// State at the start: no configuration, no replicas, and no peers but the seeds.
    pub fn new(settings: RelaySettings, protocol: Arc<dyn Protocol>) -> Self {
        let started_ms = unix_ms();
        let me = PeerRecord {
            name: settings.instance.clone(),
            addr: settings.listen.advertised_peer.unwrap_or(settings.listen.peer),
            started_ms,
            heartbeat: 0,
            settled: false,
            draining: false,
            data_centre: Some(settings.data_centre.clone()),
            reads_beats: true,
            cut_from: Vec::new(),
            gives_no_orders: false,
            link_mbps: settings.link_mbps(),
        };
        let holder_wait = OrderLease::new(settings.order_lease()).watch_time();
        let retry_share = RetryShare::new(
            settings.retry_ratio,
            settings.retry_allowance,
            settings.retry_window(),
        );
        let http = HttpClient::with_idle_timeout(CONTROL_IDLE_TIMEOUT);
        let clock = Clock::start();
        let me_addr = me.addr;
        let first_serial = serial_at_start(started_ms);
        let history = HistoryKnowledge::new(settings.published_history());
        let pressure = Pressure::new(clock, settings.resource_limits());
        let predecessor_limit = settings.shutdown_limit() + PREDECESSOR_MARGIN;
        let addresses = Addresses::new(settings.listen.clone(), clock, predecessor_limit);
        let name = settings.instance.clone();
        let permits = SendPermits::new(name, http.clone(), clock, first_serial);
        let mut peers = Peers::new(me, settings.seeds.clone());
        peers.set_role(addresses.fleet_role());
        Self {
            addresses,
            connection_pool: ConnectionPool::default(),
            config: watch::Sender::new(None),
            config_item: watch::Sender::new(None),
            freshness: FreshnessTracker::new(settings.freshness_limits(), &settings.instance),
            metrics: Metrics::new(&pressure),
            pressure,
            order_wake: Notify::new(),
            exchange_wake: Notify::new(),
            plan_changes: watch::Sender::new(0),
            turn_changes: watch::Sender::new(0),
            origin_datagrams: OriginDatagrams::default(),
            history: HistoryReader::new(Arc::clone(&protocol), http.clone(), &settings),
            cache_listing_turn: tokio::sync::Mutex::default(),
            permits: Arc::new(permits),
            transfers: ValueTransfers::new(me_addr, settings.link_mbps(), http.clone(), clock),
            operator_turn: Mutex::default(),
            replica_turn: Mutex::default(),
            quotas: Quotas::new(clock.now()),
            in_flight: AtomicUsize::new(0),
            unfinished_responses: UsageCount::default(),
            arriving_heads: UsageCount::default(),
            clock,
            shutdown: watch::Sender::new(None),
            accepts_callers: watch::Sender::new(true),
            last_accepted: Mutex::new(Timestamp::ZERO),
            accept_health: Mutex::default(),
            readiness: Mutex::new(Readiness::new(Timestamp::ZERO)),
            joined: AtomicBool::new(false),
            highest_fence: AtomicU64::new(0),
            use_serial: AtomicU64::new(first_serial),
            replicas: Mutex::default(),
            versions: Mutex::default(),
            peers: Mutex::new(peers),
            retry_share: Mutex::new(retry_share),
            crash_guard: Mutex::default(),
            prompt_guard: Mutex::default(),
            stream_origins: Mutex::default(),
            cache_listings: Mutex::default(),
            homes: Mutex::default(),
            pass_on_peers: Mutex::default(),
            holder_history: Mutex::new(HolderHistory::new(Timestamp::ZERO, holder_wait)),
            owned: Mutex::default(),
            operator_view: Mutex::default(),
            replica_view: Mutex::new(PublishedView::new(history)),
            http,
            protocol,
            settings,
        }
    }

    /// Current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Known replicas.
    pub fn replicas(&self) -> MutexGuard<'_, Replicas> {
        lock(&self.replicas)
    }

    /// Declared versions of adapters.
    pub fn versions(&self) -> MutexGuard<'_, DeclaredVersions> {
        lock(&self.versions)
    }

    /// Known entry instances.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// This instance's share of the retry budget.
    pub fn retry_share(&self) -> MutexGuard<'_, RetryShare> {
        lock(&self.retry_share)
    }

    /// Requests that are suspected of crashing replicas.
    pub fn crash_guard(&self) -> MutexGuard<'_, CrashGuard> {
        lock(&self.crash_guard)
    }

    /// Prompt parts that are suspected of crashing replicas.
    pub fn prompt_guard(&self) -> MutexGuard<'_, PromptGuard> {
        lock(&self.prompt_guard)
    }

    /// Software versions at which streams began.
    pub fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.stream_origins)
    }

    /// What replicas' KV caches held when they were last asked.
    pub fn cache_listings(&self) -> MutexGuard<'_, CacheListings> {
        lock(&self.cache_listings)
    }

    /// How many replicas should hold each adapter.
    pub fn homes(&self) -> MutexGuard<'_, AdapterHomes> {
        lock(&self.homes)
    }

    /// Requests that are passed on to other instances, and those that these pass on.
    pub fn pass_on_peers(&self) -> MutexGuard<'_, PassOnPeers> {
        lock(&self.pass_on_peers)
    }

    /// Recent holders of replicas' orders.
    pub fn holder_history(&self) -> MutexGuard<'_, HolderHistory> {
        lock(&self.holder_history)
    }

    /// Replicas that this instance owns or is about to own: it gives them their orders.
    pub fn owned(&self) -> MutexGuard<'_, HashMap<BackendName, ReplicaOwnership>> {
        lock(&self.owned)
    }

    /// This instance's view of a topic of the published state.
    pub fn view(&self, topic: PublishedTopic) -> MutexGuard<'_, PublishedView> {
        match topic {
            PublishedTopic::Operator => lock(&self.operator_view),
            PublishedTopic::Replicas => lock(&self.replica_view),
        }
    }

    /// Turn to ask peers for changes of a topic.
    pub fn fetch_turn(&self, topic: PublishedTopic) -> MutexGuard<'_, FetchTurn> {
        match topic {
            PublishedTopic::Operator => lock(&self.operator_turn),
            PublishedTopic::Replicas => lock(&self.replica_turn),
        }
    }

    /// For how long this instance has lacked changes of the operator's items that a peer has.
    pub fn config_lag(&self) -> Lag {
        Lag(self.view(PublishedTopic::Operator).lacks_for(self.now()))
    }

    /// Configuration in effect; `None` until one is known.
    pub fn current_config(&self) -> Option<Arc<TrafficConfig>> {
        self.config.borrow().clone()
    }

    /// Whether callers need API keys, so that the freshness of the configuration matters.
    pub fn requires_keys(&self) -> bool {
        self.config.borrow().as_ref().is_some_and(|config| config.accounts.is_some())
    }

    /// How far the configuration in effect can be trusted now; a change is logged. What is decided
    /// with it must be decided before the next `await`, by the configuration in effect now.
    pub fn config_trust(&self) -> ConfigTrust {
        self.freshness.logged_trust()
    }

    /// Time since the store was asked for the state that proves the configuration, in ms; `None`
    /// without a proof.
    pub fn config_age_ms(&self) -> Option<u64> {
        self.freshness.proof_age_ms()
    }

    /// Proof of the configuration for a peer that asks; `None` unless callers need API keys.
    pub fn config_proof(&self) -> Option<ConfigProof> {
        self.freshness.proof().filter(|_| self.requires_keys())
    }

    /// Whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// Whether new requests are accepted, as they still are for a while after a shutdown began.
    pub fn accepts_requests(&self) -> bool {
        self.shutdown.borrow().is_none_or(|shutdown| shutdown.accepts_requests(self.now()))
    }

    /// Begins the shutdown, of which peers are told, or returns the one that has begun.
    pub fn shut_down(&self) -> Shutdown {
        self.peers().set_draining();
        let limit = self.settings.shutdown_limit();
        let begun = Shutdown::new(self.now(), limit);
        self.shutdown.send_if_modified(|shutdown| {
            let is_first = shutdown.is_none();
            shutdown.get_or_insert(begun);
            is_first
        });
        self.shutdown.borrow().unwrap_or(begun)
    }

    /// Completes when a shutdown has begun.
    pub async fn until_shutdown(&self) -> Shutdown {
        let mut shutdown = self.shutdown.subscribe();
        let begun = shutdown.wait_for(Option::is_some).await.ok().and_then(|begun| *begun);
        match begun {
            Some(begun) => begun,
            None => std::future::pending().await,
        }
    }

    /// Completes shortly before a shutdown ends the process, in time for last responses.
    pub async fn until_last_responses(&self) {
        let begun = self.until_shutdown().await;
        sleep(begun.time_until_last_responses(self.now())).await;
    }

    /// Notes that a caller's connection is accepted.
    pub fn on_caller_accepted(&self) {
        *lock(&self.last_accepted) = self.now();
        lock(&self.accept_health).on_accepted();
    }

    /// Notes that no caller's connection can be accepted.
    pub fn on_caller_accept_failed(&self) {
        lock(&self.accept_health).on_failed(self.now());
    }

    /// When a caller's connection was accepted last; zero before the first one.
    pub fn last_accepted(&self) -> Timestamp {
        *lock(&self.last_accepted)
    }

    /// Ends the accepting of callers' connections; those that wait to be accepted still are.
    pub fn stop_accepting_callers(&self) {
        self.accepts_callers.send_replace(false);
    }

    /// Completes when callers' connections are no longer accepted.
    pub async fn until_callers_are_not_accepted(&self) {
        let mut accepts_callers = self.accepts_callers.subscribe();
        if accepts_callers.wait_for(|accepts| !accepts).await.is_err() {
            std::future::pending().await
        }
    }

    /// Notes that the peer `by` has replied, or if it is `None` that the time to wait for one is over.
    pub fn set_joined(&self, by: Option<SocketAddr>) {
        let was_joined = self.joined.swap(true, Ordering::Relaxed);
        if !was_joined {
            StartStep::Joined { by }.record(self.now());
        }
    }

    /// Whether a peer has replied, or the time to wait for one is over.
    pub fn is_joined(&self) -> bool {
        self.joined.load(Ordering::Relaxed)
    }

    /// What is missing for callers to send requests here; nothing if the instance is ready.
    pub fn missing(&self) -> Vec<Missing> {
        let knows_replicas = self.view(PublishedTopic::Replicas).is_usable(self.now());
        let propagation = self.settings.freshness_limits().propagation;
        let all = [
            (Missing::Join, !self.is_joined()),
            (Missing::Config, self.config.borrow().is_none()),
            (Missing::NewerConfig, self.config_lag().is_too_long(propagation)),
            (Missing::Replicas, !knows_replicas),
            (Missing::Contact, self.is_isolated()),
            (Missing::CallerAddress, !self.addresses.is_bound(ListenAddress::Caller)),
            (Missing::Accepts, lock(&self.accept_health).is_failing(self.now())),
            (Missing::Service, self.is_draining()),
        ];
        all.into_iter().filter_map(|(missing, is_missing)| is_missing.then_some(missing)).collect()
    }

    /// What was missing at the last check, and since when.
    pub fn readiness(&self) -> MutexGuard<'_, Readiness> {
        lock(&self.readiness)
    }

    /// What is missing now, since when, and what this instance waits for.
    pub fn readiness_report(&self) -> ReadinessReport {
        let missing = self.missing();
        let now = self.now();
        let is_ready = missing.is_empty();
        let topics = PublishedTopic::ALL;
        let failing = |topic| self.view(topic).failing_read(now, topic.name());
        let pending = |topic| self.view(topic).pending_read(now, topic.name());
        let partial = topics.into_iter().filter(|topic| self.view(*topic).is_part());
        let partial_topics = partial.map(PublishedTopic::name).collect();
        let readiness = self.readiness();
        let unready = readiness.unready_for(now).unwrap_or_default();
        ReadinessReport {
            ready: is_ready,
            unready_ms: (!is_ready).then_some(unready.as_millis() as u64),
            missing: readiness.describe(now, &missing),
            failing_reads: topics.into_iter().filter_map(failing).collect(),
            pending_reads: topics.into_iter().filter_map(pending).collect(),
            partial_topics,
            unbound: self.addresses.unbound(),
            store: self.settings.published,
            seeds: self.settings.seeds.len(),
            peers: self.peers().live(now).count(),
        }
    }

    /// Whether there were peers, but now neither they nor the published state can be reached.
    fn is_isolated(&self) -> bool {
        let now = self.now();
        let had_peers = self.peers().remembered_count() > 1;
        let hears_peers = self.peers().live(now).next().is_some();
        let reads = |topic| {
            let last_success = self.view(topic).last_success;
            last_success.is_some_and(|at| now.since(at) < ISOLATED_AFTER)
        };
        had_peers
            && !hears_peers
            && !reads(PublishedTopic::Operator)
            && !reads(PublishedTopic::Replicas)
    }

    /// Draws a fencing number that is above every known one and that no other instance draws.
    pub fn next_fence(&self) -> u64 {
        let name = self.settings.instance.as_str();
        let own = rendezvous::score("fence", name) % FENCES_PER_MS;
        let by_clock = unix_ms();
        let after_seen = self.highest_fence.load(Ordering::Relaxed) / FENCES_PER_MS + 1;
        let fence = by_clock.max(after_seen) * FENCES_PER_MS + own;
        self.on_fence_seen(fence);
        fence
    }

    /// Notes a fencing number that is in use, unless no instance can have drawn it: their clocks differ
    /// by less, and there would be no higher one.
    pub fn on_fence_seen(&self, fence: u64) {
        let max_ms = unix_ms().saturating_add(MAX_CLOCK_LEAD_MS);
        if fence / FENCES_PER_MS > max_ms {
            record(&LogEvent::Undecodable { what: "fencing number", detail: &fence.to_string() });
            return;
        }
        self.highest_fence.fetch_max(fence, Ordering::Relaxed);
    }

    /// Highest known fencing number.
    pub fn highest_fence(&self) -> u64 {
        self.highest_fence.load(Ordering::Relaxed)
    }

    /// Draws a serial number for a notice of adapter uses, or for a turn of a long prompt.
    pub fn next_use_serial(&self) -> u64 {
        self.use_serial.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Serial number drawn last.
    pub fn use_serial(&self) -> u64 {
        self.use_serial.load(Ordering::Relaxed)
    }

    /// Wakes the requests that wait for a load.
    pub fn on_plan_changed(&self) {
        self.plan_changes.send_modify(|count| *count += 1);
    }
}

/// Unix time in milliseconds; a clock before 1970 counts as 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Locks a part of the state, also if a panic elsewhere poisoned its lock.
fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}
