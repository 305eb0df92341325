//! What callers, replicas and other instances make this process keep, and what it turned away for it.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::audience::Audience;
use super::buffers::Buffers;
use super::caller_connections::CallerConnections;
use super::connection_end::ConnectionEnd;
use super::log_event::record;
use super::process_event::ProcessEvent;
use super::process_usage::ProcessUsage;
use crate::daemon::Clock;
use crate::decide::line_limit::LineLimit;
use crate::decide::resource_limits::ResourceLimits;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    reason: ConnectionEnd,
}

/// Buffers and connections of one process, with their limits, log lines and metrics.
#[derive(Debug)]
pub struct Pressure {
    /// Buffers for bodies that arrive.
    pub buffers: Arc<Buffers>,
    callers: Arc<CallerConnections>,
    peers: Arc<CallerConnections>,
    checks: Arc<CallerConnections>,
    scrapes: Arc<CallerConnections>,
    clock: Clock,
    closed_lines: Mutex<LineLimit>,
    refused_lines: Mutex<LineLimit>,
    accept_lines: Mutex<LineLimit>,
    closed: Family<EndLabels, Counter>,
    refused: Counter,
    accept_failures: Counter,
    open: Gauge,
    buffer_bytes: Gauge,
    memory: Gauge,
    descriptors: Gauge,
}

impl Pressure {
    /// Nothing is kept yet.
    pub fn new(clock: Clock, limits: ResourceLimits) -> Self {
        let places = |count| Arc::new(CallerConnections::new(clock, count));
        Self {
            buffers: Arc::new(Buffers::new(clock, limits.buffer_bytes())),
            callers: places(limits.caller_connections()),
            peers: places(limits.peer_connections()),
            checks: places(limits.check_connections()),
            scrapes: places(limits.check_connections()),
            clock,
            closed_lines: Mutex::default(),
            refused_lines: Mutex::default(),
            accept_lines: Mutex::default(),
            closed: Family::default(),
            refused: Counter::default(),
            accept_failures: Counter::default(),
            open: Gauge::default(),
            buffer_bytes: Gauge::default(),
            memory: Gauge::default(),
            descriptors: Gauge::default(),
        }
    }

    /// Places for connections of these clients.
    pub fn connections_of(&self, audience: Audience) -> &Arc<CallerConnections> {
        match audience {
            Audience::Callers => &self.callers,
            Audience::Peers => &self.peers,
            Audience::Ready => &self.checks,
            Audience::Metrics => &self.scrapes,
        }
    }

    /// Adds its metrics to `r`.
    pub fn register(&self, r: &mut Registry) {
        let help =
            "Connections that were closed to make place, or for what was sent or taken, by reason";
        r.register("connections_closed", help, self.closed.clone());
        let help = "Bodies and events that there was no room for";
        r.register("rooms_refused", help, self.refused.clone());
        let help = "Failed tries to accept a connection";
        r.register("accept_failures", help, self.accept_failures.clone());
        r.register("connections", "Open connections of callers", self.open.clone());
        r.register("buffer_bytes", "Bytes of bodies that are kept", self.buffer_bytes.clone());
        let help = "Resident memory of the process, in bytes; -1 if it isn't known";
        r.register("memory_bytes", help, self.memory.clone());
        let help = "Open descriptors of the process; -1 if it isn't known";
        r.register("descriptors", help, self.descriptors.clone());
    }

    /// Sets the gauges to the present values.
    pub fn update_gauges(&self) {
        let value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.open.set(value(self.callers.places().open()));
        self.buffer_bytes.set(value(self.buffers.budget().taken()));
        let usage = ProcessUsage::read();
        self.memory.set(usage.memory_bytes.map_or(-1, value));
        self.descriptors.set(usage.descriptors.map_or(-1, value));
    }

    /// Counts and logs that a connection was closed to make place, or for what its client sent or took.
    pub fn on_connection_closed(&self, reason: ConnectionEnd) {
        self.closed.get_or_create(&EndLabels { reason }).inc();
        if let Some(unlogged) = self.due_line(&self.closed_lines) {
            record(&ProcessEvent::ConnectionClosed { reason, unlogged });
        }
    }

    /// Counts and logs that a connection couldn't be accepted.
    pub fn on_accept_failed(&self, error: &io::Error) {
        self.accept_failures.inc();
        if let Some(unlogged) = self.due_line(&self.accept_lines) {
            record(&ProcessEvent::AcceptFailed { detail: &error.to_string(), unlogged });
        }
    }

    /// Counts and logs that there was no room for what belongs to the request `id`.
    pub fn on_room_refused(&self, id: &str) {
        self.refused.inc();
        if let Some(unlogged) = self.due_line(&self.refused_lines) {
            let (taken, capacity) = {
                let budget = self.buffers.budget();
                (budget.taken(), budget.capacity())
            };
            record(&ProcessEvent::RoomRefused { id, taken, capacity, unlogged });
        }
    }

    fn due_line(&self, lines: &Mutex<LineLimit>) -> Option<u64> {
        lines.lock().unwrap_or_else(PoisonError::into_inner).on_event(self.clock.now())
    }
}
