//! Where a request goes.

use std::time::Duration;

use crate::names::BackendName;

/// Where a request is sent, or where its adapter is to be loaded first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChoice {
    /// Send it to a replica that holds what it needs.
    Send {
        /// The replica that takes the request.
        replica: BackendName,
        /// Another replica that should load the adapter too, since it is hot; `None` if the holders
        /// suffice.
        spread: Option<BackendName>,
    },
    /// No replica holds it; these could load it, best first.
    Load(Vec<BackendName>),
    /// No replica of the service accepts requests.
    NoReplica,
    /// This instance is cut off from the service; another one may reach its replicas.
    OutOfReach,
    /// The request needs a software version that no replica of the service has any more, so that
    /// waiting is useless.
    VersionGone,
    /// A pause or a limit holds back every replica of the service that is there.
    Paused {
        /// Time until the first one may get requests again.
        left: Duration,
        /// Whether the request may go to that replica then, as it wasn't sent there yet.
        may_wait: bool,
    },
}
