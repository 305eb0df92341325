//! Admission control: which requests are refused at once because their load would take too long.

use std::time::Duration;

/// Share of the remaining time that a request may wait for a load, at stall weight 0.
const WAIT_SHARE_AT_WEIGHT_0: f64 = 1.0;
/// Share of the remaining time that a request may wait for a load, at stall weight 100.
const WAIT_SHARE_AT_WEIGHT_100: f64 = 0.4;

/// Longest time that a request may wait for a load if its first token is due in `left`.
///
/// A higher stall weight refuses earlier: less waiting, more refusals. The share falls linearly.
pub fn max_load_wait(left: Duration, stall_weight: u8) -> Duration {
    let weight = f64::from(stall_weight.min(100)) / 100.0;
    left.mul_f64(
        WAIT_SHARE_AT_WEIGHT_0 - (WAIT_SHARE_AT_WEIGHT_0 - WAIT_SHARE_AT_WEIGHT_100) * weight,
    )
}
