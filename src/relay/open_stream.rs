//! A stream whose head a replica has sent.

use super::connection_pool::Connection;
use super::origin::Origin;
use super::pass_on::Passing;
use super::replica_request_guard::ReplicaRequestGuard;
use crate::decide::traffic::ResponseProgress;
use crate::edge::MeteredBody;

/// A stream that a replica is sending.
pub struct OpenStream {
    /// The part of the body that is still to be read.
    pub source: MeteredBody,
    /// Whether its length or a last chunk marks its end, rather than that of the connection.
    pub has_marked_end: bool,
    /// Replica that sends it.
    pub origin: Origin,
    /// Counts the request in the replica's workload.
    pub in_flight: ReplicaRequestGuard,
    /// How far the response has come.
    pub progress: ResponseProgress,
    /// Connection that it arrives on.
    pub connection: Connection,
    /// Counts the request as passed on; `None` unless it is.
    pub passing: Option<Passing>,
}
