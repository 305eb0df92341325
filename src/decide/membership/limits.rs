//! Intervals, timeouts and size limits of the membership protocol.

use std::time::Duration;

/// Interval between the regular probes that an instance sends.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a reply after which other members are asked to probe the target.
pub const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the direct probe at which a member that nobody reached is suspected.
pub const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that a suspected member has to refute before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Members that are asked to probe one that didn't answer.
pub const INDIRECT_PROBES: usize = 3;
/// Interval between probes of unresponsive members; one is probed each time.
pub const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which an unlisted member that isn't alive is remembered.
pub const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// Time for which an unlisted member is remembered, even while it answers.
pub const UNLISTED_MEMBER_RETENTION: Duration = Duration::from_secs(3600);
/// Time that a new instance waits for its peers, counted from the first listing.
pub const JOIN_WAIT: Duration = Duration::from_secs(5);
/// Time that an instance waits for its peers after a pause.
pub const REJOIN_WAIT: Duration = Duration::from_secs(2);
/// Time that a new instance waits for the platform's list before it starts without it.
pub const LISTING_WAIT: Duration = Duration::from_secs(10);
/// Interval between join messages to the same peer until it answers.
pub const JOIN_RETRY: Duration = Duration::from_secs(1);
/// Join messages that an instance sends in one tick.
pub const JOIN_FANOUT: usize = 32;
/// Time without an event after which the process counts as paused and its view as outdated.
///
/// Half the time within which a leaving backend server must stop getting new work.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(1500);
/// Interval between sweeps that declare suspects dead and forget old members.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Members that urgent updates are pushed to at once.
pub const PUSH_FANOUT: usize = 4;
/// Sustained rate of push messages: the refill rate of the token bucket.
pub const PUSHES_PER_SECOND: f64 = 2.0;
/// Push messages in one burst: the capacity of the token bucket.
pub const PUSH_BURST: f64 = 12.0;
/// Encoded updates in one message, in bytes.
pub const MAX_UPDATE_BYTES: usize = 600;
/// Encoded updates in the reply to a join message, in bytes.
pub const MAX_JOIN_REPLY_BYTES: usize = 32 * 1024;
/// Encoded updates in the reply to a message whose digest differs, in bytes.
pub const MAX_PULL_REPLY_BYTES: usize = 2 * 1024;
/// Transmissions of one update for each doubling of the fleet's size.
pub const SENDS_PER_FLEET_DOUBLING: u32 = 4;
/// Capacity of the update queue.
pub const MAX_QUEUED_UPDATES: usize = 1024;
/// Time for which updates on backend servers and other modules are retained for joining members
/// and those that missed them.
pub const UPDATE_RETENTION: Duration = Duration::from_secs(600);
