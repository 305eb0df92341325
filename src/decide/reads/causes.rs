//! The causes of one time in which reads fail.

use super::cause::Cause;
use crate::names::Timestamp;

/// Most causes that are remembered.
const MAX_CAUSES: usize = 4;

/// Causes in the order in which they came last.
#[derive(Clone, Debug, Default)]
pub struct Causes(Vec<Cause>);

impl Causes {
    /// Records that a cause came; returns whether it isn't among those that are remembered.
    pub fn on_cause(&mut self, now: Timestamp, text: &str) -> bool {
        let mut cause = Cause::new(now, text);
        let known = self.0.iter().position(|known| known.is_like(&cause));
        if let Some(place) = known {
            let known = self.0.remove(place);
            cause.since = known.since;
            cause.count = known.count + 1;
        } else if self.0.len() == MAX_CAUSES {
            self.0.remove(0);
        }
        self.0.push(cause);
        known.is_none()
    }

    /// The one that came last.
    pub fn last(&self) -> Option<&Cause> {
        self.0.last()
    }
}
