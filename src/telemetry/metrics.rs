//! Metrics of one instance, sent to a StatsD address over UDP.

use std::io;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;

use super::Counter;
use super::Gauge;
use super::Timing;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::InstanceName;

/// Interval at which counters and gauges are sent.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

const METRIC_PREFIX: &str = "tamaracklead";

/// Metrics of one instance; without a StatsD address counters stay in memory.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    totals: [AtomicU64; Counter::ALL.len()],
    reported: [AtomicU64; Counter::ALL.len()],
}

impl Metrics {
    /// Metrics that are counted and not sent.
    pub fn in_memory() -> Self {
        Self::with_client(None)
    }

    /// Metrics that are sent to a StatsD address; `None` sends none.
    ///
    /// # Errors
    ///
    /// `Internal` if no UDP socket can be opened.
    pub fn start(instance: &InstanceName, addr: Option<SocketAddr>) -> Result<Self, Error> {
        let Some(addr) = addr else { return Ok(Self::in_memory()) };
        let client = statsd_client(instance, addr).map_err(|e| {
            Error::new(
                ErrorKind::Internal,
                format!("UDP socket for metrics to {addr} can't be opened: {e}"),
            )
        })?;
        Ok(Self::with_client(Some(client)))
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.totals[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an error response to a caller by what it tells about the request's outcome.
    pub fn count_error(&self, kind: ErrorKind) {
        match kind {
            ErrorKind::OutcomeUnknown => self.count(Counter::OutcomeUnknown),
            ErrorKind::WrongAnswer => self.count(Counter::WrongAnswer),
            _ if kind.response().not_run => self.count(Counter::NotRun),
            _ => self.count(Counter::Failed),
        }
        if kind == ErrorKind::Quarantined {
            self.count(Counter::Quarantined);
        }
    }

    /// Sum of a counter since the start.
    pub fn total(&self, counter: Counter) -> u64 {
        self.totals[counter as usize].load(Ordering::Relaxed)
    }

    /// Records one measured duration; buffered until the buffer is full or the next report.
    pub fn record_duration(&self, timing: Timing, duration: Duration) {
        if let Some(client) = &self.client {
            // Metrics are sent at most once, over UDP; a lost one is not an error.
            let _ = client.time(timing.name(), duration);
        }
    }

    /// Sends counter increases since the last report and gauges; called each [`REPORT_INTERVAL`].
    pub fn send_report(&self, gauges: &[(Gauge, u64)]) {
        let Some(client) = &self.client else { return };
        for counter in Counter::ALL {
            let total = self.total(counter);
            let already_sent = self.reported[counter as usize].swap(total, Ordering::Relaxed);
            let increase = i64::try_from(total.saturating_sub(already_sent)).unwrap_or(i64::MAX);
            if increase > 0 {
                let _ = client.count(counter.name(), increase);
            }
        }
        for (gauge, value) in gauges {
            let _ = client.gauge(gauge.name(), *value);
        }
        let _ = client.flush();
    }

    fn with_client(client: Option<StatsdClient>) -> Self {
        let zeroed_counters = || std::array::from_fn(|_| AtomicU64::new(0));
        Self { client, totals: zeroed_counters(), reported: zeroed_counters() }
    }
}

fn statsd_client(instance: &InstanceName, addr: SocketAddr) -> io::Result<StatsdClient> {
    let local_addr = match addr {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(local_addr)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
    // A dot in the instance's name would split the metric's name into more parts.
    let instance = instance.as_str().replace('.', "_");
    Ok(StatsdClient::from_sink(&format!("{METRIC_PREFIX}.{instance}"), sink))
}
