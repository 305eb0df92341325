//! Keeps an instance from asking for the same changes twice at a time.

use std::net::SocketAddr;

/// Turn to ask peers for changes of one topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct FetchTurn {
    is_taken: bool,
    /// Instance that had the newest changes while the turn was taken, and their revision.
    next: Option<(u64, SocketAddr)>,
}

impl FetchTurn {
    /// Takes the turn to ask the instance at `addr`, which has the changes up to `newest`; returns
    /// `false` if the turn is taken, and remembers the instance for the next one.
    pub fn take(&mut self, newest: u64, addr: SocketAddr) -> bool {
        if self.is_taken {
            self.next = self.next.max(Some((newest, addr)));
            return false;
        }
        self.is_taken = true;
        true
    }

    /// Ends the turn, unless another instance is to be asked next: one that has changes beyond `held`.
    pub fn end(&mut self, held: u64) -> Option<SocketAddr> {
        let next = self.next.take().filter(|(newest, _)| *newest > held);
        self.is_taken = next.is_some();
        next.map(|(_, addr)| addr)
    }

    /// Ends the turn of a task that has ended before its work was done; whoever has newer changes says so
    /// again.
    pub fn on_task_lost(&mut self) {
        *self = Self::default();
    }
}
