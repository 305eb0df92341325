//! An instance of the model: what it knows of limits, and whom it counts for.

use std::collections::HashMap;

use tamaracklead::decide::send_limits::LimitKnowledge;
use tamaracklead::decide::send_limits::SendCounter;

/// What can happen to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Killed,
    Frozen,
    /// Cut off from the other instances, not from replicas.
    Cut,
}

/// A trouble with its begin and end, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Spell {
    pub trouble: Trouble,
    pub from: u64,
    pub until: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Instance {
    pub spells: Vec<Spell>,
    pub known: HashMap<usize, LimitKnowledge>,
    pub counters: HashMap<usize, SendCounter>,
    pub own_shares: HashMap<usize, SendCounter>,
    /// When it first passed on a response of a replica that names a limit, in ms.
    pub told_at: HashMap<usize, u64>,
    /// By how much later than others it notices that an instance is gone or there, in ms.
    pub lag_ms: u64,
    /// Requests of its own that run, by replica.
    pub running: HashMap<usize, u32>,
}

impl Instance {
    /// The trouble that it is in.
    pub fn trouble(&self, ms: u64) -> Option<Trouble> {
        let spell = self.spells.iter().find(|spell| (spell.from..spell.until).contains(&ms));
        spell.map(|spell| spell.trouble)
    }

    /// Whether others can call it.
    pub fn is_reachable(&self, ms: u64) -> bool {
        self.trouble(ms).is_none()
    }

    /// Whether another instance that notices by `lag` ms later takes it for live.
    pub fn seems_live(&self, ms: u64, lag: u64) -> bool {
        let is_away = |spell: &Spell| {
            let noticed = spell.from + 2000 + lag;
            let back = spell.until + 600 + lag;
            (noticed..back).contains(&ms)
        };
        !self.spells.iter().any(is_away)
    }

    /// Whether it had no trouble in the three seconds before.
    pub fn is_in_touch(&self, ms: u64) -> bool {
        !self.spells.iter().any(|spell| (spell.from..spell.until + 3000).contains(&ms))
    }

    /// Forgets everything, as after a kill.
    pub fn restart(&mut self) {
        *self = Self { spells: self.spells.clone(), lag_ms: self.lag_ms, ..Self::default() };
    }
}
