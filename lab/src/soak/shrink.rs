//! Search for a shorter schedule that fails in the same way.

use std::time::Duration;
use std::time::Instant;

use super::schedule::Schedule;

/// Time after which no further schedule is tried.
const TIME_LIMIT: Duration = Duration::from_secs(15 * 60);

/// Leaves out halves, quarters and so on, and at last single disruptions while `fails` holds.
///
/// # Errors
///
/// Why a schedule couldn't be run.
pub fn shrink(
    mut schedule: Schedule,
    mut fails: impl FnMut(&Schedule) -> Result<bool, String>,
) -> Result<Schedule, String> {
    let start = Instant::now();
    let mut size = schedule.disruptions.len().div_ceil(2);
    while size > 0 {
        let mut position = 0;
        while position < schedule.disruptions.len() {
            if start.elapsed() > TIME_LIMIT {
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
