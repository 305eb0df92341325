//! One instance of the model.

use tamaracklead::decide::traffic::PromptGuard;
use tamaracklead::names::Timestamp;

/// Time after the end of a cut in which an instance hears from its peers again.
const BACK_IN_TOUCH_US: u64 = 1_000_000;

/// An instance with a clock of its own.
#[derive(Debug)]
pub struct Instance {
    /// What it knows of prompt parts.
    pub guard: PromptGuard,
    /// Number of its process; messages for an earlier one are lost.
    pub life: u32,
    /// Whether it takes requests: it has heard from a peer.
    pub serves: bool,
    /// Whether its process runs.
    pub lives: bool,
    /// End of its pause, in microseconds.
    pub paused_until: u64,
    /// End of its being cut off, in microseconds.
    pub cut_until: u64,
    /// Time of its last round of gossip, in microseconds.
    pub last_round: u64,
    /// Number of the round that is due next; one that was put forward makes the older one void.
    pub round: u64,
    started_at: i64,
}

impl Instance {
    /// A process that has run for `age_us` at the beginning.
    pub fn running(age_us: u64) -> Self {
        let started_at = -i64::try_from(age_us).unwrap();
        Self { serves: true, ..Self::starting(0, started_at) }
    }

    /// A process that starts; `started_at` is in microseconds.
    pub fn starting(life: u32, started_at: i64) -> Self {
        Self {
            guard: PromptGuard::default(),
            life,
            serves: false,
            lives: true,
            paused_until: 0,
            cut_until: 0,
            last_round: 0,
            round: 0,
            started_at,
        }
    }

    /// Its own time.
    pub fn time(&self, now: u64) -> Timestamp {
        let micros = i64::try_from(now).unwrap() - self.started_at;
        Timestamp::from_micros(u64::try_from(micros).unwrap())
    }

    /// Whether it has been able to hear from the others.
    pub fn is_in_touch(&self, now: u64) -> bool {
        self.cut_until == 0 || now >= self.cut_until + BACK_IN_TOUCH_US
    }
}
