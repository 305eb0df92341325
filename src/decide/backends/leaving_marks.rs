//! Backend servers that any source reported as leaving.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::BackendName;
use crate::names::Timestamp;
use crate::wire::gossip::LeavingBackend;
use crate::wire::listing::ListedBackend;

/// Time for which a mark is kept after a list last showed its backend server.
///
/// Longer than the platform's list is expected to lag.
pub const MARK_RETENTION: Duration = Duration::from_secs(900);
/// Largest number of marks; beyond it the one that was unlisted longest is dropped.
const MAX_MARKS: usize = 4096;

/// Marks of leaving backend servers, each with the time when it was last added or listed.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    marks: BTreeMap<LeavingBackend, Timestamp>,
}

impl LeavingMarks {
    /// Adds a mark; returns whether it is new.
    pub fn add(&mut self, now: Timestamp, mark: LeavingBackend) -> bool {
        let is_new = self.marks.insert(mark, now).is_none();
        if self.marks.len() > MAX_MARKS {
            let oldest = self.marks.iter().min_by_key(|(_, last_confirmed)| **last_confirmed);
            if let Some(oldest) = oldest.map(|(mark, _)| mark.clone()) {
                self.marks.remove(&oldest);
            }
        }
        is_new
    }

    /// Whether a backend server is marked; if it has no incarnation, any mark of its name counts.
    pub fn includes(&self, backend: &ListedBackend) -> bool {
        let exact = LeavingBackend { name: backend.name.clone(), inc: backend.incarnation };
        if self.marks.contains_key(&exact) {
            return true;
        }
        let any = LeavingBackend { name: backend.name.clone(), inc: None };
        match backend.incarnation {
            Some(_) => false,
            None => {
                self.marks.range(any..).next().is_some_and(|(mark, _)| mark.name == backend.name)
            }
        }
    }

    /// Keeps the marks of listed backend servers and drops those that have long been unlisted.
    ///
    /// A mark without an incarnation ends as soon as its name isn't listed.
    pub fn update_from_listing(&mut self, now: Timestamp, listed: &[ListedBackend]) {
        for backend in listed {
            for (mark, last_confirmed) in self.marks.range_mut(Self::first_mark_of(backend)..) {
                if mark.name != backend.name {
                    break;
                }
                if backend.incarnation.is_none() || mark.inc == backend.incarnation {
                    *last_confirmed = now;
                }
            }
        }
        let names: BTreeSet<&BackendName> = listed.iter().map(|backend| &backend.name).collect();
        self.marks.retain(|mark, last_confirmed| {
            let ended = mark.inc.is_none() && !names.contains(&mark.name);
            !ended && now.since(*last_confirmed) < MARK_RETENTION
        });
    }

    fn first_mark_of(backend: &ListedBackend) -> LeavingBackend {
        LeavingBackend { name: backend.name.clone(), inc: None }
    }
}
