//! Over which time a process knows of everything that happened, so that what it didn't see can be
//! told from what wasn't there.

use std::time::Duration;

/// Time up to now over which a list of what happened lacks nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Coverage {
    /// Anything may have been missed.
    #[default]
    Unknown,
    /// Nothing that happened within this time was missed.
    Last(Duration),
}

impl Coverage {
    /// Whether nothing was missed that happened within `time`.
    pub fn reaches(self, time: Duration) -> bool {
        match self {
            Self::Unknown => false,
            Self::Last(known) => known >= time,
        }
    }

    /// The time in ms; 0 if it isn't known.
    pub fn as_millis(self) -> u64 {
        match self {
            Self::Unknown => 0,
            Self::Last(time) => u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
