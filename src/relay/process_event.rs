//! Log events of the process itself: its start and end, its settings, what it has no room for.

use serde::Serialize;

use super::connection_end::ConnectionEnd;
use super::start_step::StartStep;
use crate::decide::readiness::Missing;
use crate::decide::readiness::ReadinessReport;

/// One log event; its name and fields are those of the JSON line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ProcessEvent<'a> {
    /// The process started.
    Started {
        /// Name of the instance.
        instance: &'a str,
        /// Version of the program.
        version: &'a str,
        /// Time in which its settings were read, in ms.
        settings_ms: u128,
    },
    /// Something that the start waited for has come; each comes once.
    StartStep {
        /// Time since the settings were read, in ms.
        after_ms: u64,
        /// What it is.
        #[serde(flatten)]
        step: StartStep,
    },
    /// The process ends, as it can't be started.
    StartFailed {
        /// The error.
        detail: &'a str,
    },
    /// An address that the process listens on can't be bound; it is tried again, and the process does
    /// what it can without it.
    AddressUnavailable {
        /// What the address is for.
        purpose: &'a str,
        /// The address.
        addr: &'a str,
        /// The error.
        detail: &'a str,
    },
    /// An address that wasn't available is bound.
    AddressBound {
        /// What the address is for.
        purpose: &'a str,
        /// The address.
        addr: &'a str,
        /// Time since the first try, in ms.
        waited_ms: u128,
    },
    /// What is missing for callers to send requests here has changed.
    ReadinessChanged {
        /// Whether nothing is.
        ready: bool,
        /// What is missing now.
        missing: &'a [Missing],
        /// What was missing before; `None` at the first check.
        before: Option<&'a [Missing]>,
        /// Time since the change before, or since the process started, in ms.
        lasted_ms: u128,
    },
    /// Callers still can't send requests here; comes at growing intervals, and at the end of the process.
    NotReady {
        /// What is missing, since when, and what this instance waits for.
        #[serde(flatten)]
        report: &'a ReadinessReport,
    },
    /// A background task failed and is started again.
    TaskFailed {
        /// What the task does.
        task: &'a str,
        /// The error.
        detail: &'a str,
    },
    /// A task panicked and has ended.
    Panicked {
        /// Place in the source.
        location: &'a str,
        /// Message.
        detail: &'a str,
    },
    /// A shutdown has begun; new requests will soon be refused.
    Stopping {
        /// Requests in progress.
        in_flight: usize,
        /// Whether callers could send requests here until now.
        ready: bool,
    },
    /// The shutdown is over and the process ends.
    Stopped {
        /// Requests that are cut off.
        cut_off: usize,
        /// Whether the process was ever ready.
        was_ready: bool,
    },
    /// The settings file changed, and its seeds were applied.
    SettingsTaken {
        /// Number of seeds.
        seeds: usize,
    },
    /// The settings file can't be read or is invalid, and was not applied.
    SettingsRefused {
        /// The error.
        detail: &'a str,
    },
    /// A value of the settings isn't used as it stands; the process goes on without it or with another one.
    SettingUnusable {
        /// Name of the setting.
        name: &'a str,
        /// What is wrong, and what is used.
        detail: &'a str,
    },
    /// The settings file is being read and blocks; everything else goes on.
    SettingsBlocked {
        /// Time since the read began, in ms.
        after_ms: u128,
    },
    /// The process was paused; what it knows of others may be out of date.
    Paused {
        /// Length of the pause, in ms.
        pause_ms: u128,
    },
    /// Log lines were lost: they couldn't be written fast enough, or not at all.
    LogLinesDropped {
        /// Lines lost since the process started.
        total: usize,
        /// Those of them that the output didn't take.
        unwritten: usize,
    },
    /// Metrics can't be served; everything else goes on.
    MetricsOff {
        /// The error.
        detail: &'a str,
    },
    /// The clock that pauses of the process are detected by can't be read.
    ClockFailed {
        /// The error.
        detail: &'a str,
    },
    /// A connection was closed to make place, or for what its client sent or took; one line a second.
    ConnectionClosed {
        /// Why.
        reason: ConnectionEnd,
        /// Number of connections that were closed since the last such line and have none.
        unlogged: u64,
    },
    /// There was no room for what a caller, a replica or an instance sent; one line a second.
    RoomRefused {
        /// Id of the request; empty if it isn't one's.
        id: &'a str,
        /// Bytes that are kept for all.
        taken: usize,
        /// Bytes that may be.
        capacity: usize,
        /// Number of refusals since the last such line that have none.
        unlogged: u64,
    },
    /// A connection couldn't be accepted, as for want of descriptors; it is tried again. One line a second.
    AcceptFailed {
        /// The error.
        detail: &'a str,
        /// Number of failures since the last such line that have none.
        unlogged: u64,
    },
}
