//! Room for the unfinished event of a stream, within the budget of the process.

use std::future::pending;
use std::sync::Arc;

use super::buffers::Buffer;
use super::buffers::Buffers;
use super::buffers::OutOfRoom;
use crate::decide::buffers::BufferKind;

/// Most bytes of an unfinished event that need no room of their own; most events are far smaller.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Room that one stream has.
#[derive(Debug)]
pub struct EventRoom {
    buffers: Arc<Buffers>,
    buffer: Option<Buffer>,
}

impl EventRoom {
    /// No room yet.
    pub fn new(buffers: &Arc<Buffers>) -> Self {
        Self { buffers: Arc::clone(buffers), buffer: None }
    }

    /// Takes room for an unfinished event that takes `bytes`, or gives back what it doesn't need.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), OutOfRoom> {
        self.shrink(bytes);
        if bytes <= UNCOUNTED_BYTES {
            return Ok(());
        }
        self.buffer
            .get_or_insert_with(|| Buffer::open(&self.buffers, BufferKind::Answer))
            .reserve(bytes)
            .await
    }

    /// Gives back what an unfinished event that takes `bytes` doesn't need.
    pub fn shrink(&mut self, bytes: usize) {
        if bytes <= UNCOUNTED_BYTES {
            self.buffer = None;
        }
    }

    /// Completes when the unfinished event is to be given up.
    pub async fn until_evicted(&self) {
        match &self.buffer {
            Some(buffer) => buffer.until_evicted().await,
            None => pending().await,
        }
    }
}
