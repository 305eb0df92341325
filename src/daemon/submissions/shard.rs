//! The table of submissions under its lock, and a notification when one has ended.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;

use crate::decide::submissions::SubmissionTable;
use crate::decide::submissions::SubmissionTableLimits;
use crate::names::Incarnation;
use crate::names::InstanceName;

/// Tickets issued by this incarnation, and their submissions.
#[derive(Debug)]
pub struct Submissions {
    table: Mutex<SubmissionTable>,
    ended: Arc<Notify>,
}

impl Submissions {
    /// An empty table.
    pub fn new(name: InstanceName, incarnation: Incarnation) -> Self {
        let table = SubmissionTable::new(name, incarnation, SubmissionTableLimits::default());
        Self { table: Mutex::new(table), ended: Arc::default() }
    }

    /// Locks the table; the guard must not be held across an await.
    pub fn table(&self) -> MutexGuard<'_, SubmissionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resolves when any submission ends after this call.
    pub fn ended(&self) -> Pin<Box<OwnedNotified>> {
        let mut ended = Box::pin(Arc::clone(&self.ended).notified_owned());
        ended.as_mut().enable();
        ended
    }

    /// Wakes all waiters of [`Self::ended`], which must then claim again.
    pub fn announce_end(&self) {
        self.ended.notify_waiters();
    }
}
