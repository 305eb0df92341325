//! The budget of bytes for everything that a process keeps for others.
//!
//! When it is used up, the buffer is given up that has cost most so far: its bytes times the time since
//! it was opened; large bodies of requests go before answers, whose requests have run. So a body that stops short of its end gives way to the next ordinary one, and the
//! one that has just come is refused only if no other costs more. What has arrived to its end stays: it
//! is being served, and gives its bytes back by itself.

use std::collections::HashMap;
use std::time::Duration;

use super::BufferClass;
use super::BufferId;
use super::BufferKind;
use super::BufferUse;
use super::Room;
use crate::names::Timestamp;

/// Time within which a buffer that is to be given up is closed, unless its connection stands still.
const CLOSING_TIME: Duration = Duration::from_millis(500);

/// Bytes that are taken, by buffer.
#[derive(Debug)]
pub struct BufferBudget {
    capacity: usize,
    taken: usize,
    next: BufferId,
    buffers: HashMap<BufferId, BufferUse>,
}

impl BufferBudget {
    /// A budget of `capacity` bytes, none of which is taken.
    pub fn new(capacity: usize) -> Self {
        let (next, buffers) = (BufferId::FIRST, HashMap::new());
        Self { capacity, taken: 0, next, buffers }
    }

    /// Bytes that may be taken.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Bytes that are taken.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Number of open buffers.
    pub fn len(&self) -> usize {
        self.buffers.len()
    }

    /// Whether no buffer is open.
    pub fn is_empty(&self) -> bool {
        self.buffers.is_empty()
    }

    /// Opens an empty buffer.
    pub fn open(&mut self, now: Timestamp, kind: BufferKind) -> BufferId {
        let id = self.next;
        self.next = id.next();
        self.buffers.insert(id, BufferUse::new(now, kind));
        id
    }

    /// Asks for room, so that the buffer takes `bytes` altogether; refused if it isn't open.
    ///
    /// The only open buffer always gets it: a limit on a single body is none of this budget's.
    pub fn grow(&mut self, now: Timestamp, id: BufferId, bytes: usize) -> Room {
        let Some(own) = self.buffers.get(&id).copied() else { return Room::Refused };
        if own.evicted_at.is_some() {
            return Room::Refused;
        }
        let more = bytes.saturating_sub(own.bytes);
        let limit = BufferClass::of(bytes).limit(self.capacity);
        if more == 0 || self.taken + more <= limit || self.buffers.len() == 1 {
            self.set_bytes(id, bytes.max(own.bytes));
            return Room::Granted;
        }
        if self.taken - self.leaving_bytes(now) + more <= limit {
            return Room::Awaited;
        }
        let own_cost = own.cost(now, bytes);
        match self.costliest(now, id).filter(|(_, cost)| *cost >= own_cost) {
            Some((costliest, _)) => {
                self.evict(now, costliest);
                Room::AwaitedOf(costliest)
            }
            None => Room::Refused,
        }
    }

    /// Notes that all of a buffer's content has arrived.
    pub fn set_whole(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.is_whole = true;
        }
    }

    /// Whether a buffer is to be given up.
    pub fn is_evicted(&self, id: BufferId) -> bool {
        self.buffers.get(&id).is_none_or(|buffer| buffer.evicted_at.is_some())
    }

    /// Closes a buffer and gives its bytes back.
    pub fn close(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.remove(&id) {
            self.taken -= buffer.bytes;
        }
    }

    fn set_bytes(&mut self, id: BufferId, bytes: usize) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            self.taken = self.taken - buffer.bytes + bytes;
            buffer.bytes = bytes;
        }
    }

    fn evict(&mut self, now: Timestamp, id: BufferId) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.evicted_at = Some(now);
        }
    }

    /// Bytes of buffers that are about to be closed, as they were told so a moment ago.
    fn leaving_bytes(&self, now: Timestamp) -> usize {
        let is_leaving =
            |buffer: &&BufferUse| buffer.evicted_at.is_some_and(|at| now.since(at) < CLOSING_TIME);
        self.buffers.values().filter(is_leaving).map(|buffer| buffer.bytes).sum()
    }

    /// The buffer besides `asking` that costs most, of those that may be given up; the one opened first
    /// among equals.
    fn costliest(&self, now: Timestamp, asking: BufferId) -> Option<(BufferId, (bool, u128))> {
        self.buffers
            .iter()
            .filter(|(id, buffer)| **id != asking && buffer.is_evictable() && buffer.bytes > 0)
            .map(|(id, buffer)| (*id, buffer.cost(now, buffer.bytes)))
            .max_by_key(|(id, cost)| (*cost, std::cmp::Reverse(*id)))
    }
}
