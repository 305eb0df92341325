//! Settings of a relay, read from a JSON file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;

use super::settings_fields::Bounds;
use super::settings_fields::SettingFault;
use super::settings_fields::SettingsFields;
use crate::decide::config_freshness::FreshnessLimits;
use crate::decide::resource_limits::ResourceLimits;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::DataCentre;
use crate::names::InstanceName;

/// Time within which a new configuration is known everywhere, in ms, unless the settings say.
const DEFAULT_CONFIG_PROPAGATION_MS: u64 = 3000;
/// Lease on a replica's orders, in ms, unless the settings say: longer than a report of the replica takes to
/// show what an earlier holder ordered.
const DEFAULT_ORDER_LEASE_MS: u64 = 3000;
/// Time between SIGTERM and SIGKILL, in seconds, unless the settings say; no longer than supervisors
/// commonly wait, so that nothing is cut off by a kill.
const DEFAULT_SHUTDOWN_S: f64 = 8.0;
/// Retry budget unless the settings say: enough for a replica in ten to fail, and far too little to double
/// the load of a service that fails as a whole.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Retries on top of that share, unless the settings say; for services with few requests.
const DEFAULT_RETRY_ALLOWANCE: f64 = 10.0;
/// Window in which retries are counted, in seconds, unless the settings say.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Least limit on the age of the configuration, in ms. Proofs are renewed by polls of 500 ms and
/// exchanges each 350 ms, so that a shorter limit would refuse requests all the time.
const MIN_FRESHNESS_LIMIT_MS: u64 = 1500;

const BYTES_PER_MIB: f64 = 1_048_576.0;
/// Longest time that a setting may name, in seconds: a day. Far longer ones can't be added to a clock.
const MAX_TIME_S: f64 = 86_400.0;

/// Listen addresses, one for each kind of client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayListen {
    /// For callers' requests.
    pub caller: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For calls of other entry instances.
    pub peer: SocketAddr,
    /// Address under which other instances reach that listener; `None` if it is the same.
    pub advertised_peer: Option<SocketAddr>,
    /// For metrics; `None` serves none.
    pub metrics: Option<SocketAddr>,
}

impl RelayListen {
    fn parse(value: Value) -> Result<(Self, Vec<SettingFault>)> {
        let mut fields = SettingsFields::new("listen.", value)?;
        let mut listen = Self {
            caller: fields.needed("caller")?,
            ready: fields.needed("ready")?,
            peer: fields.needed("peer")?,
            advertised_peer: fields.optional("advertised_peer"),
            metrics: fields.optional("metrics"),
        };
        let needed = [("caller", listen.caller), ("ready", listen.ready), ("peer", listen.peer)];
        let taken_by = |addr: SocketAddr| needed.iter().find(|(_, other)| is_shared(addr, *other));
        if let Some((purpose, _)) = listen.metrics.and_then(taken_by) {
            let detail = format!("is also the address for {purpose}; metrics aren't served");
            fields.note("metrics", detail);
            listen.metrics = None;
        }
        Ok((listen, fields.into_faults()))
    }
}

/// Settings of a relay; while it runs, only changed `seeds` take effect.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Name of the instance; unique in the fleet.
    pub instance: InstanceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Listen addresses.
    pub listen: RelayListen,
    /// Peer addresses of instances to contact first; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store that holds the published state.
    pub published: SocketAddr,
    /// Length of the lease on a replica's orders, in whole ms; only its holder may give any.
    pub order_lease_ms: u64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub shutdown_limit_s: f64,
    /// Retry budget of all instances together, as a share of the requests.
    pub retry_ratio: f64,
    /// Retries that all instances together may send in a window on top of that share.
    pub retry_allowance: f64,
    /// Sliding window in which requests and retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Time after which no request with a revoked key may run, in ms; `None` if keys may be used
    /// for longer.
    pub key_revocation_ms: Option<u64>,
    /// Time within which a new configuration is in effect at every instance that is in touch, in ms.
    pub config_propagation_ms: Option<u64>,
    /// Time for which the store of the published state keeps its changes, in seconds; `None` if that
    /// isn't known.
    pub published_history_s: Option<f64>,
    /// Time between two heartbeats of a replica, in ms; `None` if that isn't known.
    pub replica_heartbeat_ms: Option<f64>,
    /// Bandwidth of this instance's link, in Mbit/s; `None` if it isn't known.
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in MiB; `None` if it isn't known.
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may have open; `None` if it isn't known.
    pub max_descriptors: Option<usize>,
}

