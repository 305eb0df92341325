//! A caller's request that an instance which reaches no replica passes on to another one.
//!
//! The response is that of the replica, with headers of its own kind besides: whether the other
//! instance generated the response itself, and the software version of a stream's replica.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::names::AccountName;
use crate::names::BackendName;
use crate::names::InstanceName;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;

/// Path of [`PassedOnRequest`]; older processes answer that they don't know it.
pub const PASS_ON_PATH: &str = "/relay/v1/pass-on";
/// Header with the reason why the other instance generated the response itself.
pub const REASON_HEADER: &str = "relay-reason";

/// Account that a request which is passed on runs for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PassedOnAccount {
    /// None, as its route is public.
    Anonymous,
    /// This account, whose API key the request had.
    Named {
        /// Name of the account.
        name: AccountName,
        /// Priority of the account's requests; `None` for that of the route.
        priority: Option<u8>,
        /// Share of its quota that the account uses over all instances, in percent.
        #[serde(default)]
        utilisation_percent: u16,
    },
}

impl PassedOnAccount {
    /// Share of its quota that the account uses over all instances; 0 if it has none.
    pub fn utilisation(&self) -> f32 {
        match self {
            Self::Anonymous => 0.0,
            Self::Named { utilisation_percent, .. } => f32::from(*utilisation_percent) / 100.0,
        }
    }
}

/// A caller's request; it may be sent so that it runs once, and must not be passed on again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOnRequest {
    /// The instance that passes it on.
    pub from: InstanceName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Headers as received from the caller, without those of its connection; in a deployment with
    /// accounts with the account's name instead of the API key.
    pub headers: Vec<(String, Bytes)>,
    /// Whole body.
    pub body: Bytes,
    /// Whether the request declared a body.
    pub has_length: bool,
    /// Service that it was accepted for.
    pub service: ServiceName,
    /// Time until its deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Id of the last event that the caller has got, if it goes on with a stream.
    pub resume_after: Option<String>,
    /// Software version that must serve it; `None` for any.
    pub software: Option<SoftwareVersion>,
    /// Replicas that it was sent to before.
    pub tried: Vec<BackendName>,
    /// Whether it may be sent although a part of its prompt is quarantined.
    pub is_probe: bool,
    /// Account that it runs for. `None` from an instance whose configuration has no accounts and from
    /// processes that know none: its headers then still have the API key.
    #[serde(default)]
    pub account: Option<PassedOnAccount>,
}
