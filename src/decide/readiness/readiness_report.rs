//! Why an instance isn't ready, for whoever asks.

use std::net::SocketAddr;

use serde::Serialize;

use super::MissingSince;
use super::UnboundAddress;
use crate::decide::reads::FailingRead;
use crate::decide::reads::PendingRead;

/// Body of a readiness check, and of the log line of an instance that still isn't ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReadinessReport {
    /// Whether callers may send requests here.
    pub ready: bool,
    /// Time since they mayn't, in ms; `None` if they may.
    pub unready_ms: Option<u64>,
    /// What is missing for that.
    pub missing: Vec<MissingSince>,
    /// Topics of the published state that can't be read.
    pub failing_reads: Vec<FailingRead>,
    /// Topics whose read has had no answer for long.
    pub pending_reads: Vec<PendingRead>,
    /// Topics of which only a part could be listed, so that entries may be lacking.
    pub partial_topics: Vec<&'static str>,
    /// Addresses that aren't bound.
    pub unbound: Vec<UnboundAddress>,
    /// Address of the store of the published state.
    pub store: SocketAddr,
    /// Number of instances in the settings to start from.
    pub seeds: usize,
    /// Number of other instances that are heard of.
    pub peers: usize,
}

impl ReadinessReport {
    /// Whether it tells nothing but that the instance is ready.
    pub fn is_plain(&self) -> bool {
        let reads_well = self.failing_reads.is_empty()
            && self.pending_reads.is_empty()
            && self.partial_topics.is_empty();
        self.ready && reads_well && self.unbound.is_empty()
    }
}
