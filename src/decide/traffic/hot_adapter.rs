//! When one more replica should hold an adapter: it is hot at a replica, or the replica is busy.

/// Least requests of an adapter at a replica for it to be hot there.
const MIN_HOT_USES: u32 = 4;
/// Least share of the replica's requests for an adapter to be hot there.
const MIN_HOT_SHARE: f64 = 0.25;
/// Least requests of an adapter at a busy replica for some of them to go elsewhere.
const MIN_USES_ON_BUSY_REPLICA: u32 = 2;
/// Ratio to the typical number of requests from which on a replica is busy.
const BUSY_RATIO: f64 = 1.5;
/// The same ratio for a replica at which the adapter is hot.
const HOT_RATIO: f64 = 1.15;
/// Least requests of a busy replica.
const MIN_BUSY_REQUESTS: u32 = 8;

/// Whether an adapter with `uses` of a replica's `requests` is hot there.
pub fn is_hot(uses: u32, requests: u32) -> bool {
    uses >= MIN_HOT_USES && f64::from(uses) >= MIN_HOT_SHARE * f64::from(requests.max(1))
}

/// Whether some of an adapter's requests should go to another replica, as this one is busy:
/// others have `typical` requests.
pub fn should_spread(uses: u32, requests: u32, typical: f64) -> bool {
    let ratio = if is_hot(uses, requests) { HOT_RATIO } else { BUSY_RATIO };
    let busy = requests >= MIN_BUSY_REQUESTS && f64::from(requests) >= ratio * typical;
    uses >= MIN_USES_ON_BUSY_REPLICA && busy
}
