//! Log events of what instances do together: limits of replicas, and requests that go through
//! another instance.

use serde::Serialize;

/// One log event; its name and fields are those of the JSON line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum FleetEvent<'a> {
    /// The limits that a replica names for all instances together have changed.
    ReplicaLimits {
        /// The replica.
        replica: &'a str,
        /// Requests per second; none if it names no rate.
        rate: Option<f64>,
        /// Rejections in a second above which it fails; none if it says nothing of that.
        max_rejections: Option<u32>,
        /// Instance that got the answer, or that told of it.
        by: &'a str,
    },
    /// A request wasn't sent to a replica that names a limit, as others have used it up.
    PermitDenied {
        /// Id of the request.
        id: &'a str,
        /// The replica.
        replica: &'a str,
        /// Time before which this instance doesn't ask again, in ms.
        retry_in_ms: u128,
    },
    /// A request was refused by the quota of its account.
    QuotaRefused {
        /// Id of the request.
        id: &'a str,
        /// The account.
        account: &'a str,
        /// Cost of the request, in units of the quota.
        cost: u64,
        /// What the account may use at this instance without an ask.
        balance: u64,
        /// Time until the account may use more here, in ms.
        wait_ms: u128,
        /// Instance that counts the account; empty if none is known.
        counting: &'a str,
        /// Whether that instance didn't answer, so that this one uses its own share of the quota.
        is_own_share: bool,
    },
    /// A group of accounts is counted by another instance than before, as seen here.
    QuotaGroupCounted {
        /// Key under which instances are ranked to count the group.
        group: &'a str,
        /// The instance that counts it now; empty if none is known.
        by: &'a str,
    },
    /// No connections to the replicas of a service can be made; requests go through other instances.
    LinksLost {
        /// The service.
        service: &'a str,
        /// Replica to which the last connection failed.
        replica: &'a str,
        /// Other instances that may reach the service.
        others: usize,
    },
    /// A connection to a replica of the service was made again.
    LinksRegained {
        /// The service.
        service: &'a str,
        /// The replica.
        replica: &'a str,
    },
    /// A request is passed on to another instance, which reaches the replicas.
    RequestPassedOn {
        /// Id of the request.
        id: &'a str,
        /// The other instance.
        to: &'a str,
        /// How often it was sent before.
        sends: u32,
        /// Time since its arrival, in ms.
        waited_ms: u128,
    },
    /// The other instance didn't get the request served; its reason is that of its own response.
    PassedOnRefused {
        /// Id of the request.
        id: &'a str,
        /// The other instance.
        by: &'a str,
        /// The reason.
        reason: &'a str,
    },
    /// A request that another instance passed on is taken.
    RequestTaken {
        /// Id of the request.
        id: &'a str,
        /// The other instance.
        from: &'a str,
    },
}
