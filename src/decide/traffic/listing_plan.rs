//! Decides in which way an instance lists a topic whose listings fail again and again.
//!
//! A store may be able to give one kind of listing and not another. So the next way is tried once one has
//! failed a few times in a row: a listing that may be old, a current one, a small part of it, and at last
//! what there is of a listing that breaks off. In the last two cases nothing counts as removed, changes
//! are followed from there on, and the whole is tried again now and then. A store that gives no answer, or
//! refuses for the time being, is asked again in the first way.

use std::time::Duration;

use crate::names::Timestamp;

/// Failures in a row after which the next way is tried.
const MAX_UNREADABLE: u32 = 2;
/// The same for listings that break off since the store doesn't answer.
const MAX_CUT_OFF: u32 = 8;
/// Pause after all ways have failed once; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time after a part was taken until the whole is tried again; it doubles each time.
const FIRST_RETRY: Duration = Duration::from_secs(10);
const MAX_RETRY: Duration = Duration::from_secs(300);

/// Way in which a topic is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingWay {
    /// A listing that may be some seconds old, which costs the store little.
    Old,
    /// A current listing.
    Current,
    /// A current listing of the part that matters most.
    Part,
    /// A current listing, as far as it can be read.
    Incomplete,
}

impl ListingWay {
    /// Its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::Current => "current",
            Self::Part => "part",
            Self::Incomplete => "incomplete",
        }
    }

    /// Whether what is listed may be some seconds old.
    pub fn may_be_old(self) -> bool {
        self == Self::Old
    }
}

/// Kind of a listing's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingFailure {
    /// The store didn't answer, or refused for the time being, before it gave anything.
    Unanswered,
    /// The same after the first page.
    CutOff,
    /// The answer can't be read, or doesn't lead on to the next page.
    Unreadable,
    /// The pages don't end.
    Endless,
}

/// The way in which one topic is listed.
#[derive(Clone, Debug)]
pub struct ListingPlan {
    has_part: bool,
    way: ListingWay,
    /// Failures of this way in a row.
    failures: u32,
    /// How often all ways have failed.
    rounds: u32,
    /// When the whole is tried again after a part was taken.
    retry_at: Option<Timestamp>,
    retries: u32,
}

impl ListingPlan {
    /// Plan for a topic that has a part which can be listed alone, or has none.
    pub fn new(has_part: bool) -> Self {
        Self { has_part, way: ListingWay::Old, failures: 0, rounds: 0, retry_at: None, retries: 0 }
    }

    /// Way of the next listing; an instance that has listed the topic before needs a current one.
    pub fn way(&self, was_listed: bool) -> ListingWay {
        match self.way {
            ListingWay::Old if was_listed => ListingWay::Current,
            way => way,
        }
    }

    /// Pause before the next listing, besides that after each failure.
    pub fn pause(&self) -> Duration {
        match self.rounds.checked_sub(1) {
            Some(doublings) => doubled(FIRST_PAUSE, doublings, MAX_PAUSE),
            None => Duration::ZERO,
        }
    }

    /// Whether the whole is to be listed although changes are followed from a part on.
    pub fn is_whole_due(&self, now: Timestamp) -> bool {
        self.retry_at.is_some_and(|at| now >= at)
    }

    /// Records that the whole was listed; returns whether another way than the first was taken before.
    pub fn on_whole(&mut self) -> bool {
        let was_changed = self.way != ListingWay::Old || self.rounds + self.retries > 0;
        *self = Self::new(self.has_part);
        was_changed
    }

    /// Records that only a part was taken.
    pub fn on_part(&mut self, now: Timestamp) {
        self.begin_anew();
        self.retry_later(now);
    }

    /// Records that changes can't be followed from the part any more.
    pub fn on_part_lost(&mut self) {
        self.retry_at = None;
    }

    /// Records that a listing failed; returns whether the next one is the first in another way.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        failure: ListingFailure,
        was_listed: bool,
    ) -> bool {
        if self.retry_at.is_some() {
            self.retry_later(now);
            return false;
        }
        let most = match failure {
            ListingFailure::Unanswered if self.way == ListingWay::Old => return false,
            ListingFailure::Unanswered | ListingFailure::CutOff => MAX_CUT_OFF,
            ListingFailure::Unreadable | ListingFailure::Endless => MAX_UNREADABLE,
        };
        self.failures += 1;
        if self.failures < most {
            return false;
        }
        self.failures = 0;
        let is_first = self.rounds == 0;
        match self.way(was_listed) {
            ListingWay::Old => self.way = ListingWay::Current,
            ListingWay::Current if self.has_part => self.way = ListingWay::Part,
            ListingWay::Current | ListingWay::Part => self.way = ListingWay::Incomplete,
            ListingWay::Incomplete => {
                self.begin_anew();
                self.rounds = self.rounds.saturating_add(1);
            }
        }
        is_first
    }

    fn begin_anew(&mut self) {
        self.way = ListingWay::Old;
        self.failures = 0;
    }

    fn retry_later(&mut self, now: Timestamp) {
        self.retry_at = Some(now + doubled(FIRST_RETRY, self.retries, MAX_RETRY));
        self.retries = self.retries.saturating_add(1);
    }
}

fn doubled(time: Duration, doublings: u32, most: Duration) -> Duration {
    time.saturating_mul(2_u32.saturating_pow(doublings)).min(most)
}
