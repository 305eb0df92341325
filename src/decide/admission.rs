//! Which requests are refused at once because they can't be served in time.

use std::time::Duration;

/// Share of the time left that a request may wait for a load, at stall weight 0.
const LARGEST_SHARE: f64 = 1.0;
/// Share of the time left that a request may wait for a load, at stall weight 100.
const SMALLEST_SHARE: f64 = 0.4;

/// How long a request may wait for a load if its first token is due in `left`.
///
/// A higher stall weight refuses earlier: less waiting, more refusals.
pub fn max_load_wait(left: Duration, stall_weight: u8) -> Duration {
    let weight = f64::from(stall_weight.min(100)) / 100.0;
    left.mul_f64(LARGEST_SHARE - (LARGEST_SHARE - SMALLEST_SHARE) * weight)
}
