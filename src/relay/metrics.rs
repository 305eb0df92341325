//! Metrics of one relay, exported as text in the OpenMetrics format.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use super::PublishedTopic;
use super::account_metrics::AccountMetrics;
use super::attempt_failure::AttemptFailure;
use super::node::Node;
use super::panic_log;
use super::pressure::Pressure;
use super::version_source::VersionSource;
use crate::decide::config_freshness::ConfigTrust;
use crate::decide::listening::ListenAddress;
use crate::decide::readiness::Missing;
use crate::decide::traffic::RouteKind;
use crate::names::BackendName;
use crate::send_permits::PermitSource;
use crate::telemetry::LostLines;

/// Bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];

/// Kind of a route, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum RouteKindLabel {
    Idempotent,
    AtMostOnce,
    Stream,
}

impl From<RouteKind> for RouteKindLabel {
    fn from(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Idempotent => Self::Idempotent,
            RouteKind::AtMostOnce => Self::AtMostOnce,
            RouteKind::Stream { .. } => Self::Stream,
        }
    }
}

/// How a request ended, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// A replica's response was forwarded.
    Answered,
    /// A replica's server error was forwarded.
    Failed,
    /// It was refused and hasn't run.
    Refused,
    /// It may have run.
    Unknown,
    /// It may have run, and its time was over.
    TimedOut,
    /// A stream to the caller was aborted midway.
    Cut,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: RouteKindLabel,
    outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: RouteKindLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReplicaLabels {
    replica: ReplicaLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    replica: ReplicaLabel,
    reason: AttemptFailure,
}

