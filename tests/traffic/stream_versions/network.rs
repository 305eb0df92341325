//! Which instances hear each other, and how many messages are lost.

/// Share of the messages that is lost without trouble.
const USUAL_LOSS: f64 = 0.02;

#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Instances that hear only each other.
    group: u8,
    /// Whether these don't see the published state either.
    is_blind: bool,
    cut_until: u64,
    loss: f64,
    lossy_until: u64,
}

impl Network {
    pub fn cut(&mut self, group: u8, is_blind: bool, until: u64) {
        (self.group, self.is_blind, self.cut_until) = (group, is_blind, until);
    }

    pub fn lose(&mut self, share: f64, until: u64) {
        (self.loss, self.lossy_until) = (share, until);
    }

    pub fn is_cut(&self, now: u64) -> bool {
        now < self.cut_until
    }

    fn is_in_group(&self, now: u64, who: usize) -> bool {
        self.is_cut(now) && self.group & (1 << who) != 0
    }

    /// Whether two instances hear each other.
    pub fn joins(&self, now: u64, who: usize, other: usize) -> bool {
        self.is_in_group(now, who) == self.is_in_group(now, other)
    }

    pub fn shows_published(&self, now: u64, who: usize) -> bool {
        !(self.is_blind && self.is_in_group(now, who))
    }

    /// Share of the messages that is lost.
    pub fn loss(&self, now: u64) -> f64 {
        if now < self.lossy_until { self.loss } else { USUAL_LOSS }
    }
}
