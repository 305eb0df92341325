//! Intervals and sizes of the membership protocol.

use std::time::Duration;

/// Time between two probes of an instance.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which other members are asked to probe a silent one.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a member that nobody reached is suspected.
pub const PROBE_LIMIT: Duration = Duration::from_millis(1500);
/// Time that a suspected member has to refute.
pub const SUSPICION: Duration = Duration::from_secs(3);
/// Members that are asked to probe a silent one.
pub const INDIRECT_PROBES: usize = 3;
/// Time between two probes of members that don't answer.
pub const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a dead member that isn't listed is remembered.
pub const DEAD_KEEP: Duration = Duration::from_secs(60);
/// Time for which a member that isn't listed is kept while it answers.
pub const UNLISTED_KEEP: Duration = Duration::from_secs(3600);
/// Time that a new instance waits for the answers of its listed peers.
pub const JOIN_WAIT: Duration = Duration::from_secs(5);
/// Time that an instance waits for its peers after a pause.
pub const REJOIN_WAIT: Duration = Duration::from_secs(2);
/// Time that a new instance waits for the platform's list.
pub const LISTING_WAIT: Duration = Duration::from_secs(10);
/// Time between two questions to the same peer while joining.
pub const JOIN_RETRY: Duration = Duration::from_secs(1);
/// Peers that a joining instance asks in one tick.
pub const JOIN_FANOUT: usize = 32;
/// Pause of the process after which its own view counts as outdated.
///
/// Half the time within which leaving backend servers get no new work.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(1500);
/// Time between two searches for members to give up or forget.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Members that urgent news is pushed to at once.
pub const PUSH_FANOUT: usize = 4;
/// Pushed messages in a second, on average.
pub const PUSHES_PER_SECOND: f64 = 2.0;
/// Pushed messages in one burst.
pub const PUSH_BURST: f64 = 12.0;
/// Encoded news in one message, in bytes.
pub const MAX_NEWS_BYTES: usize = 600;
/// Encoded news in the answer to a joining member, in bytes.
pub const MAX_JOIN_BYTES: usize = 32 * 1024;
/// Encoded news in the answer to a member that misses some, in bytes.
pub const MAX_PULL_BYTES: usize = 2 * 1024;
/// Transmissions of one piece of news, for each doubling of the fleet.
pub const SENDS_PER_DOUBLING: u32 = 4;
/// Pieces of news that are kept for sending.
pub const MAX_QUEUED: usize = 1024;
/// Time for which news of backend servers and other modules is told to returning members.
pub const NEWS_KEEP: Duration = Duration::from_secs(600);
