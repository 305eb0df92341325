//! Replay protection for signed messages: bounds on their time, and the nonces seen.
//!
//! A message is admitted once. Its time must lie within [`MAX_SKEW`] of the
//! receiver's clock, so a nonce needs to be remembered only until its message
//! would be too old anyway. Nothing sent before the receiver started is
//! admitted, because the nonces that its previous process saw are lost. When the
//! memory is full, new messages are refused: forgetting a nonce early would let its
//! message in again. Only messages with a valid signature may be passed in, so that
//! nobody without the key can fill the memory.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::time::Duration;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::WallTime;

/// Largest difference between a message's time and the receiver's clock.
pub const MAX_SKEW: Duration = Duration::from_secs(30);

/// Random number that identifies one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce(pub u128);

/// The nonces that one receiver has seen within the time bounds.
#[derive(Clone, Debug)]
pub struct ReplayWindow {
    started: WallTime,
    capacity: usize,
    latest_seen: WallTime,
    seen: HashSet<Nonce>,
    by_time: BTreeSet<(WallTime, Nonce)>,
}

impl ReplayWindow {
    /// Remembers up to `capacity` nonces, for a receiver that started at `started`.
    pub fn new(started: WallTime, capacity: usize) -> Self {
        Self {
            started,
            capacity,
            latest_seen: started,
            seen: HashSet::new(),
            by_time: BTreeSet::new(),
        }
    }

    /// Admits a message that was sent at `sent` with this nonce, if it is new.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the message is too old, too far ahead or was admitted before;
    /// `Overloaded` if the memory is full.
    pub fn admit(&mut self, now: WallTime, sent: WallTime, nonce: Nonce) -> Result<()> {
        // A clock that was set back must not reopen the bounds.
        self.latest_seen = self.latest_seen.max(now);
        let now = self.latest_seen;
        self.forget_old(now);
        self.check_time(now, sent)?;
        if self.seen.contains(&nonce) {
            return Err(refused("nonce was used before"));
        }
        if self.seen.len() >= self.capacity {
            let detail = format!("{} messages in {MAX_SKEW:?}", self.capacity);
            return Err(Error::new(ErrorKind::Overloaded, detail));
        }
        self.seen.insert(nonce);
        self.by_time.insert((sent, nonce));
        Ok(())
    }

    /// How many nonces are remembered.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether no nonce is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn check_time(&self, now: WallTime, sent: WallTime) -> Result<()> {
        if sent < self.started {
            return Err(refused("message was sent before this instance started"));
        }
        if now.since(sent) > MAX_SKEW {
            return Err(refused(format!("message is {:?} old", now.since(sent))));
        }
        if sent.since(now) > MAX_SKEW {
            return Err(refused(format!("message is {:?} ahead", sent.since(now))));
        }
        Ok(())
    }

    fn forget_old(&mut self, now: WallTime) {
        while let Some((sent, nonce)) = self.by_time.first().copied() {
            if now.since(sent) <= MAX_SKEW {
                return;
            }
            self.by_time.pop_first();
            self.seen.remove(&nonce);
        }
    }
}

fn refused(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::Unauthenticated, detail)
}
