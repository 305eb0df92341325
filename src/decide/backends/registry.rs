//! The backend servers on the platform's list, with the marks of those that are leaving.

use std::collections::BTreeMap;

use super::leaving_marks::LeavingMarks;
use crate::names::BackendName;
use crate::names::Incarnation;
use crate::names::ModelName;
use crate::names::Timestamp;
use crate::wire::gossip::LeavingBackend;
use crate::wire::listing::BackendRole;
use crate::wire::listing::ListedBackend;
use crate::wire::listing::ListedState;

/// The backend servers that one instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    known: BTreeMap<BackendName, ListedBackend>,
    marks: LeavingMarks,
}

impl Backends {
    /// Replaces the known backend servers by the platform's list; returns those newly leaving.
    pub fn on_listing(
        &mut self,
        now: Timestamp,
        listed: Vec<ListedBackend>,
    ) -> Vec<LeavingBackend> {
        let mut newly_leaving = Vec::new();
        for backend in listed.iter().filter(|backend| backend.state == ListedState::Leaving) {
            let mark = LeavingBackend { name: backend.name.clone(), inc: backend.incarnation };
            if self.marks.add(now, mark.clone()) {
                newly_leaving.push(mark);
            }
        }
        self.marks.update_from_listing(now, &listed);
        self.known = listed.into_iter().map(|backend| (backend.name.clone(), backend)).collect();
        newly_leaving
    }

    /// Handles a peer's report that a backend server is leaving; returns whether it is new.
    pub fn on_leaving_from_peer(&mut self, now: Timestamp, mark: LeavingBackend) -> bool {
        self.marks.add(now, mark)
    }

    /// Handles a backend server's own statement that it is leaving; returns the mark if it is new.
    pub fn on_leaving_from_backend(
        &mut self,
        now: Timestamp,
        name: &BackendName,
        incarnation: Option<Incarnation>,
    ) -> Option<LeavingBackend> {
        // A list without incarnations can only end marks that have none either.
        let inc = match self.known.get(name) {
            Some(backend) if backend.incarnation.is_none() => None,
            Some(backend) => incarnation.or(backend.incarnation),
            None => incarnation,
        };
        let mark = LeavingBackend { name: name.clone(), inc };
        self.marks.add(now, mark.clone()).then_some(mark)
    }

    /// Whether no backend server is known, as before the first list.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Looks up a backend server by name, leaving ones included.
    pub fn get(&self, name: &BackendName) -> Option<&ListedBackend> {
        self.known.get(name)
    }

    /// Whether a backend server may get new work: it is listed as live and not marked.
    pub fn may_get_work(&self, name: &BackendName) -> bool {
        self.known.get(name).is_some_and(|backend| self.is_live(backend))
    }

    /// Engines of one base model that may get new work.
    pub fn live_engines(&self, wanted: &ModelName) -> Vec<&ListedBackend> {
        let serves = |backend: &&ListedBackend| matches!(&backend.role, BackendRole::Engine { model, .. } if model == wanted);
        self.live().filter(serves).collect()
    }

    /// Engines of every base model that may get new work.
    pub fn all_live_engines(&self) -> Vec<&ListedBackend> {
        self.live().filter(|backend| matches!(backend.role, BackendRole::Engine { .. })).collect()
    }

    /// Desks that may get new work.
    pub fn live_desks(&self) -> Vec<&ListedBackend> {
        self.live().filter(|backend| backend.role == BackendRole::Desk).collect()
    }

    fn live(&self) -> impl Iterator<Item = &ListedBackend> {
        self.known.values().filter(|backend| self.is_live(backend))
    }

    fn is_live(&self, backend: &ListedBackend) -> bool {
        backend.state == ListedState::Live && !self.marks.includes(backend)
    }
}
