//! A replica of the model: what it names, and what it gets.

use tamaracklead::decide::send_limits::NamedLimits;
use tamaracklead::names::Timestamp;

/// Time for which a replica that fell over is away, in ms.
const DOWN_MS: u64 = 4000;

/// A request that arrived, and the instance that sent it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Timestamp,
    pub from: usize,
}

/// What a replica answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// Taken by this start of the replica.
    Taken(u32),
    Rejected,
    Down,
}

#[derive(Clone, Debug)]
pub struct Replica {
    pub limits: NamedLimits,
    /// From when to when it names its limits, in ms.
    pub named: (u64, u64),
    pub slots: u32,
    /// Requests that it takes at once while it names limits.
    pub room: u32,
    pub work_ms: u64,
    pub arrivals: Vec<Arrival>,
    pub running: u32,
    /// How often it has started again; requests of earlier starts have ended.
    pub starts: u32,
    /// When it turned requests away, and whether of an instance in touch.
    rejections: Vec<(Timestamp, bool)>,
    down_until: u64,
    /// How often it fell over since instances in touch sent too much.
    pub falls: usize,
}

impl Replica {
    pub fn new(
        limits: NamedLimits,
        named: (u64, u64),
        slots: u32,
        room: u32,
        work_ms: u64,
    ) -> Self {
        Self {
            limits,
            named,
            slots,
            room,
            work_ms,
            arrivals: Vec::new(),
            running: 0,
            starts: 0,
            rejections: Vec::new(),
            down_until: 0,
            falls: 0,
        }
    }

    /// What its responses name.
    pub fn names(&self, now: Timestamp) -> NamedLimits {
        let ms = now.as_micros() / 1000;
        let names = (self.named.0..self.named.1).contains(&ms);
        if names { self.limits } else { NamedLimits::default() }
    }

    pub fn receive(&mut self, now: Timestamp, from: usize, in_touch: bool) -> Reception {
        let ms = now.as_micros() / 1000;
        self.arrivals.push(Arrival { at: now, from });
        if ms < self.down_until {
            return Reception::Down;
        }
        // Fewer may wait only some seconds after it first said so.
        let is_tight = (self.named.0 + 3000..self.named.1).contains(&ms);
        let room = if is_tight { self.room } else { self.slots * 4 };
        if self.running < room {
            self.running += 1;
            return Reception::Taken(self.starts);
        }
        self.rejections.push((now, in_touch));
        self.rejections.retain(|(at, _)| now.since(*at).as_millis() < 1000);
        let all = self.rejections.len();
        if is_tight && self.limits.max_rejections.is_some_and(|max| all > max as usize) {
            let of_touch = self.rejections.iter().filter(|(_, in_touch)| *in_touch).count();
            self.falls += usize::from(2 * of_touch > all);
            self.down_until = ms + DOWN_MS;
            self.rejections.clear();
            self.running = 0;
            self.starts += 1;
        }
        Reception::Rejected
    }

    /// Ends a request that this start of the replica took.
    pub fn end(&mut self, start: u32) {
        if start == self.starts {
            self.running -= 1;
        }
    }
}
