//! Metrics of one instance, sent to a StatsD address.

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

/// How often sums and gauges are sent.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

const PREFIX: &str = "tamaracklead";

/// Metrics of one instance; without an address they are only counted.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    totals: [AtomicU64; Counter::ALL.len()],
    reported: [AtomicU64; Counter::ALL.len()],
}

impl Metrics {
    /// Metrics that are only counted.
    pub fn off() -> Self {
        Self::with_client(None)
    }

    /// Metrics that go to a StatsD address over UDP.
    ///
    /// # Errors
    ///
    /// `Internal` if no socket can be opened.
    pub fn start(instance: &InstanceName, addr: Option<SocketAddr>) -> Result<Self, Error> {
        let Some(addr) = addr else { return Ok(Self::off()) };
        let client = connect(instance, addr).map_err(|e| {
            Error::new(ErrorKind::Internal, format!("metrics to {addr} can't be sent: {e}"))
        })?;
        Ok(Self::with_client(Some(client)))
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.totals[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an error answer to a caller by what it says.
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

    /// How often an event was counted since the start.
    pub fn total(&self, counter: Counter) -> u64 {
        self.totals[counter as usize].load(Ordering::Relaxed)
    }

    /// Sends one measured time.
    pub fn time(&self, timing: Timing, span: Duration) {
        if let Some(client) = &self.client {
            // Metrics are sent at most once; a lost one is not an error.
            let _ = client.time(timing.name(), span);
        }
    }

    /// Sends the sums since the last report and the gauges; called once each [`REPORT_INTERVAL`].
    pub fn report(&self, gauges: &[(Gauge, u64)]) {
        let Some(client) = &self.client else { return };
        for counter in Counter::ALL {
            let total = self.total(counter);
            let before = self.reported[counter as usize].swap(total, Ordering::Relaxed);
            let events = i64::try_from(total.saturating_sub(before)).unwrap_or(i64::MAX);
            if events > 0 {
                let _ = client.count(counter.name(), events);
            }
        }
        for (gauge, value) in gauges {
            let _ = client.gauge(gauge.name(), *value);
        }
        let _ = client.flush();
    }

    fn with_client(client: Option<StatsdClient>) -> Self {
        let zeros = || std::array::from_fn(|_| AtomicU64::new(0));
        Self { client, totals: zeros(), reported: zeros() }
    }
}

fn connect(instance: &InstanceName, addr: SocketAddr) -> io::Result<StatsdClient> {
    let any = match addr {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
    // A dot separates the parts of a metric's name.
    let instance = instance.as_str().replace('.', "_");
    Ok(StatsdClient::from_sink(&format!("{PREFIX}.{instance}"), sink))
}
