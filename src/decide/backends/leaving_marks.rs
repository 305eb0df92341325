//! Backend servers that some source said are leaving.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::BackendName;
use crate::names::Timestamp;
use crate::wire::gossip::LeavingBackend;
use crate::wire::listing::ListedBackend;

/// Time for which a mark outlives the last listing of its backend server.
///
/// Longer than the platform's list is expected to lag.
pub const MARK_KEEP: Duration = Duration::from_secs(900);
/// Marks that are kept; past it the longest unlisted is dropped.
const MAX_MARKS: usize = 4096;

/// The marks, each with the time when it was last of use.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    marks: BTreeMap<LeavingBackend, Timestamp>,
}

impl LeavingMarks {
    /// Adds a mark; returns whether it is new.
    pub fn add(&mut self, now: Timestamp, mark: LeavingBackend) -> bool {
        let is_new = self.marks.insert(mark, now).is_none();
        if self.marks.len() > MAX_MARKS {
            let oldest = self.marks.iter().min_by_key(|(_, last_used)| **last_used);
            if let Some(oldest) = oldest.map(|(mark, _)| mark.clone()) {
                self.marks.remove(&oldest);
            }
        }
        is_new
    }

    /// Whether a backend server is marked; without an incarnation every mark of its name counts.
    pub fn covers(&self, backend: &ListedBackend) -> bool {
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

    /// Keeps the marks of listed backend servers and forgets those long unlisted.
    ///
    /// Without an incarnation a mark ends as soon as its name isn't listed.
    pub fn refresh(&mut self, now: Timestamp, listed: &[ListedBackend]) {
        for backend in listed {
            for (mark, last_used) in self.marks.range_mut(Self::first_of(backend)..) {
                if mark.name != backend.name {
                    break;
                }
                if backend.incarnation.is_none() || mark.inc == backend.incarnation {
                    *last_used = now;
                }
            }
        }
        let names: BTreeSet<&BackendName> = listed.iter().map(|backend| &backend.name).collect();
        self.marks.retain(|mark, last_used| {
            let ended = mark.inc.is_none() && !names.contains(&mark.name);
            !ended && now.since(*last_used) < MARK_KEEP
        });
    }

    fn first_of(backend: &ListedBackend) -> LeavingBackend {
        LeavingBackend { name: backend.name.clone(), inc: None }
    }
}