impl RelaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// `Malformed` if the file can't be read or a value is missing, unknown or out of bounds.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&Self::read_text(path)?)
    }

    /// Reads a settings file without checking what it holds.
    ///
    /// # Errors
    ///
    /// `Malformed` if the file can't be read.
    pub fn read_text(path: &Path) -> Result<String> {
        fs::read_to_string(path).map_err(|e| {
            settings_error(format!("settings file {} can't be read: {e}", path.display()))
        })
    }

    /// Parses settings given as JSON text, in which every value must be right.
    ///
    /// # Errors
    ///
    /// `Malformed` if a value is missing, unknown or out of bounds.
    pub fn parse(text: &str) -> Result<Self> {
        let (settings, faults) = Self::parse_usable(text)?;
        faults.into_iter().next().map_or(Ok(settings), |fault| Err(fault.into_error()))
    }

    /// Parses settings given as JSON text; a value that the process can do without is left out if it can't
    /// be used, and a limit that can't be kept is replaced by the nearest that can.
    ///
    /// # Errors
    ///
    /// `Malformed` if a value is missing or wrong without which the process can't work, or with another
    /// one would break what it promises.
    pub fn parse_usable(text: &str) -> Result<(Self, Vec<SettingFault>)> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| settings_error(format!("settings: {e}")))?;
        let mut fields = SettingsFields::new("", value)?;
        let (listen, listen_faults) = RelayListen::parse(fields.needed("listen")?)?;
        let time = Bounds::Positive(MAX_TIME_S);
        let time_ms = Bounds::Positive(MAX_TIME_S * 1e3);
        let hint = Bounds::Positive(f64::MAX);
        let number = |value: Option<f64>, default| value.unwrap_or(default);
        let settings = Self {
            instance: fields.needed("instance")?,
            data_centre: fields.needed("data_centre")?,
            listen,
            seeds: fields.list("seeds"),
            published: fields.needed("published")?,
            order_lease_ms: fields
                .number("order_lease_ms", Bounds::NotNegative)
                .map_or(DEFAULT_ORDER_LEASE_MS, |ms| ms.ceil() as u64),
            shutdown_limit_s: number(fields.number("shutdown_limit_s", time), DEFAULT_SHUTDOWN_S),
            retry_ratio: number(
                fields.number("retry_ratio", Bounds::NotNegative),
                DEFAULT_RETRY_RATIO,
            ),
            retry_allowance: number(
                fields.number("retry_allowance", Bounds::NotNegative),
                DEFAULT_RETRY_ALLOWANCE,
            ),
            retry_window_s: number(fields.number("retry_window_s", time), DEFAULT_RETRY_WINDOW_S),
            key_revocation_ms: Self::key_revocation(&mut fields)?,
            config_propagation_ms: fields
                .number("config_propagation_ms", time_ms)
                .map(|ms| raised_propagation(&mut fields, ms as u64)),
            published_history_s: fields.number("published_history_s", hint),
            replica_heartbeat_ms: fields.number("replica_heartbeat_ms", hint),
            link_mbps: fields.number("link_mbps", hint),
            memory_mb: fields.number("memory_mb", hint),
            max_descriptors: fields.number("max_descriptors", hint).map(|count| count as usize),
        };
        let mut faults = fields.into_faults();
        faults.extend(listen_faults);
        Ok((settings, faults))
    }

    /// A limit on the use of revoked keys is never left out or raised: a wrong one ends the start, and one
    /// that no proof keeps for long has requests with keys refused meanwhile.
    fn key_revocation(fields: &mut SettingsFields) -> Result<Option<u64>> {
        let name = "key_revocation_ms";
        let limit = fields.number_or_error(name, Bounds::Positive(MAX_TIME_S * 1e3))?;
        let limit = limit.map(|ms| ms as u64);
        if limit.is_some_and(|ms| ms < MIN_FRESHNESS_LIMIT_MS) {
            let detail = format!(
                "must be at least {MIN_FRESHNESS_LIMIT_MS} ms, found {}; with it, requests with keys are refused whenever the configuration is older",
                limit.unwrap_or_default()
            );
            fields.note(name, detail);
        }
        Ok(limit)
    }

    /// Time for which the store of the published state keeps its changes; `None` if that isn't known.
    pub fn published_history(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.published_history_s?).ok()
    }

    /// Time between two heartbeats of a replica; `None` if that isn't known.
    pub fn replica_heartbeat(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.replica_heartbeat_ms? / 1e3).ok()
    }

    /// Limits on the age of the configuration.
    pub fn freshness_limits(&self) -> FreshnessLimits {
        let propagation_ms = self.config_propagation_ms.unwrap_or(DEFAULT_CONFIG_PROPAGATION_MS);
        FreshnessLimits {
            revocation: self.key_revocation_ms.map(Duration::from_millis),
            propagation: Duration::from_millis(propagation_ms),
        }
    }

    /// Memory and descriptors that the process may use.
    pub fn resource_limits(&self) -> ResourceLimits {
        let memory_bytes = self.memory_mb.map(|mb| (mb * BYTES_PER_MIB) as usize);
        ResourceLimits::new(memory_bytes, self.max_descriptors)
    }

    /// Bandwidth of this instance's link, in whole Mbit/s; 0 if it isn't known.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps.map_or(0, |mbps| mbps as u32)
    }

    /// Time between SIGTERM and SIGKILL.
    pub fn shutdown_limit(&self) -> Duration {
        Duration::from_secs_f64(self.shutdown_limit_s)
    }

    /// Length of the lease on a replica's orders.
    pub fn order_lease(&self) -> Duration {
        Duration::from_millis(self.order_lease_ms)
    }

    /// Sliding window in which requests and retries are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}

/// Whether one socket only can listen on both.
fn is_shared(one: SocketAddr, other: SocketAddr) -> bool {
    let is_any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (is_any || one.ip() == other.ip())
}

/// The time within which changes are in effect, raised to what proofs can keep.
fn raised_propagation(fields: &mut SettingsFields, ms: u64) -> u64 {
    if ms < MIN_FRESHNESS_LIMIT_MS {
        let detail = format!(
            "must be at least {MIN_FRESHNESS_LIMIT_MS} ms, found {ms}; {MIN_FRESHNESS_LIMIT_MS} ms is used"
        );
        fields.note("config_propagation_ms", detail);
    }
    ms.max(MIN_FRESHNESS_LIMIT_MS)
}

fn settings_error(detail: String) -> Error {
    Error::new(ErrorKind::Malformed, detail)
}
