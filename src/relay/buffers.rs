//! Buffers for bodies that arrive, within the budget that they share.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::daemon::Clock;
use crate::decide::buffers::BufferBudget;
use crate::decide::buffers::BufferId;
use crate::decide::buffers::BufferKind;
use crate::decide::buffers::Room;
use crate::decide::buffers::grown_size;

/// Longest wait for the room of buffers that are being given up: one whose caller reads nothing isn't
/// at once.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);

/// Interval at which room is asked for again, as another buffer may be given up then.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// A buffer was given up for others, or has no room to grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfRoom;

/// The budget of a process, and the buffers that take part in it.
#[derive(Debug)]
pub struct Buffers {
    clock: Clock,
    budget: Mutex<BufferBudget>,
    /// Wakes a buffer that is to be given up.
    evictions: Mutex<HashMap<BufferId, Arc<Notify>>>,
    /// Wakes those that wait for room.
    closed: Notify,
}

impl Buffers {
    /// A budget of `capacity` bytes.
    pub fn new(clock: Clock, capacity: usize) -> Self {
        Self {
            clock,
            budget: Mutex::new(BufferBudget::new(capacity)),
            evictions: Mutex::default(),
            closed: Notify::new(),
        }
    }

    /// The budget.
    pub fn budget(&self) -> MutexGuard<'_, BufferBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evictions(&self) -> MutexGuard<'_, HashMap<BufferId, Arc<Notify>>> {
        self.evictions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evict(&self, id: BufferId) {
        if let Some(eviction) = self.evictions().get(&id) {
            eviction.notify_one();
        }
    }
}

/// What has arrived of a body; its bytes are given back when this and all that it was made into are
/// dropped.
#[derive(Debug)]
pub struct Buffer {
    buffers: Arc<Buffers>,
    id: BufferId,
    eviction: Arc<Notify>,
    /// Bytes that the budget has granted.
    granted: usize,
    data: Vec<u8>,
}

impl Buffer {
    /// An empty buffer.
    pub fn open(buffers: &Arc<Buffers>, kind: BufferKind) -> Self {
        let id = buffers.budget().open(buffers.clock.now(), kind);
        let eviction = Arc::new(Notify::new());
        buffers.evictions().insert(id, Arc::clone(&eviction));
        Self { buffers: Arc::clone(buffers), id, eviction, granted: 0, data: Vec::new() }
    }

    /// Number of bytes that it holds.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Appends bytes once there is room for them; `max` is the most that may come altogether.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub async fn append(&mut self, bytes: &[u8], max: usize) -> Result<(), OutOfRoom> {
        let size = grown_size(self.data.capacity(), self.data.len() + bytes.len(), max);
        self.reserve(size).await?;
        self.data.reserve_exact(size - self.data.len());
        self.data.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes room for `size` bytes altogether, which may be kept elsewhere than in this buffer.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub async fn reserve(&mut self, size: usize) -> Result<(), OutOfRoom> {
        let waits_until = Instant::now() + MAX_ROOM_WAIT;
        while self.granted < size {
            let mut closed = pin!(self.buffers.closed.notified());
            closed.as_mut().enable();
            let room = self.buffers.budget().grow(self.buffers.clock.now(), self.id, size);
            match room {
                Room::Granted => {
                    self.granted = size;
                    return Ok(());
                }
                Room::Refused => return Err(OutOfRoom),
                Room::Awaited => {}
                Room::AwaitedOf(other) => self.buffers.evict(other),
            }
            tokio::select! {
                () = closed => {}
                () = self.eviction.notified() => return Err(OutOfRoom),
                () = sleep(ASK_INTERVAL) => {}
            }
            if Instant::now() >= waits_until {
                return Err(OutOfRoom);
            }
        }
        Ok(())
    }

    /// Takes room for `size` bytes altogether, or has another buffer given up for them, without waiting
    /// for that; returns whether this one may go on.
    pub fn try_reserve(&mut self, size: usize) -> bool {
        let room = self.buffers.budget().grow(self.buffers.clock.now(), self.id, size);
        match room {
            Room::Granted => self.granted = size,
            Room::Awaited => {}
            Room::AwaitedOf(other) => self.buffers.evict(other),
            Room::Refused => return false,
        }
        true
    }

    /// Completes when the buffer is to be given up.
    pub async fn until_evicted(&self) {
        self.eviction.notified().await;
    }

    /// All that has arrived, as a whole that stays in the budget until its last copy is dropped.
    ///
    /// # Errors
    ///
    /// The buffer was to be given up before its end arrived.
    pub fn into_whole(self) -> Result<Bytes, OutOfRoom> {
        let mut budget = self.buffers.budget();
        if budget.is_evicted(self.id) {
            return Err(OutOfRoom);
        }
        budget.set_whole(self.id);
        drop(budget);
        Ok(Bytes::from_owner(self))
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.buffers.evictions().remove(&self.id);
        self.buffers.budget().close(self.id);
        self.buffers.closed.notify_waiters();
    }
}