/// What became of a stream that a caller takes up, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ResumptionOutcome {
    /// A replica sends the rest of it.
    GoesOn,
    /// No replica does, for whatever reason.
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResumptionLabels {
    source: VersionSource,
    outcome: ResumptionOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PermitLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReplicaLabel(BackendName);

impl EncodeLabelValue for ReplicaLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        EncodeLabelValue::encode(&self.0.as_str(), encoder)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AddressLabels {
    address: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MissingLabels {
    what: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TopicLabels {
    topic: &'static str,
}

/// Counters, gauges and histograms of one relay.
#[derive(Debug)]
pub struct Metrics {
    /// Those of client accounts and their quotas.
    pub accounts: AccountMetrics,
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    first_byte: Family<KindLabels, Histogram>,
    longest_pause: Family<KindLabels, Histogram>,
    load_wait: Histogram,
    sent: Family<ReplicaLabels, Counter>,
    attempts_failed: Family<AttemptLabels, Counter>,
    resumptions: Family<ResumptionLabels, Counter>,
    permits: Family<PermitLabels, Counter>,
    cut_services: Gauge,
    taken: Gauge,
    undecodable_datagrams: Counter,
    odd_items: Family<TopicLabels, Counter>,
    in_flight: Gauge,
    replicas: Gauge,
    peers: Gauge,
    config_version: Gauge,
    quarantined_parts: Gauge,
    published_age: Family<TopicLabels, Gauge>,
    published_failing: Family<TopicLabels, Gauge>,
    published_failures: Family<TopicLabels, Counter>,
    published_partial: Family<TopicLabels, Gauge>,
    ready: Gauge,
    missing: Family<MissingLabels, Gauge>,
    config_proof_age: Gauge,
    config_trust: Gauge,
    log_lines_dropped: Gauge,
    log_lines_unwritten: Gauge,
    value_bytes: Counter,
    value_failures: Counter,
    config_lag: Gauge,
    bind_failures: Counter,
    addresses_missing: Family<AddressLabels, Gauge>,
    task_failures: Counter,
    panics: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(BUCKET_BOUNDS_S);
        let mut metrics = Self {
            accounts: AccountMetrics::default(),
            registry: Registry::with_prefix("relay"),
            requests: Family::default(),
            refusals: Family::default(),
            first_byte: Family::new_with_constructor(histogram),
            longest_pause: Family::new_with_constructor(histogram),
            load_wait: histogram(),
            sent: Family::default(),
            attempts_failed: Family::default(),
            resumptions: Family::default(),
            permits: Family::default(),
            cut_services: Gauge::default(),
            taken: Gauge::default(),
            undecodable_datagrams: Counter::default(),
            odd_items: Family::default(),
            in_flight: Gauge::default(),
            replicas: Gauge::default(),
            peers: Gauge::default(),
            config_version: Gauge::default(),
            quarantined_parts: Gauge::default(),
            published_age: Family::default(),
            published_failing: Family::default(),
            published_failures: Family::default(),
            published_partial: Family::default(),
            ready: Gauge::default(),
            missing: Family::default(),
            config_proof_age: Gauge::default(),
            config_trust: Gauge::default(),
            log_lines_dropped: Gauge::default(),
            log_lines_unwritten: Gauge::default(),
            value_bytes: Counter::default(),
            value_failures: Counter::default(),
            config_lag: Gauge::default(),
            bind_failures: Counter::default(),
            addresses_missing: Family::default(),
            task_failures: Counter::default(),
            panics: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// All of them, with those of `pressure`.
    pub fn new(pressure: &Pressure) -> Self {
        let mut metrics = Self::default();
        pressure.register(&mut metrics.registry);
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        self.accounts.register(r);
        r.register("requests", "Requests by kind and end", self.requests.clone());
        r.register("refusals", "Requests without an answer, by reason", self.refusals.clone());
        let help = "Time until an answer's head";
        r.register_with_unit("first_byte", help, Unit::Seconds, self.first_byte.clone());
        let help = "Longest time without data in a stream";
        r.register_with_unit("longest_pause", help, Unit::Seconds, self.longest_pause.clone());
        let help = "Time that a request waited for its adapter";
        r.register_with_unit("load_wait", help, Unit::Seconds, self.load_wait.clone());
        r.register("sent", "Requests sent to a replica", self.sent.clone());
        let help = "Attempts without an answer to pass on";
        r.register("attempts_failed", help, self.attempts_failed.clone());
        let help = "Streams that callers took up, by how their version was known";
        r.register("resumptions", help, self.resumptions.clone());
        let help = "Permits asked for to send to replicas that name a limit";
        r.register("permits", help, self.permits.clone());
        let help = "Services whose replicas this instance doesn't reach";
        r.register("cut_services", help, self.cut_services.clone());
        let help = "Requests of other instances in progress";
        r.register("taken", help, self.taken.clone());
        let help = "Datagrams of other instances that couldn't be decoded";
        r.register("undecodable_datagrams", help, self.undecodable_datagrams.clone());
        let help = "Published items that couldn't be read in full, each time that they came";
        r.register("odd_items", help, self.odd_items.clone());
        r.register("in_flight", "Requests in progress", self.in_flight.clone());
        r.register("replicas", "Replicas that are known", self.replicas.clone());
        r.register("peers", "Other instances that are heard of", self.peers.clone());
        r.register("config_version", "Configuration in effect", self.config_version.clone());
        let help = "Prompt parts that are quarantined";
        r.register("quarantined_prompt_parts", help, self.quarantined_parts.clone());
        let help = "Age of the view of the published state, in ms; -1 if nothing was read";
        r.register("published_age_ms", help, self.published_age.clone());
        let help =
            "Time for which reads of the published state have failed, in ms; 0 if they don't";
        r.register("published_failing_ms", help, self.published_failing.clone());
        let help = "Failed reads of the published state";
        r.register("published_failures", help, self.published_failures.clone());
        let help = "Whether only a part of the published state could be listed: 1 if so, 0 if not";
        r.register("published_partial", help, self.published_partial.clone());
        let help = "Whether callers may send requests here: 1 if so, 0 if not";
        r.register("ready", help, self.ready.clone());
        let help = "What is missing for that: 1 if it is missing, 0 if not";
        r.register("missing", help, self.missing.clone());
        let help = "Age of the proof that the configuration is the newest, in ms; -1 without one";
        r.register("config_proof_age_ms", help, self.config_proof_age.clone());
        let help = "Trust in the configuration: 0 stale, 1 known, 2 current";
        r.register("config_trust", help, self.config_trust.clone());
        let help = "Bytes of large values received from other instances";
        r.register("value_bytes", help, self.value_bytes.clone());
        let help = "Failed asks for pieces of large values";
        r.register("value_failures", help, self.value_failures.clone());
        let help = "Time for which changes by the operator are lacking that a peer has, in ms; -1 if none is";
        r.register("config_lag_ms", help, self.config_lag.clone());
        let help = "Log lines that were lost";
        r.register("log_lines_dropped", help, self.log_lines_dropped.clone());
        let help = "Those of the lost log lines that the output didn't take";
        r.register("log_lines_unwritten", help, self.log_lines_unwritten.clone());
        let help = "Failed tries to bind an address";
        r.register("bind_failures", help, self.bind_failures.clone());
        let help = "Whether an address isn't bound: 1 if it is missing, 0 if not";
        r.register("addresses_missing", help, self.addresses_missing.clone());
        let help = "Background tasks that failed and were started again";
        r.register("task_failures", help, self.task_failures.clone());
        r.register("panics", "Panics since the start", self.panics.clone());
    }

    /// Counts an ask for a permit; `source` is who granted it, `None` if it was denied.
    pub fn on_permit(&self, source: Option<PermitSource>) {
        let outcome = match source {
            Some(PermitSource::Counter) => "granted",
            Some(PermitSource::OwnShare) => "own_share",
            None => "denied",
        };
        self.permits.get_or_create(&PermitLabels { outcome }).inc();
    }

    /// Counts a request that ended.
    pub fn on_request_end(&self, kind: RouteKind, outcome: Outcome) {
        self.requests.get_or_create(&RequestLabels { kind: kind.into(), outcome }).inc();
    }

    /// Counts a request that got no replica's response; `reason` is from a closed list.
    pub fn on_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Records the time until the head of a response.
    pub fn on_first_byte(&self, kind: RouteKind, time: Duration) {
        let labels = KindLabels { kind: kind.into() };
        self.first_byte.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Records the longest time without data in a stream.
    pub fn on_longest_pause(&self, kind: RouteKind, time: Duration) {
        let labels = KindLabels { kind: kind.into() };
        self.longest_pause.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Records how long a request waited for its adapter.
    pub fn on_load_wait(&self, time: Duration) {
        self.load_wait.observe(time.as_secs_f64());
    }

    /// Counts a request that is sent to a replica.
    pub fn on_sent(&self, replica: &BackendName) {
        let replica = ReplicaLabel(replica.clone());
        self.sent.get_or_create(&ReplicaLabels { replica }).inc();
    }

    /// Counts an attempt without a response to forward.
    pub fn on_attempt_failed(&self, replica: &BackendName, reason: AttemptFailure) {
        let replica = ReplicaLabel(replica.clone());
        self.attempts_failed.get_or_create(&AttemptLabels { replica, reason }).inc();
    }

    /// Counts a stream that a caller took up.
    pub fn on_resumption(&self, source: VersionSource, outcome: ResumptionOutcome) {
        self.resumptions.get_or_create(&ResumptionLabels { source, outcome }).inc();
    }

    /// Counts what an instance sent that was asked for pieces of a large value.
    pub fn on_value_asked(&self, bytes: usize, has_failed: bool) {
        self.value_bytes.inc_by(bytes as u64);
        self.value_failures.inc_by(u64::from(has_failed));
    }

    /// Counts a published item that can't be read in full.
    pub fn on_odd_item(&self, topic: PublishedTopic) {
        self.odd_items.get_or_create(&TopicLabels { topic: topic.name() }).inc();
    }

    /// Counts a datagram that can't be decoded.
    pub fn on_undecodable_datagram(&self) {
        self.undecodable_datagrams.inc();
    }

    /// Counts a failed read of a topic.
    pub fn on_published_failed(&self, topic: PublishedTopic) {
        self.published_failures.get_or_create(&TopicLabels { topic: topic.name() }).inc();
    }

    /// Counts a failed try to bind an address.
    pub fn on_bind_failed(&self) {
        self.bind_failures.inc();
    }

    /// Counts a background task that failed.
    pub fn on_task_failed(&self) {
        self.task_failures.inc();
    }

    /// Drops the time series of a replica that is gone.
    pub fn on_replica_gone(&self, replica: &BackendName) {
        let replica = ReplicaLabel(replica.clone());
        self.sent.remove(&ReplicaLabels { replica: replica.clone() });
        for reason in AttemptFailure::ALL {
            self.attempts_failed.remove(&AttemptLabels { replica: replica.clone(), reason });
        }
    }

    /// Sets the number of log lines that were lost so far.
    pub fn on_lines_lost(&self, lost: LostLines) {
        self.log_lines_dropped.set(gauge_value(lost.total()));
        self.log_lines_unwritten.set(gauge_value(lost.unwritten));
    }

    /// All metrics as text; the gauges take the present values of `node` first.
    ///
    /// # Errors
    ///
    /// A value can't be encoded.
    pub fn openmetrics_text(&self, node: &Node, in_flight: usize) -> Result<String, fmt::Error> {
        let now = node.now();
        self.in_flight.set(gauge_value(in_flight));
        node.pressure.update_gauges();
        self.panics.set(i64::try_from(panic_log::count()).unwrap_or(i64::MAX));
        self.replicas.set(gauge_value(node.replicas().all().count()));
        self.peers.set(gauge_value(node.peers().live(now).count()));
        self.cut_services.set(gauge_value(node.replicas().services_out_of_reach().len()));
        self.taken.set(gauge_value(node.pass_on_peers().taken()));
        let version = node.current_config().map_or(0, |config| config.version);
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.quarantined_parts.set(gauge_value(node.prompt_guard().quarantined_count()));
        for topic in PublishedTopic::ALL {
            let labels = TopicLabels { topic: topic.name() };
            let age = node.view(topic).digest(now).age_ms;
            let age = age.map_or(-1, |age| i64::try_from(age).unwrap_or(i64::MAX));
            self.published_age.get_or_create(&labels).set(age);
            let failure = node.view(topic).reads.failure(now);
            let failing_ms = failure.map_or(0, |failure| failure.failing_ms);
            let failing_ms = i64::try_from(failing_ms).unwrap_or(i64::MAX);
            self.published_failing.get_or_create(&labels).set(failing_ms);
            let is_part = i64::from(node.view(topic).is_part());
            self.published_partial.get_or_create(&labels).set(is_part);
            // A series that isn't there can't be told from one that doesn't rise.
            drop(self.published_failures.get_or_create(&labels));
        }
        self.update_readiness(&node.missing());
        let age = node.config_age_ms().map_or(-1, |age| i64::try_from(age).unwrap_or(i64::MAX));
        self.config_proof_age.set(age);
        let lag = node
            .config_lag()
            .0
            .map_or(-1, |lag| i64::try_from(lag.as_millis()).unwrap_or(i64::MAX));
        self.config_lag.set(lag);
        self.config_trust.set(match node.freshness.trust() {
            ConfigTrust::Stale => 0,
            ConfigTrust::Known => 1,
            ConfigTrust::Current => 2,
        });
        for address in ListenAddress::ALL {
            let labels = AddressLabels { address: address.name() };
            let is_missing = node.addresses.is_missing(address);
            self.addresses_missing.get_or_create(&labels).set(i64::from(is_missing));
        }
        self.accounts.set_balances(&node.quotas.balances().summary(now));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn update_readiness(&self, missing: &[Missing]) {
        self.ready.set(i64::from(missing.is_empty()));
        for what in Missing::ALL {
            let is_missing = missing.contains(&what);
            let labels = MissingLabels { what: what.name() };
            self.missing.get_or_create(&labels).set(i64::from(is_missing));
        }
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
