//! What a soak does to the fleet and to what surrounds it.

use std::time::Duration;

/// A disruption with its time and the instances that it befalls.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// When it begins, from the start of the soak.
    pub at: Duration,
    /// When it is over; for a kill, when the processes are started again.
    pub until: Duration,
    /// Indexes of the instances; empty if it befalls none of them directly.
    pub instances: Vec<usize>,
    /// What happens.
    pub kind: DisruptionKind,
}

/// Kinds of disruptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisruptionKind {
    /// Processes are killed, and started again when it is over.
    Kill,
    /// Processes get SIGTERM; each is started again once it has ended.
    Terminate,
    /// Processes are suspended.
    Suspend,
    /// Settings files are replaced, with a SIGHUP.
    Reload,
    /// Links of instances are disturbed; of replicas, if it names no instances.
    Link(LinkFault),
    /// Addresses of processes that were killed are taken by another program until it is over.
    TakenAddress,
    /// The store is in trouble.
    Store(StoreFault),
    /// Replicas are in trouble.
    Replicas(ReplicaFault),
    /// A new configuration is published.
    ConfigChange,
    /// Another writer's awkward keys and odd items stand in the store.
    OddItems,
}

/// What a link between instances and others does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive late.
    Delay,
    /// Open connections are reset.
    Reset,
    /// Bytes of one direction don't arrive.
    CutOneWay,
    /// Nothing arrives, and nothing is closed.
    Silence,
}

/// Trouble of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Calls hang.
    Silent,
    /// Connections are refused.
    Away,
    /// Calls are answered late.
    Slow,
    /// Some instances are turned away with 503.
    TurnsAway,
    /// Its history is discarded.
    ForgetsHistory,
    /// It comes back from an older copy, in a new era.
    Restored,
}

/// Trouble of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFault {
    /// They end and start again, each as a new replica.
    Restart,
    /// They leave, as the store and their own responses say.
    Leave,
    /// They fall silent and go on.
    Pause,
    /// They are slow.
    Slow,
}
