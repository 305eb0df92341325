//! What an instance may answer while it lacks changes that a peer has.
//!
//! A route that it doesn't know may have been added since, so a caller who asks for one is told to
//! come back instead of being told that there is none. What it knows may have changed too; that
//! still counts for the time within which changes reach every instance in touch, less a part for
//! the time that passed until a peer was heard of that has them. After that the instance refuses
//! requests and isn't ready, so that callers go to others.

use std::time::Duration;

/// Part of the propagation time for which a known route counts.
const SERVING_SHARE: f64 = 2.0 / 3.0;
/// Time after which a caller may come back whose route isn't known here.
const ROUTE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time after which a caller may come back who was refused whatever the route.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagVerdict {
    /// It is served, or told that there is no route.
    Decide,
    /// It is refused; the caller may come back after this time.
    Refuse(Duration),
}

/// For how long an instance has known that it lacks changes; `None` if it lacks none.
#[derive(Clone, Copy, Debug)]
pub struct Lag(pub Option<Duration>);

impl Lag {
    /// Decides on a request; `propagation` is the time within which changes reach every instance.
    pub fn verdict(self, has_route: bool, propagation: Duration) -> LagVerdict {
        if self.is_too_long(propagation) {
            return LagVerdict::Refuse(REFUSED_RETRY_AFTER);
        }
        if self.0.is_some() && !has_route {
            return LagVerdict::Refuse(ROUTE_RETRY_AFTER);
        }
        LagVerdict::Decide
    }

    /// Whether nothing that this instance knows counts any more.
    pub fn is_too_long(self, propagation: Duration) -> bool {
        self.0.is_some_and(|time| time >= propagation.mul_f64(SERVING_SHARE))
    }
}
