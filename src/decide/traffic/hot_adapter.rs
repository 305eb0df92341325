//! When an adapter should be held by one more replica.

/// Requests of one adapter at a replica from which on another one should hold it too.
const MIN_USES: u32 = 4;
/// Share of a replica's requests that such an adapter has at least.
const MIN_SHARE: f64 = 0.25;
/// The same for a replica that is busier than others.
const MIN_USES_BUSY: u32 = 2;
/// How many times as many requests as others a busy replica has.
const BUSY_RATIO: f64 = 1.5;
/// The same for an adapter that is a good part of the replica's work.
const HOT_RATIO: f64 = 1.15;
/// Requests that a busy replica has at least.
const MIN_BUSY: u32 = 8;

/// Whether an adapter with `uses` of a replica's `requests` is a good part of its work.
pub fn is_hot(uses: u32, requests: u32) -> bool {
    uses >= MIN_USES && f64::from(uses) >= MIN_SHARE * f64::from(requests.max(1))
}

/// Whether some of an adapter's requests should go elsewhere, as the replica has more requests
/// than others, which have `typical` of them.
pub fn is_on_busy_replica(uses: u32, requests: u32, typical: f64) -> bool {
    let ratio = if is_hot(uses, requests) { HOT_RATIO } else { BUSY_RATIO };
    let busy = requests >= MIN_BUSY && f64::from(requests) >= ratio * typical;
    uses >= MIN_USES_BUSY && busy
}
