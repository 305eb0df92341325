//! Search for a shorter schedule that fails in the same way.

use std::time::Duration;
use std::time::Instant;

use super::schedule::Schedule;

/// Leaves out halves, quarters and so on, and at last single disruptions while `fails` holds; tries
/// no further schedule after `limit`.
///
/// # Errors
///
/// Why a schedule couldn't be run.
pub fn shrink(
    mut schedule: Schedule,
    limit: Duration,
    mut fails: impl FnMut(&Schedule) -> Result<bool, String>,
) -> Result<Schedule, String> {
    let start = Instant::now();
    let mut size = schedule.disruptions.len().div_ceil(2);
    while size > 0 {
        let mut position = 0;
        while position < schedule.disruptions.len() {
            if start.elapsed() > limit {
                return Ok(schedule);
            }
            let end = (position + size).min(schedule.disruptions.len());
            let candidate = schedule.without(position..end);
            if fails(&candidate)? {
                schedule = candidate;
            } else {
                position = end;
            }
        }
        size /= 2;
    }
    Ok(schedule)
}
