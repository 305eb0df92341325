//! Decides which of the published items that can't be read are logged.
//!
//! An item that stays as it is comes again with each listing. It is logged once a period, and only so
//! many items are: the others are counted.

use std::collections::HashSet;
use std::time::Duration;

use crate::names::Timestamp;

/// Time after which the same item is logged again.
const PERIOD: Duration = Duration::from_secs(600);
/// Most items that are logged in that time.
const MAX_LOGGED: usize = 100;

/// The items that were logged lately.
#[derive(Clone, Debug, Default)]
pub struct OddItemLog {
    since: Option<Timestamp>,
    logged: HashSet<(String, String)>,
}

impl OddItemLog {
    /// Whether an item is to be logged now of which this can't be read.
    pub fn is_due(&mut self, now: Timestamp, name: &str, detail: &str) -> bool {
        if self.since.is_none_or(|since| now.since(since) >= PERIOD) {
            self.since = Some(now);
            self.logged.clear();
        }
        self.logged.len() < MAX_LOGGED && self.logged.insert((name.to_owned(), detail.to_owned()))
    }
}
